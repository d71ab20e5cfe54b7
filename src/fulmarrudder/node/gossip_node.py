"""A node of a fleet without relays, linked to its neighbours by gossip.

The node receives configuration versions and move requests from an adapter
(see `fulmarrudder.platform`). Nodes exchange versions and the progress of
moves by gossip, so that the fleet keeps working while the adapter's source is
unavailable.
"""

import dataclasses
import enum
import math
import random
from collections.abc import Callable
from functools import singledispatchmethod

from twisted.internet.defer import Deferred, succeed

from fulmarrudder.call import (
    CallFactory,
    ConnectionPool,
    EntryPipeline,
    HeaderNames,
    HostPipeline,
    LoadBalancer,
    RouteChange,
    RouteTable,
)
from fulmarrudder.call.budget import BudgetLimits
from fulmarrudder.call.offers import VACANCIES_METRIC
from fulmarrudder.call.start import START_S
from fulmarrudder.clock import wall_seconds
from fulmarrudder.distribution import Dialer, Document, Gossip
from fulmarrudder.distribution.message import (
    ConfigChange,
    SourceUpdate,
    Vacancy,
)
from fulmarrudder.membership import (
    Announcement,
    DepartedTarget,
    FactStore,
    ForeignServiceError,
    LocalTarget,
)
from fulmarrudder.model import (
    Arrangement,
    Brake,
    Condition,
    Evacuation,
    Evidence,
    Fact,
    MoveProgress,
    Presence,
    SourceEra,
)
from fulmarrudder.move import (
    Controller,
    Monitor,
    MoveRequest,
    MoveRequestStore,
    MoveResult,
    RecordedMove,
)
from fulmarrudder.node.errors import DepartureRecordError
from fulmarrudder.node.evacuation import Evacuations
from fulmarrudder.node.gauges import call_gauges, quota_gauges
from fulmarrudder.node.move_executor import ControllerLease, MoveExecutor
from fulmarrudder.node.presence import PresenceBroadcaster
from fulmarrudder.node.supervisor import Supervisor, ignore
from fulmarrudder.observe import EventLog, Metrics, Sample, Spans, logs
from fulmarrudder.quotas import FleetQuotas, QuotaBounds
from fulmarrudder.quotas.gate import QuotaGate
from fulmarrudder.state_machine import OPEN_PHASES, CurrentVersion, Move, State
from fulmarrudder.workspaces import Credentials, Identifier, KeyTable

# Share of the fleet's retry budget that nodes may use. The calls that a
# retried request makes in turn count as retries as well.
RETRY_BUDGET_SHARE = 0.4
# Number of nodes that try to obtain the controller's lease: enough that one is left
# when several are lost at once, few enough to put little load on the store.
MAX_CANDIDATES = 4
PRESENT_CONDITIONS = frozenset({Condition.READY, Condition.ABSENT})
# A node that has found no peer after this time serves callers with its local
# target alone.
DISCOVERY_TIMEOUT_S = 3.0
TICK_PERIOD_S = 0.25
REPORT_PERIOD_S = 0.5
SWEEP_PERIOD_S = 2.0
# Long, because connections show sooner than missing announcements that a
# target has stopped.
ANNOUNCEMENT_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipNodeSettings:
    """Settings of one node.

    Attributes:
        node: Id of the node.
        data_centre: Data centre that the node runs in.
        service: Service of the local target.
        host_address: host:port to which other nodes send calls for that
            target.
        mesh_address: host:port at which other nodes open links.
        retry_ratio: Retries per request that the whole fleet may make.
        retry_slack: Retries that the fleet may make beyond that ratio.
        link_bytes_per_s: Speed of the instance's network link.
        budget: What the connections of callers and nodes may hold.
        credentials: What is demanded of a node that may be behind.
        cold_excess: Requests that a cold target may get for each that its
            service names.
        quota_bounds: How exactly the quotas of workspaces are to be kept.
    """

    node: str
    data_centre: str
    service: str
    host_address: str
    mesh_address: str
    retry_ratio: float
    retry_slack: float
    link_bytes_per_s: float = math.inf
    budget: BudgetLimits = BudgetLimits()
    credentials: Credentials = Credentials()
    cold_excess: float = 1.0
    quota_bounds: QuotaBounds = QuotaBounds()


