"""The daemon on the users' platform."""

import gc
import os
import pathlib
import random
import signal
import sys

from twisted.internet.defer import ensureDeferred, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from fulmarrudder import __version__
from fulmarrudder.clock import wall_seconds
from fulmarrudder.distribution import Peer
from fulmarrudder.node.member import Member, Place
from fulmarrudder.observe import logs
from fulmarrudder.platform.directory import Directory
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.header_names import HEADER_NAMES
from fulmarrudder.platform.http import (
    HeartbeatResource,
    MetricsResource,
    ReadinessResource,
    make_site,
)
from fulmarrudder.platform.lease import GroupLease
from fulmarrudder.platform.operator_records import (
    OPERATOR_TOPIC,
    OperatorRecords,
)
from fulmarrudder.platform.settings import (
    MachineSettings,
    load_machine_settings,
)
from fulmarrudder.platform.store import StoreClient
from fulmarrudder.platform.tail import Tail

SETTINGS_VARIABLE = "FULMARRUDDER_BOOT"
# Nodes of one fleet share the platform's network; the token only keeps apart
# what callers send from what nodes send.
TOKEN = b"fr1"
TICK_S = 0.25
REPORT_S = 0.5
SWEEP_S = 2.0
LEASE_S = 0.2
FIND_S = 0.5
# Nodes that start together have all written their records by then.
FIND_AGAIN_S = 1.0
# Nodes that know each other ask the store for others this seldom.
FIND_SELDOM_S = 20.0
SETTINGS_S = 1.0
# Callers are sent elsewhere after two questions a second apart.
LEAVE_S = 2.3
# Left of the time to stop when the last connections are closed.
STOP_SLACK_S = 0.6
EXIT_SETTINGS = 2
# Objects made before the collector looks at the youngest ones.
GC_ALLOCATIONS = 20_000


