"""The daemon, `fulmarrudderd`."""

import gc
import pathlib
import random
import signal
import sys
from collections.abc import Callable

import click
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from fulmarrudder import __version__
from fulmarrudder.clock import wall_seconds
from fulmarrudder.log import HttpLogService, LogService
from fulmarrudder.node.admin import make_admin_site
from fulmarrudder.node.node import Node, new_incarnation
from fulmarrudder.node.settings import Settings, load_settings
from fulmarrudder.observe import logs
from fulmarrudder.operate.admin_api import make_api_resource

TICK_S = 0.25
REPORT_S = 1.0
SWEEP_S = 2.0
LEAVE_S = 1.0
BACKLOG_WAIT_S = 0.1
BACKLOG_LIMIT_S = 30.0
EXIT_SETTINGS = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon:
    """Runs one node until it is told to stop.

    Attributes:
        node: The node.
        stopping: Whether a stop is under way.
    """

    def __init__(
        self,
        settings: Settings,
        reactor,
        *,
        log: LogService,
        rng: random.Random,
        incarnation: int,
        wall: Callable[[], float] = wall_seconds,
    ):
        self.settings = settings
        self.reactor = reactor
        self.node = Node(
            settings,
            reactor=reactor,
            log=log,
            rng=rng,
            incarnation=incarnation,
            wall=wall,
        )
        self.stopping = False
        self.call_port = None
        self.loops: list[LoopingCall] = []

    def start(self) -> None:
        """Listens and starts the node's loops."""
        settings, node = self.settings, self.node
        self._listen(settings.mesh_address, node.mesh.link_factory())
        pages = make_api_resource(node, self.reactor, node.fleet)
        self._listen(settings.admin_address, make_admin_site(node, v1=pages))
        self.call_port = self._listen(settings.call_address, node.calls)
        for call, period in (
            (node.tick, TICK_S),
            (node.report, REPORT_S),
            (node.sweep, SWEEP_S),
        ):
            loop = LoopingCall(call)
            loop.clock = self.reactor
            loop.start(period).addErrback(self._loop_failed)
            self.loops.append(loop)
        logs.info("started", version=__version__)

    def _listen(self, address: str, factory):
        host, _, port = address.rpartition(":")
        return self.reactor.listenTCP(
            int(port), factory, interface=host, backlog=512
        )

    def _loop_failed(self, failure) -> None:
        # A node whose loops have ended would serve from a state that grows
        # old without anyone noticing.
        logs.error("loop-failed", detail=failure.getTraceback())
        self.reactor.stop()

    def begin_stop(self) -> None:
        """Starts a graceful stop; a second call does nothing."""
        if not self.stopping:
            self.stopping = True
            self._stop()

    @inlineCallbacks
    def _stop(self):
        logs.info("stopping", in_flight=self.node.calls.active)
        self.node.leave()
        # Callers and entry nodes that have not heard yet are still served.
        yield deferLater(self.reactor, LEAVE_S)
        yield self.call_port.stopListening()
        yield self.node.calls.leave()
        yield from self._settle()
        for loop in self.loops:
            if loop.running:
                loop.stop()
        self.node.stop()
        logs.info("stopped")
        self.reactor.stop()

    def _settle(self):
        deadline = self.reactor.seconds() + BACKLOG_LIMIT_S
        while any(c.backlog for c in self.node.host.claims.values()):
            if self.reactor.seconds() > deadline:
                logs.error("settlements-lost")
                return
            yield deferLater(self.reactor, BACKLOG_WAIT_S)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="Settings file, JSON.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(__version__)
def main(path: pathlib.Path, check: bool) -> None:
    """Runs a fulmarrudder node."""
    loaded = load_settings(path)
    if loaded.is_error():
        for fault in loaded.error.faults:
            click.echo(f"settings: {fault}", err=True)
        sys.exit(EXIT_SETTINGS)
    settings = loaded.ok
    if check:
        click.echo("settings are valid")
        return
    from twisted.internet import reactor

    logs.setup(settings.log_level, node=settings.node)
    daemon = Daemon(
        settings,
        reactor,
        log=HttpLogService(reactor, settings.log_url),
        rng=random.Random(),
        incarnation=new_incarnation(),
    )
    for number in STOP_SIGNALS:
        signal.signal(
            number,
            lambda number, frame: reactor.callFromThread(daemon.begin_stop),
        )
    reactor.callWhenRunning(_run, daemon)
    # Twisted would give the signals back when the reactor stops, and one
    # that came again before the process ended would then cut it off.
    reactor.run(installSignalHandlers=False)
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _run(daemon: Daemon) -> None:
    daemon.start()
    # What lives this long need not be looked at by the collector again.
    gc.collect()
    gc.freeze()


if __name__ == "__main__":
    main()
