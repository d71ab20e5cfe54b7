"""Daemon that runs a node on the platform."""

import gc
import os
import pathlib
import random
import signal
import sys
from collections.abc import Coroutine

from twisted.internet.defer import ensureDeferred, inlineCallbacks
from twisted.internet.task import deferLater
from twisted.logger import globalLogBeginner

from fulmarrudder import __version__
from fulmarrudder.call.budget import limits_of_machine
from fulmarrudder.clock import use_monotonic_time, wall_seconds
from fulmarrudder.distribution import Peer
from fulmarrudder.distribution.readers import ReaderDuty
from fulmarrudder.node.gossip_node import (
    TICK_PERIOD_S,
    GossipNode,
    GossipNodeSettings,
)
from fulmarrudder.node.recorder import DepartureRecorder
from fulmarrudder.observe import logs
from fulmarrudder.platform.directory import Directory
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.follower import Follower
from fulmarrudder.platform.header_names import HEADER_NAMES
from fulmarrudder.platform.http import (
    HeartbeatResource,
    MetricsResource,
    ReadinessResource,
    make_site,
)
from fulmarrudder.platform.lease import GroupLease
from fulmarrudder.platform.operator_records import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TOPIC,
    OperatorRecords,
)
from fulmarrudder.platform.refresher import Refresher
from fulmarrudder.platform.settings import (
    MachineSettings,
    load_machine_settings,
)
from fulmarrudder.platform.statuses import StatusRestorer
from fulmarrudder.platform.store import RecordBatch, StoreClient
from fulmarrudder.platform.tail import Tail
from fulmarrudder.quotas import QuotaBounds
from fulmarrudder.reactor import install_reactor
from fulmarrudder.workspaces import Credentials

SETTINGS_VARIABLE = "FULMARRUDDER_BOOT"
# Nodes share the platform's network, so the token is not secret: it only
# distinguishes requests of nodes from requests of callers.
TOKEN = b"fr1"
DIRECTORY_PERIOD_S = 0.5
# Delay of the next directory read while the node has no links. Nodes that start
# together have all registered by the second read.
DIRECTORY_RETRY_S = 1.0
# Delay of the next directory read of a gateway that has links to other nodes.
# What it learns there spreads as facts.
DIRECTORY_REFRESH_S = 20.0
# The same of all other nodes.
RARE_DIRECTORY_REFRESH_S = 120.0
# Longest delay of the read in which a node looks for its own record after the
# store has come back from an older copy. Nodes draw theirs, so that the store is
# not asked by all at once.
DIRECTORY_ERA_DELAY_S = 2.0
# Pause before a departure is recorded again while its target awaits that.
DEPARTURES_PERIOD_S = 0.25
# Pause before the results of moves are read again, after a read that failed.
RESULTS_PERIOD_S = 1.0
SETTINGS_CHECK_PERIOD_S = 1.0
# The platform stops sending callers after two failed readiness probes, which
# are one second apart.
READINESS_DRAIN_S = 2.3
# Part of the grace period that remains after connections are closed.
STOP_SLACK_S = 0.6
# Time in which an answer that is written reaches its caller.
ANSWER_MARGIN_S = 0.1
EXIT_FAULT = 1
EXIT_INVALID_SETTINGS = 2
# Allocations between two collections of the youngest generation.
GC_THRESHOLD = 20_000


