"""One node of a fleet whose configuration comes whole, without relays.

The node takes versions and orders from whatever source it is joined to, and
spreads what it knows among its neighbours, so that it goes on while the
source is away.
"""

import dataclasses
import random
from collections.abc import Callable

from twisted.internet.defer import Deferred

from fulmarrudder.call import (
    ActiveConfig,
    CallFactory,
    ConnectionPool,
    EntryPipeline,
    HeaderNames,
    HostPipeline,
    LoadBalancer,
    RouteTable,
)
from fulmarrudder.clock import wall_seconds
from fulmarrudder.distribution import Dialer, Document, Gossip
from fulmarrudder.membership import Announcement, FactStore, LocalTarget
from fulmarrudder.model import (
    Arrangement,
    Condition,
    Evidence,
    Fact,
    MoveProgress,
    Presence,
)
from fulmarrudder.move import (
    Controller,
    Monitor,
    MoveRequest,
    MoveRequestStore,
    MoveResult,
)
from fulmarrudder.node.move_executor import ControllerLease, MoveExecutor
from fulmarrudder.node.presence import PresenceBroadcaster
from fulmarrudder.observe import Metrics, Sample, Spans, logs
from fulmarrudder.state_machine import CurrentVersion, Move, Phase, State

OPEN = frozenset({Phase.RUNNING, Phase.COMPLETING, Phase.TAKING_BACK})
# Part of the fleet's budget of retries that nodes may use: calls that a
# repeated request makes are repeats as well.
RETRY_PART = 0.4
# Nodes that seek the controller's duty, the first by their ids: enough that
# one is left when several are lost at once, few enough to cost the store little.
CANDIDATES = 4
PRESENT = frozenset({Condition.READY, Condition.ABSENT})
# A node that has found no other by then serves with what is beside it.
DISCOVERY_TIMEOUT_S = 3.0
# A target's silence says little beside what its connections show.
SILENCE_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GossipNodeSettings:
    """Where a node stands.

    Attributes:
        node: Id of the node.
        service: Service of the target beside it.
        host_address: Where other nodes send calls for that target.
        mesh_address: Where other nodes open links.
        retry_ratio: Retries that all nodes may make, by requests.
        retry_slack: Retries that they may make beyond that.
    """

    node: str
    data_centre: str
    service: str
    host_address: str
    mesh_address: str
    retry_ratio: float
    retry_slack: float