class Daemon:
    """Runs one node on the platform until it is told to stop.

    Attributes:
        machine: Settings in force.
        member: The node.
        stopping: Whether a stop is under way.
    """

    def __init__(self, machine: MachineSettings, path: pathlib.Path, reactor):
        self.machine = machine
        self.path = path
        self.stamp = path.stat().st_mtime_ns
        self.reactor = reactor
        self.rng = random.Random()
        self.stopping = False
        self.ports = []
        self.find_due = 0.0
        self.finding = False
        incarnation = int(wall_seconds() * 1000)
        name = f"{machine.node}/{incarnation}"
        self.operator_records = OperatorRecords(None, name)
        self.lease = GroupLease(None, reactor, name)
        self.member = Member(
            _place(machine),
            reactor=reactor,
            rng=self.rng,
            incarnation=incarnation,
            header_names=HEADER_NAMES,
            token=TOKEN,
            term=self.lease,
            record=lambda move: ensureDeferred(
                self.operator_records.record_status(move)
            ),
            read=self.operator_records.apply_document,
        )
        self.store = StoreClient(
            reactor, self.member.pool, machine.store_address
        )
        self.operator_records.store = self.store
        self.operator_records.member = self.member
        self.lease.store = self.store
        own = Peer(
            node=machine.node,
            data_centre=machine.data_centre,
            mesh_address=machine.mesh_address,
        )
        self.directory = Directory(self.store, own)
        self.tail = Tail(
            store=self.store,
            clock=reactor,
            rng=self.rng,
            topic=OPERATOR_TOPIC,
            on_record=self.operator_records.apply_record,
        )

    def start(self) -> None:
        """Listens and starts the node's loops."""
        machine, member = self.machine, self.member
        self.call_port = self._listen(machine.call_address, member.calls)
        self._listen(machine.host_address, member.calls)
        self._listen(machine.mesh_address, member.gossip.link_factory())
        self._listen(
            machine.readiness_address, make_site(ReadinessResource(member))
        )
        self._listen(
            machine.heartbeat_address, make_site(HeartbeatResource(member))
        )
        self._listen(
            machine.metrics_address, make_site(MetricsResource(member))
        )
        self.tail.start()
        for call, period in (
            (member.tick, TICK_S),
            (member.report, REPORT_S),
            (member.sweep, SWEEP_S),
            (self._tick_lease, LEASE_S),
            (self._find, FIND_S),
            (self._look_at_settings, SETTINGS_S),
        ):
            loop = LoopingCall(call)
            loop.clock = self.reactor
            loop.start(period).addErrback(self._loop_failed)
        logs.info("started", version=__version__, service=machine.service)

    def _listen(self, address: str, factory):
        host, _, port = address.rpartition(":")
        listening = self.reactor.listenTCP(
            int(port), factory, interface=host, backlog=512
        )
        self.ports.append(listening)
        return listening

    def _loop_failed(self, failure) -> None:
        # A node whose loops have ended would serve from a state that grows
        # old without anyone noticing.
        logs.error("loop-failed", detail=failure.getTraceback())
        self.reactor.stop()

    def _tick_lease(self) -> None:
        self.lease.tick(wanted=self.member.wants_term())
        if not self.tail.available and self.reactor.running:
            self.member.gossip.request_document()

    def _find(self) -> None:
        now = self.reactor.seconds()
        if self.finding or self.stopping or now < self.find_due:
            return
        self.finding = True
        done = ensureDeferred(self._find_peers())
        done.addErrback(
            lambda failure: logs.error(
                "directory-failed", detail=failure.getTraceback()
            )
        )
        done.addBoth(self._found)

    async def _find_peers(self) -> None:
        self.find_due = self.reactor.seconds() + FIND_S
        first = not self.directory.registered
        try:
            peers = await self.directory.fetch_peers()
            if first:
                await self.operator_records.load_move_results()
        except StoreError as error:
            logs.warning("directory-away", why=error)
            return
        for peer in peers:
            if peer.node != self.machine.node:
                self.member.gossip.directory_peers[peer.node] = peer
        self.find_due = self.reactor.seconds() + FIND_AGAIN_S
        if not first and self.member.gossip.links:
            self.find_due = self.reactor.seconds() + FIND_SELDOM_S

    def _found(self, _) -> None:
        self.finding = False
        self.member.gossip.reconcile()

    def reload(self) -> None:
        """Takes the settings file over; a bad one leaves the old in force."""
        loaded = load_machine_settings(self.path)
        if loaded.is_error():
            for fault in loaded.error.faults:
                logs.error("settings-refused", fault=fault)
            return
        machine = loaded.ok
        self.machine = machine
        self.member.place = _place(machine)
        logs.setup(machine.log_level, node=machine.node)
        logs.info("reloaded", service=machine.service)

    def _look_at_settings(self) -> None:
        try:
            stamp = self.path.stat().st_mtime_ns
        except OSError as error:
            logs.warning("settings-unreadable", detail=error)
            return
        if stamp != self.stamp:
            self.stamp = stamp
            self.reload()

    def begin_stop(self) -> None:
        """Starts a graceful stop; a second call does nothing."""
        if not self.stopping:
            self.stopping = True
            self._stop()

    @inlineCallbacks
    def _stop(self):
        logs.info("stopping", in_flight=self.member.calls.active)
        began = self.reactor.seconds()
        self.member.leave()
        yield deferLater(self.reactor, LEAVE_S)
        left = began + self.machine.grace_period_s - STOP_SLACK_S
        yield self.call_port.stopListening()
        leaving = self.member.calls.leave()
        leaving.addTimeout(
            max(0.0, left - self.reactor.seconds()), self.reactor
        )
        leaving.addErrback(
            lambda _: logs.warning(
                "stopped-late", in_flight=self.member.calls.active
            )
        )
        yield leaving
        self.tail.stop()
        self.member.stop()
        logs.info("stopped", store_calls=self.store.calls)
        self.reactor.stop()


def _place(machine: MachineSettings) -> Place:
    return Place(
        node=machine.node,
        data_centre=machine.data_centre,
        service=machine.service,
        host_address=machine.host_address,
        mesh_address=machine.mesh_address,
        retry_ratio=machine.retry_ratio,
        retry_slack=machine.retry_slack,
    )


def main() -> None:
    """Runs a node with the settings file that the environment names."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = load_machine_settings(path)
    if loaded.is_error():
        for fault in loaded.error.faults:
            print(f"settings: {fault}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if "--check" in sys.argv[1:]:
        print("settings are valid")
        return
    from twisted.internet import reactor

    machine = loaded.ok
    logs.setup(machine.log_level, node=machine.node)
    daemon = Daemon(machine, path, reactor)
    for number, act in (
        (signal.SIGTERM, daemon.begin_stop),
        (signal.SIGINT, daemon.begin_stop),
        (signal.SIGHUP, daemon.reload),
    ):
        signal.signal(
            number,
            lambda number, frame, act=act: reactor.callFromThread(act),
        )
    reactor.callWhenRunning(_run, daemon)
    reactor.run(installSignalHandlers=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def _run(daemon: Daemon) -> None:
    daemon.start()
    # What lives this long need not be looked at by the collector again.
    gc.collect()
    gc.freeze()
    # Calls leave little in cycles behind, so that looking for it can wait.
    gc.set_threshold(GC_ALLOCATIONS, 20, 50)


if __name__ == "__main__":
    main()