class Daemon:
    """Runs one node on the platform until a signal stops it.

    Attributes:
        settings: Active settings.
        path: Path of the settings file.
        settings_mtime_ns: Modification time of the file when last read.
        next_search_at: Clock seconds before which the directory is not read.
        read_directory_at: Clock seconds at which it was last read.
        node: The node.
        stopping: Whether a graceful stop has begun.
        exit_code: Exit code of the process.
    """

    def __init__(self, settings: MachineSettings, path: pathlib.Path, reactor):
        self.settings = settings
        self.path = path
        self.settings_mtime_ns = path.stat().st_mtime_ns
        self.reactor = reactor
        self.rng = random.Random()
        self.stopping = False
        self.exit_code = 0
        self.ports = []
        self.next_search_at = 0.0
        self.read_directory_at = 0.0
        incarnation = int(wall_seconds() * 1000)
        name = f"{settings.node}/{incarnation}"
        self.operator_records = OperatorRecords(None, reactor)
        self.lease = GroupLease(None, reactor, name, self._catch_up)
        self.departures = DepartureRecorder(
            reactor,
            lambda departed: self.directory.record_departure(departed),
        )
        self.node = GossipNode(
            _node_settings_of(settings),
            reactor=reactor,
            rng=self.rng,
            incarnation=incarnation,
            header_names=HEADER_NAMES,
            token=TOKEN,
            lease=self.lease,
            record_status=lambda move: ensureDeferred(
                self.operator_records.record_status(move)
            ),
            read_status=lambda move: ensureDeferred(
                self.operator_records.read_status(move)
            ),
            on_document=self.operator_records.apply_document,
            on_version_told=lambda version: self.refresher.version_told(
                version
            ),
            is_receiving=lambda: self.tail.receiving,
            on_source_update=lambda update: self.follower.receive(update),
            on_change=self.operator_records.apply_change,
            record_departure=self.departures.record,
            is_first_start=settings.first_start,
            on_evacuation=lambda fact: self.tail.learn(
                f"{EVACUATION_PREFIX}{fact.data_centre}", fact.offset
            ),
            on_source_era=lambda number: self.store.era.note(number),
            has_records_to_write=lambda: self.statuses.is_due(),
        )
        self.supervisor = self.node.supervisor
        self.store = StoreClient(
            reactor, self.node.pool, settings.store_address
        )
        self.operator_records.store = self.store
        self.operator_records.node = self.node
        self.lease.store = self.store
        self.statuses = StatusRestorer(
            self.lease,
            lambda may_write: self.operator_records.write_statuses_again(
                may_write
            ),
        )
        own = Peer(
            node=settings.node,
            data_centre=settings.data_centre,
            mesh_address=settings.mesh_address,
        )
        self.directory = Directory(
            self.store,
            own,
            first_start=settings.first_start,
            epoch=incarnation,
        )
        self.duty = ReaderDuty(
            clock=reactor,
            node=settings.node,
            due_s=settings.config_apply_s,
            topology=lambda: self.node.gossip.topology,
        )
        self.tail = Tail(
            store=self.store,
            clock=reactor,
            rng=self.rng,
            topic=OPERATOR_TOPIC,
            on_record=self.supervisor.guard(
                "operator-records", self.operator_records.apply_record
            ),
            on_answer=self._answer_read,
            reads_from=self.duty.reads_from,
            due_s=settings.config_apply_s,
            max_retry_s=self.duty.retry_delay_s,
            versioned_keys=frozenset({CONFIG_KEY}),
            on_moved=self.supervisor.guard(
                "operator-records", self.operator_records.follow_record
            ),
        )
        self.operator_records.is_in_doubt = self.tail.is_in_doubt
        self.refresher = Refresher(
            clock=reactor,
            tail=self.tail,
            active_version=lambda: self.node.version,
        )
        self.follower = Follower(
            tail=self.tail,
            duty=self.duty,
            refresher=self.refresher,
            active_version=lambda: self.node.version,
            read_version=lambda: self.operator_records.loader.read_version,
            tell=self.node.gossip.tell_source,
            on_confirmed=self.node.confirm_version,
            version_key=CONFIG_KEY,
            era=self.store.era,
        )
        self.store.era.listeners.append(
            self.supervisor.guard("store-era", self._enter_era)
        )
        self.operator_records.on_activated = self.follower.settle

    def _enter_era(self, before: int | None, era: int) -> None:
        """Handles that an era of the store was seen for the first time.

        Args:
            before: The era before, or None after a start.
            era: The era.
        """
        # First: a holder of the duty stops at once.
        self.lease.enter_era()
        self.node.source_era = era
        if before is None:
            return
        self.tail.enter_era()
        self.follower.enter_era()
        self.directory.enter_era()
        self.departures.enter_era()
        self.next_search_at = self.reactor.seconds() + self.rng.uniform(
            0.0, DIRECTORY_ERA_DELAY_S
        )
        if self.node.recorded_moves():
            self.statuses.enter_era(era)
        self.node.enter_source_era(era)

    def start(self) -> None:
        """Starts the node's listeners and periodic tasks."""
        settings, node = self.settings, self.node
        self.call_port = self._listen(settings.call_address, node.calls)
        self._listen(settings.host_address, node.calls)
        self._listen(settings.mesh_address, node.gossip.link_factory())
        self._listen(
            settings.readiness_address, make_site(ReadinessResource(node))
        )
        self._listen(
            settings.heartbeat_address, make_site(HeartbeatResource(node))
        )
        self._listen(settings.metrics_address, make_site(MetricsResource(node)))
        every = self.supervisor.every
        self.move_results_task = every(
            RESULTS_PERIOD_S, "move-results", self._load_move_results
        )
        self.departures.run = every(
            DEPARTURES_PERIOD_S, "departures", self.departures.write_latest
        ).run
        self.supervisor.keep_running("store-records", self.tail.run)
        node.start()
        every(TICK_PERIOD_S, "lease", self._tick_lease)
        every(TICK_PERIOD_S, "lease-records", self.lease.read_records)
        every(TICK_PERIOD_S, "statuses", self.statuses.tick)
        every(TICK_PERIOD_S, "config-from-peers", self._ask_peers)
        every(DIRECTORY_PERIOD_S, "directory", self._search_peers)
        every(SETTINGS_CHECK_PERIOD_S, "settings", self._check_settings_file)
        logs.info("started", version=__version__, service=settings.service)

    def _listen(self, address: str, factory):
        host, _, port = address.rpartition(":")
        listening = self.reactor.listenTCP(
            int(port), factory, interface=host, backlog=512
        )
        self.ports.append(listening)
        return listening

    def _tick_lease(self) -> Coroutine | None:
        return self.lease.tick(is_candidate=self.node.is_controller_candidate())

    def _answer_read(self, start: int, batch: RecordBatch) -> None:
        self.follower.answer_read(start, batch)
        if start < 0:
            # Until the results are known, moves that have ended look open.
            self.move_results_task.run()

    def _ask_peers(self) -> None:
        if self.tail.available or not self.duty.reads():
            return
        if self.reactor.running:
            self.node.gossip.request_document()

    def _search_peers(self) -> Coroutine | None:
        now = self.reactor.seconds()
        if self.stopping or now < self.next_search_at:
            return None
        if self.directory.registered and self.node.gossip.links:
            refresh_s = RARE_DIRECTORY_REFRESH_S
            if self.node.gossip.is_gateway():
                refresh_s = DIRECTORY_REFRESH_S
            if now < self.read_directory_at + refresh_s:
                return None
        return self._read_directory()

    async def _read_directory(self) -> None:
        self.next_search_at = self.reactor.seconds() + DIRECTORY_PERIOD_S
        try:
            peers = await self.directory.fetch_peers()
        except StoreError as error:
            logs.warning("directory-unavailable", detail=error)
            return
        for peer in peers:
            if peer.node != self.settings.node:
                self.node.gossip.directory_peers[peer.node] = peer
        if not self.read_directory_at:
            self.departures.recall(self.directory.departed)
            self.node.confirm_target(self.directory.departed)
        self.read_directory_at = self.reactor.seconds()
        self.next_search_at = self.read_directory_at + DIRECTORY_RETRY_S
        self.node.gossip.reconcile()

    def _load_move_results(self) -> Coroutine | None:
        if self.stopping or self.node.move_results_loaded:
            return None
        if not self.node.move_requests.requests:
            return None
        return self._read_move_results()

    async def _read_move_results(self) -> None:
        try:
            await self.operator_records.load_move_results()
        except StoreError as error:
            logs.warning("move-results-unavailable", detail=error)

    async def _catch_up(self) -> None:
        """Reads the orders and the results that the store holds.

        Raises:
            StoreError: The store is unavailable or rejects a call.
        """
        await self.tail.catch_up()
        await self.operator_records.load_move_results()

    def reload(self) -> None:
        """Reads the settings file again; keeps the old settings on errors."""
        loaded = load_machine_settings(self.path)
        if loaded.is_error():
            for fault in loaded.error.faults:
                logs.error("settings-refused", fault=fault)
            return
        settings = loaded.ok
        self.settings = settings
        self.node.settings = _node_settings_of(settings)
        self.node.identifier.credentials = self.node.settings.credentials
        self.node.host.cold.set_excess(settings.cold_excess)
        self.node.quotas.set_bounds(
            self.node.settings.quota_bounds, self.reactor.seconds()
        )
        self.node.calls.budget.limits = self.node.settings.budget
        logs.setup(settings.log_level, node=settings.node)
        logs.info("reloaded", service=settings.service)

    def _check_settings_file(self) -> None:
        try:
            mtime_ns = self.path.stat().st_mtime_ns
        except OSError as error:
            logs.warning("settings-unreadable", detail=error)
            return
        if mtime_ns != self.settings_mtime_ns:
            self.settings_mtime_ns = mtime_ns
            self.reload()

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
        self.supervisor.record_fault("stop", failure)
        self.abort()

    @inlineCallbacks
    def _stop(self):
        logs.info("stopping", in_flight=self.node.calls.active)
        started_at = self.reactor.seconds()
        deadline = started_at + self.settings.grace_period_s - STOP_SLACK_S
        self.node.entry.stop_deadline = deadline - ANSWER_MARGIN_S
        self.node.leave()
        yield deferLater(self.reactor, READINESS_DRAIN_S)
        self._log_stop("readiness-drained", started_at)
        yield self.call_port.stopListening()
        self._log_stop("not-listening", started_at)
        drained = self.node.calls.leave()
        drained.addTimeout(
            max(0.0, deadline - self.reactor.seconds()), self.reactor
        )
        drained.addErrback(
            lambda _: logs.warning(
                "stop-timed-out", in_flight=self.node.calls.active
            )
        )
        yield drained
        if self.node.calls.active:
            self.node.calls.end_remaining()
            yield deferLater(self.reactor, ANSWER_MARGIN_S)
        self._log_stop("connections-closed", started_at)
        self.node.stop()
        logs.info("stopped", store_calls=self.store.calls)
        self.reactor.stop()

    def _log_stop(self, phase: str, started_at: float) -> None:
        calls = self.node.calls
        logs.info(
            "stop-phase",
            phase=phase,
            in_flight=calls.active,
            connections=len(calls.connections),
            slots_taken=self.node.host.slots.taken,
            queued=self.node.host.slots.queued,
            took_ms=int((self.reactor.seconds() - started_at) * 1000),
        )