class GossipNode:
    """A node beside a target, in a fleet without relays.

    Attributes:
        settings: Where it stands.
        entry: Serves callers.
        host: Serves requests with the target beside it.
        gossip: Links to other nodes.
        document: The configuration in force, as written, or None.
        book: Orders of the operator.
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
        record: Callable[[Move], Deferred],
        read: Callable[[Document], None],
    ):
        """Builds a node.

        Args:
            settings: Where it stands.
            reactor: Twisted's reactor.
            rng: Source of chance.
            incarnation: Start of the process, in wall-clock milliseconds.
            header_names: Field names of callers and targets.
            token: Token by which nodes know each other.
            lease: The controller's duty.
            record: Records the phase of a move for the operator.
            read: Reads a document that another node holds.
        """
        self.settings = settings
        self.clock = reactor
        self.rng = rng
        self.incarnation = incarnation
        self.lease = lease
        self.wall_base = wall_seconds() - reactor.seconds()
        self.metrics = Metrics()
        self.spans = Spans(reactor, 0.0)
        self.facts = FactStore()
        self.local_target = LocalTarget(
            reactor, announcement_timeout_s=SILENCE_S
        )
        self.pool = ConnectionPool(reactor)
        self.balancer = LoadBalancer(
            settings.data_centre, rng, node=settings.node
        )
        self.book = MoveRequestStore()
        self.document: Document | None = None
        self.state = State()
        own = Presence(
            node=settings.node,
            incarnation=incarnation,
            sequence=0,
            data_centre=settings.data_centre,
            call_address=settings.host_address,
            mesh_address=settings.mesh_address,
        )
        self.presence_broadcaster = PresenceBroadcaster(
            own, self.local_target, lambda p: self.gossip.broadcast(p)
        )
        self.evidence_count = 0
        self.acquainted = False
        self.alone_from = reactor.seconds() + DISCOVERY_TIMEOUT_S
        self.gossip = Gossip(
            clock=reactor,
            rng=rng,
            node=settings.node,
            data_centre=settings.data_centre,
            mesh_address=settings.mesh_address,
            dialer=Dialer(reactor, token, self.metrics),
            facts=self.facts,
            metrics=self.metrics,
            current_document=lambda: self.document,
            on_document=read,
            on_new_fact=self._news,
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
        )
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
            caller=lambda: self.settings.service,
        )
        self.calls = CallFactory(
            clock=reactor,
            entry=self.entry,
            host=self.host,
            token=token,
            spans=self.spans,
            metrics=self.metrics,
        )
        self.monitor = Monitor(reactor, self.facts, self.gossip.broadcast)
        self.move_executor = MoveExecutor(
            clock=reactor,
            data_centre=settings.data_centre,
            lease=lease,
            moves=lambda: self.state.moves,
            broadcast=self.gossip.broadcast,
            record=record,
        )
        self.controller = Controller(
            reactor,
            self.monitor,
            self.move_executor.execute,
            self.move_executor.confirmation_of,
            self.wall,
        )

    def wall(self) -> float:
        """Returns wall-clock seconds that no step of the clock changes."""
        return self.wall_base + self.clock.seconds()

    @property
    def version(self) -> int:
        """The configuration version in force, 0 before any."""
        return self.state.version

    @property
    def serving(self) -> bool:
        """Whether the node may be given callers.

        It may once a version is in force and it knows other nodes, or has
        looked for them long enough; and not while it leaves.
        """
        if self.entry.active_config.table is None or self.host.leaving:
            return False
        if self.gossip.links:
            self.acquainted = True
        return self.acquainted or self.clock.seconds() > self.alone_from

    def apply_arrangement(
        self, document: Document, arrangement: Arrangement
    ) -> None:
        """Puts a configuration version in force unless it is an old one.

        Args:
            document: The version as the operator wrote it.
            arrangement: What it says.
        """
        if document.version <= self.version:
            return
        self.document = document
        currents = tuple(
            CurrentVersion(service=service.name, target_version="")
            for service in arrangement.services
        )
        self.state = dataclasses.replace(
            self.state,
            version=document.version,
            arrangement=arrangement,
            currents=currents,
        )
        table = RouteTable(arrangement)
        self.entry.active_config = ActiveConfig(state=self.state, table=table)
        self.calls.limits = arrangement.limits
        logs.info(
            "in-force", version=document.version, routes=len(arrangement.routes)
        )

    def add_move_request(self, order: MoveRequest) -> None:
        """Takes an order of the operator's to move a service."""
        if self.book.add_move_request(order):
            logs.info("move-ordered", move=order.id, deadline=order.deadline)
            self._follow_moves()

    def add_move_result(self, verdict: MoveResult) -> None:
        """Takes a recorded verdict on a move."""
        self.book.add_move_result(verdict)
        self._follow_moves()

    def remove_move_request(self, service: str) -> None:
        """Learns that an order is no longer there."""
        self.book.remove(service)
        self._follow_moves()

    def apply_announcement(self, announcement: Announcement) -> None:
        """Takes an announcement of the target beside this node."""
        if self.local_target.update(announcement):
            self.host.apply_announcement()
            self.refresh_presence()

    def open_moves(self) -> tuple[Move, ...]:
        """Returns the moves that have no recorded verdict yet."""
        return tuple(m for m in self.state.moves if m.phase in OPEN)

    def is_controller_candidate(self) -> bool:
        """Tells whether this node should seek the controller's duty."""
        if not self.open_moves() or self.host.leaving:
            return False
        nodes = sorted(
            presence.node
            for presence in self.facts.all_of(Presence)
            if presence.condition in PRESENT
        )
        return self.settings.node in nodes[:CANDIDATES]

    def tick(self) -> None:
        """Does what is due; called several times a second."""
        self.gossip.reconcile()
        self.refresh_presence()
        self._control()

    def report(self) -> None:
        """Reports and judges; called every second."""
        nodes = 1 + len(self.facts.all_of(Presence))
        self.entry.limit_retries(
            ratio=self.settings.retry_ratio * RETRY_PART,
            limit=max(1.0, self.settings.retry_slack * RETRY_PART / nodes),
        )
        self._report_evidence()

    def _report_evidence(self) -> None:
        latest = self.local_target.latest
        if latest is None:
            return
        if not any(m.service == latest.service for m in self.open_moves()):
            return
        self.evidence_count += 1
        self.gossip.broadcast(
            Evidence(
                source=self.settings.node,
                incarnation=self.incarnation,
                sequence=self.evidence_count,
                tallies=self.host.tallies.of_service(latest.service),
            )
        )

    def _control(self) -> None:
        if not self.open_moves():
            return
        self.monitor.tick()
        if self.lease.holds_lease():
            self.controller.tick(self.state, self.lease.term)

    def sweep(self) -> None:
        """Forgets what has had its time; called every few seconds."""
        self.gossip.expire(frozenset(m.id for m in self.open_moves()))
        self.pool.sweep()
        self.calls.sweep()
        known = {(p.node, p.incarnation) for p in self.facts.all_of(Presence)}
        self.balancer.retain(frozenset(known))

    def refresh_presence(self, *, force: bool = False) -> None:
        """Spreads this node's presence when it has changed.

        Args:
            force: Whether to spread it even when it has not, so that it
                outdates what others may have concluded.
        """
        self.presence_broadcaster.refresh(
            leaving=self.host.leaving, force=force
        )

    def gauges(self) -> tuple[Sample, ...]:
        """Returns the present values of gauges."""
        values = {
            "fulmarrudder_config_version": self.version,
            "fulmarrudder_brakes": len(self.facts.brakes),
            "fulmarrudder_strikes": len(self.facts.strikes),
            "fulmarrudder_duties_held": int(self.lease.holds_lease()),
            "fulmarrudder_links": len(self.gossip.links),
            "fulmarrudder_endpoints": sum(
                len(nodes) for nodes in self.facts.presences_by_service.values()
            ),
            "fulmarrudder_slots_taken": self.host.slots.taken,
            "fulmarrudder_slots_queued": self.host.slots.queued,
        }
        return tuple(
            Sample(name=name, labels=(), value=value)
            for name, value in values.items()
        )

    def leave(self) -> None:
        """Starts to leave: takes nothing new for the target."""
        self.host.leaving = True
        self.refresh_presence()
        self.gossip.flush()

    def stop(self) -> None:
        """Stops everything that would go on by itself."""
        self.gossip.stop()
        self.pool.close()

    def _news(self, fact: Fact) -> None:
        if isinstance(fact, Evidence):
            self.monitor.add_evidence(fact)
        if isinstance(fact, MoveProgress):
            self._follow_moves()
        if not isinstance(fact, Presence):
            return
        if fact.condition is Condition.LOST:
            self.entry.sender.node_lost(fact.node)
        if (
            fact.node == self.settings.node
            and fact is not self.presence_broadcaster.last_sent
        ):
            self._reassert(fact)

    def _reassert(self, fact: Presence) -> None:
        """Outdates what others concluded, or an earlier start left."""
        presence_broadcaster = self.presence_broadcaster
        if fact.incarnation > presence_broadcaster.incarnation:
            presence_broadcaster.incarnation = fact.incarnation + 1
        if fact.incarnation == presence_broadcaster.incarnation:
            presence_broadcaster.sequence = max(
                presence_broadcaster.sequence, fact.sequence
            )
        self.refresh_presence(force=True)

    def _follow_moves(self) -> None:
        moves = self.book.moves(self.facts.all_of(MoveProgress))
        if moves == self.state.moves:
            return
        self.state = dataclasses.replace(self.state, moves=moves)
        self.entry.active_config = dataclasses.replace(
            self.entry.active_config, state=self.state
        )
        self.monitor.sync_moves(self.state)
