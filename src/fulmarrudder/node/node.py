"""One node: connects the pipelines, and applies state changes to them."""

import random
import uuid
from collections.abc import Callable, Coroutine

from fulmarrudder.call import (
    ActiveConfig,
    CallFactory,
    ConnectionPool,
    EntryPipeline,
    HostPipeline,
    LoadBalancer,
    RouteTable,
    reachable_services,
)
from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.distribution import Dialer
from fulmarrudder.distribution.duties import duties_of
from fulmarrudder.distribution.lease import LeaseRenewer, LeaseWatcher
from fulmarrudder.distribution.mesh import Mesh
from fulmarrudder.distribution.state_store import StateStore
from fulmarrudder.log import (
    Envelope,
    LogService,
    Submitter,
    UndecidedError,
)
from fulmarrudder.membership import Announcement, FactStore, LocalTarget
from fulmarrudder.model import (
    Condition,
    ConfigStatus,
    ConfigSummary,
    Evidence,
    Fact,
    Presence,
)
from fulmarrudder.move import Controller, Monitor
from fulmarrudder.node.config_reader import ConfigReader
from fulmarrudder.node.duty_manager import DutyManager
from fulmarrudder.node.presence import PresenceBroadcaster
from fulmarrudder.node.settings import Settings
from fulmarrudder.node.snapshot_writer import SnapshotWriter
from fulmarrudder.node.supervisor import Supervisor
from fulmarrudder.observe import EventLog, Metrics, Spans, logs
from fulmarrudder.observe.spans import MAX_QUEUED_SPANS
from fulmarrudder.operate.fleet import FleetView
from fulmarrudder.state_machine import (
    CONTROLLER,
    Outcome,
    Refused,
    duty_named,
    open_move_of,
)

APPEND_TIMEOUT_S = 10.0
TICK_PERIOD_S = 0.25
REPORT_PERIOD_S = 1.0
SWEEP_PERIOD_S = 2.0