def _keep_nowhere(departed: DepartedTarget) -> Deferred:
    """Records nothing; for nodes without a store."""
    return succeed(None)


class VersionSource(enum.Enum):
    """Where a node has a configuration version from."""

    STORE = "store"
    PEER = "peer"
    CHANGE = "change"


class GossipNode:
    """A node and its local target, in a fleet without relays.

    Attributes:
        settings: Settings of the node; replaced when they are reloaded.
        supervisor: Runs the node's tasks.
        entry: Pipeline of requests from callers.
        host: Pipeline of requests to the local target.
        identifier: Finds the workspaces of requests.
        evacuations: Applies evacuations of data centres.
        quotas: Decides which requests are beyond the quotas of workspaces.
        gossip: Links to other nodes.
        render_document: Puts the active configuration together as a document;
            None before the first one.
        state: The active arrangement and the moves; not built from a log.
        move_requests: Move requests of the operator.
        source_era: Era of the source of versions; 0 if it tells none.
        move_results_loaded: Whether the results recorded before this process
            started are known. Without them a move that has ended looks open.
    """

    def __init__(
        self,
        settings: GossipNodeSettings,
        *,
        reactor,
        rng: random.Random,
        incarnation: int,
        header_names: HeaderNames,
        token: bytes,
        lease: ControllerLease,
        record_status: Callable[[Move], Deferred],
        read_status: Callable[[Move], Deferred],
        on_document: Callable[[Document], None],
        on_version_told: Callable[[int], None] = ignore,
        is_receiving: Callable[[], bool] = bool,
        on_source_update: Callable[[SourceUpdate], None] = ignore,
        on_change: Callable[[ConfigChange], None] = ignore,
        record_departure: Callable[[DepartedTarget], Deferred] = _keep_nowhere,
        is_first_start: bool = True,
        on_evacuation: Callable[[Evacuation], None] = ignore,
        on_source_era: Callable[[int], None] = ignore,
        has_records_to_write: Callable[[], bool] = bool,
    ):
        """Builds a node.

        Args:
            settings: Settings of the node.
            reactor: Twisted's reactor.
            rng: Random number generator.
            incarnation: Start of the process, in wall-clock milliseconds.
            header_names: Header names that callers and targets use.
            token: Token that authenticates nodes to each other.
            lease: Lease of the controller's duty.
            record_status: Records the phase of a move for the operator; see
                `MoveExecutor`.
            read_status: Reads the recorded phase of a move; see
                `MoveExecutor`.
            on_document: Applies a document received from another node.
            on_version_told: Called with a version that a neighbour has and
                this node lacks.
            is_receiving: Returns whether a version is arriving from its
                source.
            on_source_update: Called with what another node has read from that
                source.
            on_change: Applies a change of the configuration that another node
                tells.
            record_departure: Records the departure of the local target; fires
                once a restart of all nodes doesn't lose it, and fails with a
                `DepartureRecordError` if that takes too long.
            is_first_start: Whether no departure was recorded before.
            on_evacuation: Called with each evacuation, and with its end.
            on_source_era: Called with an era of the source of versions that
                another node has seen.
            has_records_to_write: Returns whether the holder of the controller's
                duty has records to write again.
        """
        self.settings = settings
        self.clock = reactor
        self.rng = rng
        self.incarnation = incarnation
        self.lease = lease
        self.on_version_told = on_version_told
        self.on_source_era = on_source_era
        self.has_records_to_write = has_records_to_write
        self.wall_offset_s = wall_seconds() - reactor.seconds()
        self.metrics = Metrics()
        self.supervisor = Supervisor(reactor, self.metrics, rng)
        guard = self.supervisor.guard
        self.spans = Spans(reactor, 0.0)
        self.facts = FactStore()
        self.local_target = LocalTarget(
            reactor, announcement_timeout_s=ANNOUNCEMENT_TIMEOUT_S
        )
        self.events = EventLog(self.metrics)
        self.pool = ConnectionPool(
            reactor, header_names=header_names, events=self.events
        )
        self.balancer = LoadBalancer(
            settings.data_centre,
            rng,
            node=settings.node,
            events=self.events,
        )
        self.move_requests = MoveRequestStore()
        self.move_results_loaded = False
        self.source_era = 0
        self.render_document: Callable[[], Document] | None = None
        self.state = State()
        own = Presence(
            node=settings.node,
            incarnation=incarnation,
            sequence=0,
            data_centre=settings.data_centre,
            call_address=settings.host_address,
            mesh_address=settings.mesh_address,
        )
        self.record_departure = record_departure
        self.presence_broadcaster = PresenceBroadcaster(
            own, self.local_target, lambda p: self.gossip.broadcast(p)
        )
        self.evidence_sequence = 0
        self.found_peers = False
        self.discovery_deadline = reactor.seconds() + DISCOVERY_TIMEOUT_S
        if not is_first_start:
            self.local_target.unconfirmed_until = self.discovery_deadline
        self.quotas = FleetQuotas(
            settings.node,
            settings.data_centre,
            reactor.seconds(),
            settings.quota_bounds,
        )
        self.gossip = Gossip(
            clock=reactor,
            rng=rng,
            node=settings.node,
            incarnation=incarnation,
            data_centre=settings.data_centre,
            mesh_address=settings.mesh_address,
            dialer=Dialer(reactor, token, self.metrics, guard),
            facts=self.facts,
            metrics=self.metrics,
            current_document=lambda: self.document,
            on_document=on_document,
            on_new_fact=guard("facts", self._on_new_fact),
            on_own_departure=self.recall_departure,
            on_version_told=self._record_told,
            is_receiving=is_receiving,
            evidence_readers=self.controller_candidates,
            active_version=lambda: self.version,
            on_source_update=on_source_update,
            on_change=on_change,
            on_vacancy=self._vacancy_told,
            link_bytes_per_s=settings.link_bytes_per_s,
            quotas=self.quotas,
        )
        self.host = HostPipeline(
            clock=reactor,
            pool=self.pool,
            local_target=self.local_target,
            facts=self.facts,
            log=None,
            rng=rng,
            broadcast=self.gossip.broadcast,
            header_names=header_names,
            events=self.events,
            link_bytes_per_s=settings.link_bytes_per_s,
            on_target_leaving=self._leave_unacknowledged,
            data_centre=settings.data_centre,
        )
        self.host.cold.set_excess(settings.cold_excess)
        self.evacuations = Evacuations(
            facts=self.facts,
            host=self.host,
            broadcast=self.gossip.broadcast,
            on_told=on_evacuation,
        )
        self.host.vacancies.tell = self._tell_vacancy
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
            header_names=header_names,
            calling_service=lambda: self.settings.service,
            events=self.events,
        )
        self.entry.start_gate.until = reactor.seconds() + START_S
        self.identifier = Identifier(
            reactor, header_names, self.entry.freshness
        )
        self.identifier.credentials = settings.credentials
        self.entry.identify = self.identifier.identify
        gate = QuotaGate(reactor, self.quotas, self.events)
        self.entry.admit = gate.admit
        self.entry.refund = gate.refund
        self.calls = CallFactory(
            clock=reactor,
            entry=self.entry,
            host=self.host,
            token=token,
            spans=self.spans,
            metrics=self.metrics,
        )
        self.calls.budget.limits = settings.budget
        self.monitor = Monitor(reactor, self.facts, self.gossip.broadcast)
        self.move_executor = MoveExecutor(
            clock=reactor,
            data_centre=settings.data_centre,
            lease=lease,
            moves=lambda: self.state.moves,
            broadcast=self.gossip.broadcast,
            record_status=record_status,
            read_status=read_status,
            brakes=lambda: self.facts.brakes,
        )
        self.controller = Controller(
            reactor,
            self.monitor,
            self.move_executor.execute,
            self.move_executor.confirmation_of,
            self.wall,
        )

    def wall(self) -> float:
        """Returns wall-clock seconds, unaffected by steps of the clock."""
        return self.wall_offset_s + self.clock.seconds()

    @property
    def version(self) -> int:
        """The active configuration version, or 0 if there is none."""
        return self.state.version

    @property
    def document(self) -> Document | None:
        """The active configuration as a document, or None if there is none."""
        return self.render_document() if self.render_document else None

    @property
    def serving(self) -> bool:
        """Whether the node accepts callers.

        It does once a configuration version is active and it has found peers
        or its discovery timeout has passed, and no longer once it leaves.
        """
        if self.entry.active_config.table is None or self.host.leaving:
            return False
        if self.gossip.links:
            self.found_peers = True
        return (
            self.found_peers or self.clock.seconds() > self.discovery_deadline
        )

    def apply_arrangement(
        self,
        document: Document,
        arrangement: Arrangement,
        *,
        source: VersionSource = VersionSource.STORE,
    ) -> None:
        """Activates a configuration version unless it is outdated.

        Args:
            document: The version as the operator wrote it.
            arrangement: The arrangement parsed from it.
            source: Where it came from.
        """
        self.apply_version(
            document.version,
            arrangement,
            render=lambda: document,
            source=source,
        )

    def apply_version(
        self,
        version: int,
        arrangement: Arrangement,
        *,
        render: Callable[[], Document],
        source: VersionSource,
        change: RouteChange | None = None,
        keys: KeyTable | None = None,
    ) -> None:
        """Activates a configuration version unless it is outdated.

        Args:
            version: The version.
            arrangement: Its arrangement.
            render: Puts it together as a document for other nodes.
            source: Where it came from.
            change: How its routes differ from the active ones; None if that is
                not known.
            keys: Keys of its workspaces; None where requests need none.
        """
        if version <= self.version:
            return
        self.render_document = render
        currents = tuple(
            CurrentVersion(service=service.name, target_version="")
            for service in arrangement.services
        )
        table = self.entry.active_config.table
        if table is None or change is None:
            table = RouteTable(arrangement)
        else:
            table = table.changed(change)
        self.state = dataclasses.replace(
            self.state,
            version=version,
            arrangement=arrangement,
            currents=currents,
        )
        self.entry.active_config = dataclasses.replace(
            self.entry.active_config,
            state=self.state,
            table=table,
        )
        self.identifier.keys = keys
        self.calls.limits = arrangement.limits
        self.host.cold.set_services(arrangement.services)
        now = self.clock.seconds()
        self.host.has_workspaces = arrangement.workspaces is not None
        self.quotas.set_workspaces(arrangement.workspaces, now)
        self.gossip.quota_exchange.start()
        logs.info(
            "in-force",
            version=version,
            routes=len(arrangement.routes),
            source=source.value,
            **self.entry.freshness.log_fields(now),
        )
        self.entry.freshness.activated_at = now
        self.gossip.tell_version()
        self.entry.start_gate.notify()
        self.entry.version_gate.notify()

    def confirm_version(self) -> None:
        """Records that the source of versions has answered."""
        self.entry.freshness.confirmed_at = self.clock.seconds()

    def add_move_request(
        self, request: MoveRequest, *, is_doubtful: bool = False
    ) -> None:
        """Adds an operator's request to move a service.

        Args:
            request: The request.
            is_doubtful: Whether it may be one of an earlier era of its source.
        """
        if self.move_requests.add_move_request(
            request, is_doubtful=is_doubtful
        ):
            logs.info(
                "move-requested", move=request.id, deadline=request.deadline
            )
            self._sync_moves()

    def follow_move_request(self, service: str, offset: int) -> None:
        """Handles that the record of a service's request has a new position."""
        followed = self.move_requests.follow(service, offset)
        if followed is not None:
            logs.info("move-followed", move=followed)
            self._sync_moves()

    def add_move_result(self, result: MoveResult) -> None:
        """Adds the recorded result of a move."""
        self.move_requests.add_move_result(result)
        self._sync_moves()

    def add_recorded_move(self, recorded: RecordedMove) -> None:
        """Adds a move whose status was recorded."""
        self.move_requests.add_recorded_move(recorded)
        self._sync_moves()

    def withdrawn_versions(self, service: str) -> frozenset[str]:
        """Returns the versions that moves led to without completing."""
        return self.entry.active_config.withdrawn.get(service, frozenset())

    def remove_move_request(self, service: str) -> None:
        """Removes the move request of a service, which was withdrawn."""
        self.move_requests.remove(service)
        self._sync_moves()

    def apply_announcement(self, announcement: Announcement) -> Deferred:
        """Applies an announcement of the local target.

        Returns:
            Deferred that fires once it may be acknowledged, or fails with a
            `DepartureRecordError`.

        Raises:
            ForeignServiceError: It names another service than the settings.
        """
        if announcement.service != self.settings.service:
            raise ForeignServiceError(
                f"{announcement.service} instead of {self.settings.service}"
            )
        if self.local_target.update(announcement):
            self.host.apply_announcement()
            self.refresh_presence()
        if announcement.condition is Condition.LEAVING:
            return self._keep_departure()
        return succeed(None)

    def target_leaves(self) -> Deferred:
        """Handles that the local target has told that it is leaving.

        Returns:
            Deferred that fires once it may be acknowledged, or fails with a
            `DepartureRecordError`.
        """
        if self.local_target.leave():
            self.host.apply_announcement()
            self.refresh_presence()
        return self._keep_departure()

    def target_departs(self, departed: DepartedTarget) -> Deferred:
        """Handles that a target leaves, which may not be the announced one.

        This process may have started after the target's last announcement, and
        another one may be under way. An earlier start of the announced target
        has ended already.

        Returns:
            Deferred that fires once it may be acknowledged, or fails with a
            `DepartureRecordError`.
        """
        latest = self.local_target.latest
        if (
            latest is not None
            and latest.id == departed.id
            and latest.incarnation > departed.incarnation
        ):
            return succeed(None)
        self._depart(departed)
        return self._keep_departure()

    def _leave_unacknowledged(self) -> None:
        """Handles that the target tells in an answer that it is leaving.

        Nobody awaits an acknowledgement of that.
        """
        self.target_leaves().addErrback(
            lambda failure: failure.trap(DepartureRecordError)
        )

    def recall_departure(self, told: Presence) -> None:
        """Handles that another node tells of an earlier departure.

        Args:
            told: This node's presence then.
        """
        self._depart(
            DepartedTarget(id=told.target, incarnation=told.target_incarnation)
        )

    def confirm_target(self, recorded: DepartedTarget | None) -> None:
        """Handles that the recorded departure was read after a start.

        Args:
            recorded: The target that left last beside earlier starts, or None.
        """
        if recorded is not None and self.local_target.departed is None:
            self._depart(recorded)
        self.local_target.unconfirmed_until = 0.0
        self.refresh_presence()

    def _depart(self, departed: DepartedTarget) -> None:
        self.local_target.depart(departed)
        latest = self.local_target.latest
        if latest is None or not departed.covers(latest.id, latest.incarnation):
            return
        if self.local_target.leave():
            self.host.apply_announcement()
            self.refresh_presence()

    def _keep_departure(self) -> Deferred:
        departed = self.local_target.latest_departed
        return self.record_departure(departed) if departed else succeed(None)

    def recorded_moves(self) -> tuple[Move, ...]:
        """Returns the moves that have a status in the store."""
        progress = self.facts.all_of(MoveProgress)
        return self.move_requests.recorded_moves(progress)

    def enter_source_era(self, number: int) -> None:
        """Tells all nodes that the source of versions has a later era."""
        self.gossip.broadcast(SourceEra(number=number))

    def open_moves(self) -> tuple[Move, ...]:
        """Returns the moves that have no recorded result yet."""
        return tuple(m for m in self.state.moves if m.phase in OPEN_PHASES)

    def is_controller_candidate(self) -> bool:
        """Returns whether this node should try to obtain the lease."""
        if not (self.open_moves() or self.has_records_to_write()):
            return False
        if self.host.leaving:
            return False
        if not self.move_results_loaded:
            return False
        return self.settings.node in self.controller_candidates()

    def controller_candidates(self) -> frozenset[str]:
        """Returns the ids of the nodes that try to obtain the lease.

        They are those that have run for longest: a node that joins replaces
        none of them, as the store assigns the lease anew with each member.
        """
        nodes = sorted(
            (presence.incarnation, presence.node)
            for presence in self.facts.all_of(Presence)
            if presence.condition in PRESENT_CONDITIONS
        )
        return frozenset(node for _, node in nodes[:MAX_CANDIDATES])

    def start(self) -> None:
        """Starts the periodic tasks."""
        every = self.supervisor.every
        every(TICK_PERIOD_S, "gossip", self.gossip.reconcile)
        every(TICK_PERIOD_S, "presence", self.refresh_presence)
        every(
            TICK_PERIOD_S,
            "moves",
            self.run_controller,
            on_fault=self.lease.resign,
        )
        every(REPORT_PERIOD_S, "retry-budget", self.set_retry_budget)
        every(REPORT_PERIOD_S, "evidence", self.report_evidence)
        every(SWEEP_PERIOD_S, "facts-expiry", self.expire_facts)
        every(SWEEP_PERIOD_S, "connections", self.sweep_connections)

    def set_retry_budget(self) -> None:
        """Sets this node's part of the fleet's retry budget."""
        nodes = 1 + len(self.facts.all_of(Presence))
        self.entry.limit_retries(
            ratio=self.settings.retry_ratio * RETRY_BUDGET_SHARE,
            limit=max(
                1.0, self.settings.retry_slack * RETRY_BUDGET_SHARE / nodes
            ),
        )

    def report_evidence(self) -> None:
        """Reports the tallies of the local target while its service moves."""
        latest = self.local_target.latest
        if latest is None:
            return
        if not any(m.service == latest.service for m in self.open_moves()):
            return
        self.evidence_sequence += 1
        self.gossip.broadcast(
            Evidence(
                source=self.settings.node,
                incarnation=self.incarnation,
                sequence=self.evidence_sequence,
                tallies=self.host.tallies.of_service(latest.service),
            )
        )

    def run_controller(self) -> None:
        """Monitors open moves; decides on them if the lease is held."""
        if not self.open_moves():
            return
        # A node that reads only its own evidence cannot compare versions.
        if self.gossip.reads_evidence():
            self.monitor.tick()
        if self.lease.holds_lease():
            self.controller.tick(self.state, self.lease.term)

    def expire_facts(self) -> None:
        """Discards expired facts and those of closed moves."""
        self.gossip.expire(frozenset(m.id for m in self.open_moves()))

    def sweep_connections(self) -> None:
        """Closes idle connections; forgets endpoints that have gone."""
        self.pool.sweep()
        self.calls.sweep()
        known = {(p.node, p.incarnation) for p in self.facts.all_of(Presence)}
        self.balancer.retain(frozenset(known))

    def refresh_presence(self, *, force: bool = False) -> None:
        """Broadcasts this node's presence if it has changed.

        A target that has become cold or warm offers other slots.

        Args:
            force: Whether to broadcast it even if it has not changed, so that
                it supersedes what other nodes may have concluded.
        """
        self.host.cold.refresh()
        self.presence_broadcaster.refresh(
            leaving=self.host.leaving, force=force
        )

    def gauges(self) -> tuple[Sample, ...]:
        """Returns the current values of the node's gauges."""
        values = {
            "fulmarrudder_config_version": self.version,
            "fulmarrudder_brakes": len(self.facts.brakes),
            "fulmarrudder_strikes": len(self.facts.strikes),
            "fulmarrudder_duties_held": int(self.lease.holds_lease()),
            "fulmarrudder_links": len(self.gossip.links),
            "fulmarrudder_evacuations": len(self.facts.evacuated),
            "fulmarrudder_target_cold": int(self.host.cold.is_limiting),
            "fulmarrudder_endpoints": sum(
                len(nodes) for nodes in self.facts.presences_by_service.values()
            ),
            "fulmarrudder_slots_taken": self.host.slots.taken,
            "fulmarrudder_slots_queued": self.host.slots.queued,
        }
        if self.source_era:
            values["fulmarrudder_source_era"] = self.source_era
        samples = (
            Sample(name=name, labels=(), value=value)
            for name, value in values.items()
        )
        return (*samples, *call_gauges(self), *quota_gauges(self.quotas))

    def leave(self) -> None:
        """Starts to leave: accepts no new requests for the local target."""
        self.host.leaving = True
        self.refresh_presence()
        self.gossip.flush()

    def stop(self) -> None:
        """Stops the tasks; closes links and connections."""
        self.supervisor.stop()
        self.gossip.stop()
        self.pool.close()

    def _record_told(self, version: int, peer: str) -> None:
        now = self.clock.seconds()
        if not self.entry.freshness.record_told(version, now):
            return
        logs.info(
            "version-told",
            version=version,
            peer=peer,
            active_version=self.version,
        )
        self.on_version_told(version)

    def _tell_vacancy(self, node: str, slowness: float) -> None:
        """Tells a node of this data centre of a free slot of the target."""
        vacancy = Vacancy(slowness=round(slowness * 100))
        if self.gossip.tell_vacancy(node, vacancy):
            self.metrics.count(VACANCIES_METRIC, ("event", "told"))

    def _vacancy_told(self, node: str, vacancy: Vacancy) -> None:
        self.metrics.count(VACANCIES_METRIC, ("event", "heard"))
        now = self.clock.seconds()
        self.balancer.vacancies.told(node, vacancy.slowness / 100, now)

    @singledispatchmethod
    def _on_new_fact(self, fact: Fact) -> None:
        """Applies a fact that is new to this node."""

    @_on_new_fact.register
    def _(self, fact: Evidence) -> None:
        self.monitor.add_evidence(fact)

    @_on_new_fact.register
    def _(self, fact: MoveProgress | Brake) -> None:
        self._sync_moves()

    @_on_new_fact.register
    def _(self, fact: Evacuation) -> None:
        self.evacuations.apply(fact)

    @_on_new_fact.register
    def _(self, fact: SourceEra) -> None:
        self.on_source_era(fact.number)

    @_on_new_fact.register
    def _(self, fact: Presence) -> None:
        self._log_presence(fact)
        self.entry.start_gate.notify()
        if fact.condition is Condition.LOST:
            self.entry.sender.node_lost(fact.node)
        if (
            fact.node == self.settings.node
            and fact is not self.presence_broadcaster.last_sent
        ):
            self._refute(fact)

    def _log_presence(self, presence: Presence) -> None:
        self.events.info(
            self.clock.seconds(),
            "presence-changed",
            presence.condition,
            peer=presence.node,
            incarnation=presence.incarnation,
            sequence=presence.sequence,
            service=presence.service,
            target_version=presence.target_version,
            condition=presence.condition.value,
            slots=presence.slots,
        )

    def _refute(self, fact: Presence) -> None:
        """Supersedes a presence of this node that it did not broadcast last.

        Another node declared this one lost, or an earlier process broadcast it.
        """
        own = self.presence_broadcaster
        if fact.incarnation > own.incarnation:
            own.incarnation = fact.incarnation + 1
        if fact.incarnation == own.incarnation:
            own.sequence = max(own.sequence, fact.sequence)
        self.refresh_presence(force=True)

    def _sync_moves(self) -> None:
        progress = self.facts.all_of(MoveProgress)
        self.move_requests.identify(progress)
        for fact in self.move_requests.identities.followed_facts(
            (*progress, *self.facts.brakes)
        ):
            self.gossip.broadcast(fact)
        progress = self.facts.all_of(MoveProgress)
        for closed in self.move_requests.unreported_results(progress):
            logs.info("move-closed", move=closed.move, phase=closed.phase)
            # Merged, it is reported no more.
            self.gossip.broadcast(closed)
        progress = self.facts.all_of(MoveProgress)
        moves = self.move_requests.moves(progress)
        self.move_requests.note_completed(progress)
        withdrawn = self.move_requests.withdrawn()
        config = self.entry.active_config
        if moves == self.state.moves and withdrawn == config.withdrawn:
            return
        if withdrawn != config.withdrawn:
            logs.info("versions-withdrawn", versions=_list_versions(withdrawn))
        self.state = dataclasses.replace(self.state, moves=moves)
        self.entry.active_config = dataclasses.replace(
            config, state=self.state, withdrawn=withdrawn
        )
        self.monitor.sync_moves(self.state)


def _list_versions(withdrawn: dict[str, frozenset[str]]) -> str:
    return " ".join(
        f"{service}/{version}"
        for service, versions in sorted(withdrawn.items())
        for version in sorted(versions)
    )
