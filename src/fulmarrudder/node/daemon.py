"""The daemon, `fulmarrudderd`."""

import gc
import pathlib
import random
import signal
import sys
from collections.abc import Callable

import click
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.logger import globalLogBeginner

from fulmarrudder import __version__
from fulmarrudder.clock import use_monotonic_time, wall_seconds
from fulmarrudder.log import LogService
from fulmarrudder.log.http import HttpLogService
from fulmarrudder.node.admin import make_admin_site
from fulmarrudder.node.node import Node, new_incarnation
from fulmarrudder.node.settings import Settings, load_settings
from fulmarrudder.observe import logs
from fulmarrudder.operate.admin_api import make_api_resource
from fulmarrudder.reactor import install_reactor

LEAVE_DELAY_S = 1.0
RUNS_POLL_INTERVAL_S = 0.1
BACKLOG_POLL_INTERVAL_S = 0.1
BACKLOG_TIMEOUT_S = 30.0
EXIT_FAULT = 1
EXIT_INVALID_SETTINGS = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Daemon:
    """Runs one node until it is signalled to stop.

    Attributes:
        node: The node.
        stopping: Whether a graceful stop has begun.
        exit_code: Exit code of the process.
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
        self.exit_code = 0
        self.call_port = None

    def start(self) -> None:
        """Opens the node's ports and starts its periodic calls."""
        settings, node = self.settings, self.node
        self._listen(settings.mesh_address, node.mesh.link_factory())
        api = make_api_resource(node, self.reactor, node.fleet)
        self._listen(settings.admin_address, make_admin_site(node, v1=api))
        self.call_port = self._listen(settings.call_address, node.calls)
        node.start()
        logs.info("started", version=__version__)

    def _listen(self, address: str, factory):
        host, _, port = address.rpartition(":")
        return self.reactor.listenTCP(
            int(port), factory, interface=host, backlog=512
        )

    def begin_stop(self) -> None:
        """Starts a graceful stop; a second call does nothing."""
        if not self.stopping:
            self.stopping = True
            self._stop().addErrback(self._stop_failed)

    def abort(self) -> None:
        """Ends the process at once, with an exit code that tells a fault."""
        self.exit_code = EXIT_FAULT
        self.reactor.stop()

    def _stop_failed(self, failure) -> None:
        self.node.supervisor.record_fault("stop", failure)
        self.abort()

    @inlineCallbacks
    def _stop(self):
        logs.info("stopping", in_flight=self.node.calls.active)
        self.node.leave()
        # Callers and entry nodes that have not yet received the new presence
        # still send requests, which are served during this delay.
        yield deferLater(self.reactor, LEAVE_DELAY_S)
        self.node.calls.leave()
        # The local target may call through this node for what it still runs.
        yield from self._wait_for_runs()
        yield self.call_port.stopListening()
        yield self.node.calls.leave()
        yield from self._wait_for_settlements()
        self.node.stop()
        logs.info("stopped")
        self.reactor.stop()

    def _wait_for_runs(self):
        # Each of them ends by its deadline.
        while self.node.host.in_flight:
            yield deferLater(self.reactor, RUNS_POLL_INTERVAL_S)

    def _wait_for_settlements(self):
        deadline = self.reactor.seconds() + BACKLOG_TIMEOUT_S
        while any(c.backlog for c in self.node.host.claims.values()):
            if self.reactor.seconds() > deadline:
                logs.error("settlements-lost")
                return
            yield deferLater(self.reactor, BACKLOG_POLL_INTERVAL_S)


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
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = loaded.ok
    if check:
        click.echo("settings are valid")
        return
    reactor = install_reactor()
    use_monotonic_time(reactor)
    logs.setup(settings.log_level, node=settings.node)
    daemon = Daemon(
        settings,
        reactor,
        log=HttpLogService(reactor, settings.log_url),
        rng=random.Random(),
        incarnation=new_incarnation(),
    )
    supervisor = daemon.node.supervisor
    globalLogBeginner.beginLoggingTo(
        [supervisor.observe], redirectStandardIO=False
    )
    for number in STOP_SIGNALS:
        signal.signal(
            number,
            lambda number, frame: reactor.callFromThread(daemon.begin_stop),
        )
    reactor.callWhenRunning(
        supervisor.guard("start", _run, lambda daemon: daemon.abort()), daemon
    )
    # Twisted's own handlers are removed when the reactor stops; a repeated
    # signal would then kill the process before it has exited cleanly.
    reactor.run(installSignalHandlers=False)
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    sys.exit(daemon.exit_code)


def _run(daemon: Daemon) -> None:
    daemon.start()
    # Objects that exist at this point live as long as the process, so the
    # garbage collector need not scan them.
    gc.collect()
    gc.freeze()


if __name__ == "__main__":
    main()