class Node:
    """A node and its local target.

    Attributes:
        settings: Settings that the node was started with.
        supervisor: Runs the node's tasks.
        state_store: Applies records to the replicated state.
        mesh: Links to other nodes.
        host: Pipeline of requests to the local target.
        entry: Pipeline of requests from callers.
        submitter: Appends records to the log.
        table_key: Version and service that the route table was built for.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        reactor,
        log: LogService,
        rng: random.Random,
        incarnation: int,
        wall: Callable[[], float] = wall_seconds,
    ):
        self.settings = settings
        self.clock: Clock = reactor
        self.rng = rng
        self.log = log
        self.incarnation = incarnation
        self.holder_id = f"{settings.node}/{incarnation}"
        self.metrics = Metrics()
        self.supervisor = Supervisor(reactor, self.metrics, rng)
        guard = self.supervisor.guard
        self.spans = Spans(reactor, settings.span_ratio)
        self.facts = FactStore()
        self.local_target = LocalTarget(reactor)
        self.state_store = StateStore(
            on_outcome=self._on_outcome, on_advance=self._on_advance
        )
        self.config_reader = ConfigReader(log, reactor, rng, self.state_store)
        self.submitter = Submitter(
            log, reactor, rng, lambda: self.state_store.state.offset
        )
        self.lease_watcher = LeaseWatcher(log, reactor, rng)
        self.lease_renewer = LeaseRenewer(
            log, reactor, self.holder_id, self.duties
        )
        self.mesh = Mesh(
            clock=reactor,
            rng=rng,
            node=settings.node,
            holder_id=self.holder_id,
            data_centre=settings.data_centre,
            mesh_address=settings.mesh_address,
            seeds=settings.seeds,
            degree=settings.degree,
            dialer=Dialer(
                reactor, settings.mesh_token.encode(), self.metrics, guard
            ),
            state_store=self.state_store,
            facts=self.facts,
            metrics=self.metrics,
            on_new_fact=guard("facts", self._on_new_fact),
            on_position_change=self._on_position_change,
            on_claim_request=lambda request: (
                self.duty_manager.handle_claim_request(request)
            ),
        )
        self.events = EventLog(self.metrics)
        self.pool = ConnectionPool(reactor, events=self.events)
        self.balancer = LoadBalancer(
            settings.data_centre, rng, events=self.events
        )
        self.host = HostPipeline(
            clock=reactor,
            pool=self.pool,
            local_target=self.local_target,
            facts=self.facts,
            log=log,
            rng=rng,
            broadcast=self.mesh.fact_router.broadcast,
            events=self.events,
        )
        token = settings.mesh_token.encode()
        self.entry = EntryPipeline(
            clock=reactor,
            pool=self.pool,
            host=self.host,
            node=settings.node,
            token=token,
            facts=self.facts,
            balancer=self.balancer,
            rng=rng,
            spans=self.spans,
            metrics=self.metrics,
            events=self.events,
        )
        self.calls = CallFactory(
            clock=reactor,
            entry=self.entry,
            host=self.host,
            token=token,
            spans=self.spans,
            metrics=self.metrics,
        )
        self.fleet = FleetView(
            reactor=reactor,
            clock=reactor,
            settings=settings,
            incarnation=incarnation,
            state_store=self.state_store,
            mesh=self.mesh,
            facts=self.facts,
        )
        self.monitor = Monitor(
            reactor, self.facts, self.mesh.fact_router.broadcast
        )
        self.controller = Controller(
            reactor,
            self.monitor,
            self._append_record,
            self.fleet.confirmation_of,
            wall,
        )
        self.snapshot_writer = SnapshotWriter(log, reactor)
        self.evidence_sequence = 0
        self.duty_manager = DutyManager(
            clock=reactor,
            rng=rng,
            settings=settings,
            holder_id=self.holder_id,
            state_store=self.state_store,
            mesh=self.mesh,
            config_reader=self.config_reader,
            lease_watcher=self.lease_watcher,
            is_leaving=lambda: self.host.leaving,
            submit=self.submit,
        )
        own = Presence(
            node=settings.node,
            incarnation=incarnation,
            sequence=0,
            data_centre=settings.data_centre,
            call_address=settings.call_address,
            mesh_address=settings.mesh_address,
        )
        self.presence_broadcaster = PresenceBroadcaster(
            own, self.local_target, self.mesh.fact_router.broadcast
        )
        self.table_key = None

    def duties(self):
        """Returns the duties that this node holds."""
        return duties_of(self.state_store.state, self.holder_id)

    def is_controller(self) -> bool:
        """Returns whether this node may act as the controller."""
        holds_duty = any(duty.name == CONTROLLER for duty in self.duties())
        return holds_duty and self.lease_renewer.holds_lease()

    @property
    def serving(self) -> bool:
        """Whether the node has an active arrangement and is not leaving."""
        return (
            self.entry.active_config.table is not None and not self.host.leaving
        )

    def apply_announcement(self, announcement: Announcement) -> None:
        """Applies an announcement of the local target."""
        if self.local_target.update(announcement):
            self.host.apply_announcement()
            self.refresh_presence()

    def start(self) -> None:
        """Starts the periodic tasks."""
        every = self.supervisor.every
        every(TICK_PERIOD_S, "mesh", self.mesh.reconcile)
        every(TICK_PERIOD_S, "duties", self.duty_manager.tick)
        every(TICK_PERIOD_S, "presence", self.refresh_presence)
        every(TICK_PERIOD_S, "lease", self.lease_renewer.tick)
        every(
            TICK_PERIOD_S,
            "lease-watcher",
            self.lease_watcher.track_log_outage,
        )
        every(REPORT_PERIOD_S, "evidence", self.report_evidence)
        every(REPORT_PERIOD_S, "summary", self.report_summary)
        every(
            REPORT_PERIOD_S,
            "moves",
            self.run_controller,
            on_fault=self.hand_over_controller,
        )
        every(REPORT_PERIOD_S, "snapshot", self.write_snapshot)
        every(REPORT_PERIOD_S, "resync", self.resync_from_peer)
        every(SWEEP_PERIOD_S, "facts-expiry", self.expire_facts)
        every(SWEEP_PERIOD_S, "connections", self.sweep_connections)

    def report_summary(self) -> None:
        """Broadcasts the summary of a relay when it is due."""
        if not self.mesh.is_relay():
            return
        summary = self.fleet.summary_if_due()
        if summary is not None:
            self.mesh.fact_router.broadcast(summary)

    def run_controller(self) -> None:
        """Monitors open moves on a relay; the controller decides on them."""
        if not self.mesh.is_relay():
            return
        self.monitor.tick()
        if self.is_controller():
            state = self.state_store.state
            term = duty_named(state, CONTROLLER).term
            self.controller.tick(state, term)

    def hand_over_controller(self) -> None:
        """Requests that another node claims the controller's duty."""
        self.duty_manager.hand_over_duties(frozenset({CONTROLLER}))

    def write_snapshot(self) -> Coroutine | None:
        """Appends a snapshot when one is due and this node is the controller.

        Returns:
            The coroutine that appends it, or None.
        """
        if not self.mesh.is_relay() or not self.is_controller():
            return None
        return self.snapshot_writer.tick(self.state_store.state)

    def report_evidence(self) -> None:
        """Broadcasts the tallies of the local target while its service moves."""
        state = self.state_store.state
        latest = self.local_target.latest
        if latest is None or open_move_of(state, latest.service) is None:
            return
        self.evidence_sequence += 1
        self.mesh.fact_router.broadcast(
            Evidence(
                source=self.settings.node,
                incarnation=self.incarnation,
                sequence=self.evidence_sequence,
                tallies=self.host.tallies.of_service(latest.service),
            )
        )

    def resync_from_peer(self) -> None:
        """Requests records from another relay while the log is no source.

        The log may be unavailable, or the records that this node lacks may
        have expired.
        """
        if not self.mesh.is_relay():
            return
        peers = tuple(self.mesh.peers.by_node)
        if peers and not self.config_reader.available:
            self.mesh.resync_from(self.rng.choice(peers))

    def _append_record(self, body):
        appending = self.submit(body, limit_s=APPEND_TIMEOUT_S)
        return appending.addErrback(
            lambda failure: failure.trap(UndecidedError)
        )

    def expire_facts(self) -> None:
        """Discards expired facts and those of closed moves."""
        self.mesh.fact_router.expire()
        open_moves = frozenset(m.id for m in self.state_store.state.moves)
        if self.state_store.synced:
            self.facts.discard_closed_moves(open_moves)

    def sweep_connections(self) -> None:
        """Closes idle connections; forgets endpoints that have gone."""
        self.pool.sweep()
        self.calls.sweep()
        known = {(p.node, p.incarnation) for p in self.facts.all_of(Presence)}
        self.balancer.retain(frozenset(known))

    def refresh_presence(self, *, force: bool = False) -> None:
        """Broadcasts this node's presence if it has changed.

        Args:
            force: Whether to broadcast it even if it has not changed, so that
                it supersedes what other nodes may have concluded.
        """
        before = self.presence_broadcaster.last_sent
        if not self.presence_broadcaster.refresh(
            leaving=self.host.leaving, force=force
        ):
            return
        if (
            before is None
            or before.service != self.presence_broadcaster.last_sent.service
        ):
            self._activate_config()

    def leave(self) -> None:
        """Starts to leave: accepts no new requests and hands over duties."""
        self.host.leaving = True
        self.refresh_presence()
        self.mesh.fact_router.flush()
        self.duty_manager.hand_over_duties()

    def stop(self) -> None:
        """Stops tasks, reading and appending, and closes connections."""
        self.supervisor.stop()
        self.config_reader.stop()
        self.lease_watcher.stop()
        self.mesh.uplink.stop()
        self.pool.close()
        self.submitter.stop()
        self.spans.drain(limit=MAX_QUEUED_SPANS)

    def submit(self, body, *, limit_s: float):
        """Appends a record under a new id.

        Args:
            body: Body of the record.
            limit_s: Seconds to wait for the outcome.

        Returns:
            Deferred of the `Outcome`; fails with `UndecidedError`.
        """
        envelope = Envelope(id=uuid.uuid4().hex, body=body)
        deadline = self.clock.seconds() + limit_s
        return self.submitter.submit(envelope, deadline=deadline)

    def _on_outcome(self, outcome: Outcome) -> None:
        label = type(outcome).__name__.lower()
        self.metrics.count("fulmarrudder_records_total", ("outcome", label))
        if isinstance(outcome, Refused):
            logs.info(
                "record-refused",
                offset=outcome.offset,
                reason=outcome.reason.value,
                detail=outcome.detail,
            )
        self.submitter.resolve(outcome)

    def _on_advance(self, previous_offset: int) -> None:
        self._activate_config()
        self.mesh.forward_updates(previous_offset)
        self.monitor.sync_moves(self.state_store.state)
        if not self.state_store.synced:
            return
        state = self.state_store.state
        self.mesh.fact_router.broadcast(
            ConfigStatus(
                node=self.settings.node,
                incarnation=self.incarnation,
                data_centre=self.settings.data_centre,
                offset=state.offset,
                version=state.version,
            )
        )

    def _activate_config(self) -> None:
        state = self.state_store.state
        if not self.state_store.synced or state.version == 0:
            return
        presence = self.presence_broadcaster.last_sent
        service = presence.service if presence else ""
        key = (state.version, service)
        if key != self.table_key:
            self.table_key = key
            table = RouteTable(state.arrangement, service)
            services = reachable_services(state.arrangement, service)
            logs.info("in-force", version=state.version, offset=state.offset)
            self.mesh.set_interest(services)
        else:
            table = self.entry.active_config.table
        self.entry.active_config = ActiveConfig(state=state, table=table)

    def _on_new_fact(self, fact: Fact) -> None:
        if isinstance(fact, ConfigSummary):
            self.fleet.record_summary(fact)
        if isinstance(fact, Evidence):
            self.monitor.add_evidence(fact)
        if not isinstance(fact, Presence):
            return
        if fact.condition is Condition.LOST:
            self.entry.sender.node_lost(fact.node)
        if fact.node != self.settings.node:
            return
        own = self.presence_broadcaster
        if fact is own.last_sent or fact.incarnation < self.incarnation:
            return
        if fact.sequence >= own.sequence and fact != own.last_sent:
            # Another node declared this one lost: a newer presence refutes it.
            own.sequence = fact.sequence
            self.refresh_presence(force=True)

    def _on_position_change(self) -> None:
        self.refresh_presence(force=True)


def new_incarnation() -> int:
    """Returns the incarnation of a process that starts now, in ms."""
    return int(wall_seconds() * 1000)