def _node_settings_of(settings: MachineSettings) -> GossipNodeSettings:
    return GossipNodeSettings(
        node=settings.node,
        data_centre=settings.data_centre,
        service=settings.service,
        host_address=settings.host_address,
        mesh_address=settings.mesh_address,
        retry_ratio=settings.retry_ratio,
        retry_slack=settings.retry_slack,
        link_bytes_per_s=settings.link_bytes_per_s,
        cold_excess=settings.cold_excess,
        budget=limits_of_machine(settings.memory_bytes, settings.descriptors),
        credentials=Credentials(
            fail_closed=settings.fail_closed, unconfirmed_s=settings.revoke_s
        ),
        quota_bounds=QuotaBounds(
            window_s=settings.quota_window_s,
            excess=settings.quota_excess,
            slack=settings.quota_slack,
        ),
    )


def main() -> None:
    """Runs a node with the settings file that `FULMARRUDDER_BOOT` names."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = load_machine_settings(path)
    if loaded.is_error():
        for fault in loaded.error.faults:
            print(f"settings: {fault}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if "--check" in sys.argv[1:]:
        print("settings are valid")
        return
    reactor = install_reactor()
    use_monotonic_time(reactor)
    settings = loaded.ok
    logs.setup(settings.log_level, node=settings.node)
    daemon = Daemon(settings, path, reactor)
    guard = daemon.supervisor.guard
    globalLogBeginner.beginLoggingTo(
        [daemon.supervisor.observe], redirectStandardIO=False
    )
    for number, action in (
        (signal.SIGTERM, daemon.begin_stop),
        (signal.SIGINT, daemon.begin_stop),
        (signal.SIGHUP, guard("settings", daemon.reload)),
    ):
        signal.signal(
            number,
            lambda number, frame, action=action: reactor.callFromThread(action),
        )
    reactor.callWhenRunning(
        guard("start", _run, lambda daemon: daemon.abort()), daemon
    )
    reactor.run(installSignalHandlers=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    sys.exit(daemon.exit_code)


def _run(daemon: Daemon) -> None:
    daemon.start()
    # Objects that exist at this point live as long as the process, so the
    # garbage collector need not scan them, not even once: callers wait.
    gc.freeze()
    # Calls create few reference cycles, so collections can be rare.
    gc.set_threshold(GC_THRESHOLD, 20, 50)
    gc.enable()


if __name__ == "__main__":
    main()
