"""One node: joins the pipelines and keeps them in line with its duties."""

import dataclasses
import random
import uuid

from fulmarrudder.call import (
    CallFactory,
    Chooser,
    Entry,
    Host,
    InForce,
    Pool,
    RouteTable,
    reachable,
)
from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.distribution import (
    Appoint,
    Claim,
    Dialer,
    Holder,
    LeaseKeeper,
    LeaseWatch,
    Mesh,
    Nominate,
    Standing,
    duties_of,
    next_duty,
)
from fulmarrudder.fold import (
    CONTROLLER,
    Outcome,
    Refused,
    State,
    duty_named,
    move_of,
)
from fulmarrudder.log import (
    Envelope,
    LogService,
    Submitter,
    UndecidedError,
)
from fulmarrudder.membership import Announcement, Beside, FactStore
from fulmarrudder.model import (
    ClaimDuty,
    Condition,
    Evidence,
    Fact,
    Held,
    Presence,
    Summary,
)
from fulmarrudder.move import Controller, Monitor
from fulmarrudder.node.feed import Feed
from fulmarrudder.node.settings import Settings
from fulmarrudder.node.snapshots import Snapshots
from fulmarrudder.observe import Metrics, Spans, logs
from fulmarrudder.observe.spans import QUEUE_LIMIT
from fulmarrudder.operate.fleet import Fleet

ORPHAN_LEAST_S = 0.5
ORPHAN_MOST_S = 2.0
CLAIM_LIMIT_S = 10.0
CLAIM_JITTER_S = 1.0


class Node:
    """A node in the slot beside a target.

    Attributes:
        settings: What it was started with.
        holder: State in force.
        mesh: Links to other nodes.
        host: Serves requests with the target beside it.
        entry: Serves callers.
        submitter: Appends records.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        reactor,
        log: LogService,
        rng: random.Random,
        incarnation: int,
    ):
        self.settings = settings
        self.clock: Clock = reactor
        self.rng = rng
        self.log = log
        self.incarnation = incarnation
        self.sequence = 0
        self.holder_id = f"{settings.node}/{incarnation}"
        self.metrics = Metrics()
        self.spans = Spans(reactor, settings.span_ratio)
        self.facts = FactStore()
        self.beside = Beside(reactor)
        self.holder = Holder(
            on_outcome=self._outcome, on_advance=self._advanced
        )
        self.feed = Feed(log, reactor, rng, self.holder)
        self.submitter = Submitter(
            log, reactor, rng, lambda: self.holder.state.offset
        )
        self.watch = LeaseWatch(log, reactor, rng)
        self.keeper = LeaseKeeper(log, reactor, self.holder_id, self.duties)
        self.mesh = Mesh(
            clock=reactor,
            rng=rng,
            node=settings.node,
            holder_id=self.holder_id,
            data_centre=settings.data_centre,
            mesh_address=settings.mesh_address,
            seeds=settings.seeds,
            degree=settings.degree,
            dialer=Dialer(reactor, settings.mesh_token.encode(), self.metrics),
            holder=self.holder,
            facts=self.facts,
            metrics=self.metrics,
            on_news=self._news,
            on_place=self._placed,
            on_nominate=self._nominated,
        )
        self.pool = Pool(reactor)
        self.chooser = Chooser(settings.data_centre, rng)
        self.host = Host(
            clock=reactor,
            pool=self.pool,
            beside=self.beside,
            facts=self.facts,
            log=log,
            rng=rng,
            spread=self.mesh.spreader.tell,
        )
        token = settings.mesh_token.encode()
        self.entry = Entry(
            clock=reactor,
            pool=self.pool,
            host=self.host,
            node=settings.node,
            token=token,
            facts=self.facts,
            chooser=self.chooser,
            rng=rng,
            spans=self.spans,
            metrics=self.metrics,
        )
        self.calls = CallFactory(
            clock=reactor,
            entry=self.entry,
            host=self.host,
            token=token,
            spans=self.spans,
            metrics=self.metrics,
        )
        self.fleet = Fleet(self, reactor, reactor)
        self.monitor = Monitor(reactor, self.facts, self.mesh.spreader.tell)
        self.controller = Controller(
            reactor, self.monitor, self._append, self.fleet.confirmed
        )
        self.snapshots = Snapshots(log, reactor)
        self.evidence_count = 0
        self.claiming: frozenset[str] = frozenset()
        self.orphan_after = rng.uniform(ORPHAN_LEAST_S, ORPHAN_MOST_S)
        self.shown: Presence | None = None
        self.table_of = None

    def duties(self):
        """Returns the duties that this node holds."""
        return duties_of(self.holder.state, self.holder_id)

    def controls(self) -> bool:
        """Tells whether this node may act as the controller."""
        held = any(duty.name == CONTROLLER for duty in self.duties())
        return held and self.keeper.sure()

    @property
    def serving(self) -> bool:
        """Whether the node holds an arrangement and is not leaving."""
        return self.entry.in_force.table is not None and not self.host.leaving

    def announced(self, announcement: Announcement) -> None:
        """Takes an announcement of the target beside this node."""
        if self.beside.take(announcement):
            self.host.announced()
            self.show()

    def tick(self) -> None:
        """Does what is due; called several times a second."""
        self.mesh.reconcile()
        self._feed()
        self._duties()
        self.show()
        self.keeper.tick()
        self.watch.note_unavailable()

    def report(self) -> None:
        """Reports and judges; called every second."""
        state = self.holder.state
        self._report_evidence(state)
        if not self.mesh.is_relay():
            return
        summary = self.fleet.next_summary()
        if summary is not None:
            self.mesh.spreader.tell(summary)
        self.monitor.tick()
        if self.controls():
            term = duty_named(state, CONTROLLER).term
            self.controller.tick(state, term)
            self.snapshots.tick(state)
        self._catch_up_from_peers(state)

    def _report_evidence(self, state: State) -> None:
        latest = self.beside.latest
        if latest is None or move_of(state, latest.service) is None:
            return
        self.evidence_count += 1
        self.mesh.spreader.tell(
            Evidence(
                source=self.settings.node,
                incarnation=self.incarnation,
                sequence=self.evidence_count,
                tallies=self.host.tallies.of_service(latest.service),
            )
        )

    def _catch_up_from_peers(self, state: State) -> None:
        if self.feed.available:
            return
        for summary in self.fleet.fresh():
            if summary.relay_offset > state.offset:
                self.mesh.ask_peer(summary.relay)
                return

    def _append(self, body):
        appending = self.submit(body, limit_s=CLAIM_LIMIT_S)
        return appending.addErrback(
            lambda failure: failure.trap(UndecidedError)
        )

    def sweep(self) -> None:
        """Forgets what has had its time; called every few seconds."""
        self.mesh.spreader.expire()
        self.pool.sweep()
        self.calls.sweep()
        known = {(p.node, p.incarnation) for p in self.facts.all_of(Presence)}
        self.chooser.forget(frozenset(known))
        open_moves = frozenset(m.id for m in self.holder.state.moves)
        if self.holder.current:
            self.facts.forget_moves(open_moves)

    def show(self, *, again: bool = False) -> None:
        """Spreads this node's presence when it has changed.

        Args:
            again: Whether to spread it even when it has not, so that it
                outdates what others may have concluded.
        """
        latest = self.beside.latest
        condition = self.beside.condition
        if self.host.leaving:
            condition = Condition.LEAVING
        presence = Presence(
            node=self.settings.node,
            incarnation=self.incarnation,
            sequence=self.sequence,
            data_centre=self.settings.data_centre,
            call_address=self.settings.call_address,
            mesh_address=self.settings.mesh_address,
            service=latest.service if latest else "",
            target_version=latest.target_version if latest else "",
            condition=condition,
            slots=latest.slots if latest else 0,
        )
        if presence == self.shown and not again:
            return
        before = self.shown
        self.sequence += 1
        self.shown = dataclasses.replace(presence, sequence=self.sequence)
        self.mesh.spreader.tell(self.shown)
        if before is None or before.service != presence.service:
            self._put_in_force()

    def leave(self) -> None:
        """Starts to leave: takes nothing new and hands duties over."""
        self.host.leaving = True
        self.show()
        self.mesh.spreader.flush()
        for duty in self.duties():
            self._hand_over(Nominate(duty=duty.name, expected_term=duty.term))

    def stop(self) -> None:
        """Stops everything that would go on by itself."""
        self.feed.stop()
        self.watch.stop()
        self.mesh.uplink.stop()
        self.pool.close()
        self.submitter.stop()
        self.spans.drain(limit=QUEUE_LIMIT)

    def submit(self, body, *, limit_s: float):
        """Appends a record under a new id.

        Args:
            body: What the record says.
            limit_s: Seconds after which the outcome is given up.

        Returns:
            Deferred of the `Outcome`; fails with `UndecidedError`.
        """
        envelope = Envelope(id=uuid.uuid4().hex, body=body)
        deadline = self.clock.seconds() + limit_s
        return self.submitter.submit(envelope, deadline=deadline)

    def _outcome(self, outcome: Outcome) -> None:
        kind = type(outcome).__name__.lower()
        self.metrics.count("fulmarrudder_records_total", ("outcome", kind))
        if isinstance(outcome, Refused):
            logs.info(
                "record-refused",
                offset=outcome.offset,
                reason=outcome.reason.value,
                detail=outcome.detail,
            )
        self.submitter.folded(outcome)

    def _advanced(self, before: int) -> None:
        self._put_in_force()
        self.mesh.advanced(before)
        self.monitor.follow(self.holder.state)
        if not self.holder.current:
            return
        state = self.holder.state
        self.mesh.spreader.tell(
            Held(
                node=self.settings.node,
                incarnation=self.incarnation,
                data_centre=self.settings.data_centre,
                offset=state.offset,
                version=state.version,
            )
        )

    def _put_in_force(self) -> None:
        state = self.holder.state
        if not self.holder.current or state.version == 0:
            return
        service = self.shown.service if self.shown else ""
        shape = (state.version, service)
        if shape != self.table_of:
            self.table_of = shape
            table = RouteTable(state.arrangement, service)
            wanted = reachable(state.arrangement, service)
            logs.info("in-force", version=state.version, offset=state.offset)
            self.mesh.want(wanted)
        else:
            table = self.entry.in_force.table
        self.entry.in_force = InForce(state=state, table=table)

    def _news(self, fact: Fact) -> None:
        if isinstance(fact, Summary):
            self.fleet.note(fact)
        if isinstance(fact, Evidence):
            self.monitor.take(fact)
        if not isinstance(fact, Presence) or fact.node != self.settings.node:
            return
        if fact is self.shown or fact.incarnation < self.incarnation:
            return
        if fact.sequence >= self.sequence and fact != self.shown:
            # Others took this node for lost; it says that it is not.
            self.sequence = fact.sequence
            self.show(again=True)

    def _placed(self) -> None:
        self.show(again=True)

    def _feed(self) -> None:
        if self.mesh.is_relay() or self._orphaned():
            self.feed.start()
            self.watch.start()
        elif self.mesh.uplink.attached:
            self.feed.stop()
            self.watch.stop()

    def _orphaned(self) -> bool:
        uplink = self.mesh.uplink
        if uplink.attached or not uplink.wanted:
            return False
        return self.clock.seconds() - uplink.lost_at > self.orphan_after

    def _duties(self) -> None:
        if not self.holder.current or self.host.leaving:
            return
        state = self.holder.state
        standing = Standing(
            holder=self.holder_id,
            data_centre=self.settings.data_centre,
            relays=self.settings.relays,
            orphaned=self._orphaned(),
            heirs=bool(self.mesh.children.by_link),
        )
        wanted = next_duty(
            state, standing, lambda duty: self.watch.lapsed(state, duty)
        )
        if isinstance(wanted, Claim):
            delay = self.rng.uniform(0.0, CLAIM_JITTER_S)
            self._claim_later(wanted.duty, wanted.expected_term, delay)
        elif isinstance(wanted, Appoint):
            self._appoint(wanted)

    def _appoint(self, wanted: Appoint) -> None:
        key = f"appoint/{wanted.duty}"
        if key in self.claiming:
            return
        self._mark(key)
        self._hand_over(
            Nominate(duty=wanted.duty, expected_term=wanted.expected_term)
        )

    def _hand_over(self, nominate: Nominate) -> None:
        links = list(self.mesh.children.by_link)
        if nominate.duty == CONTROLLER:
            links = list(self.mesh.peers.by_node.values()) or links
        if links:
            self.rng.choice(links).send(nominate)

    def _nominated(self, nominate: Nominate) -> None:
        if not self.host.leaving:
            self._claim_later(nominate.duty, nominate.expected_term, 0.0)

    def _claim_later(self, duty: str, expected_term: int, delay: float):
        if duty in self.claiming:
            return
        self._mark(duty)
        self.clock.callLater(delay, self._claim, duty, expected_term)

    def _claim(self, duty: str, expected_term: int) -> None:
        held = {d.name: d for d in self.holder.state.duties}.get(duty)
        if (held.term if held else 0) != expected_term:
            return
        logs.info("duty-claimed", duty=duty, term=expected_term + 1)
        body = ClaimDuty(
            duty=duty,
            holder=self.holder_id,
            data_centre=self.settings.data_centre,
            mesh_address=self.settings.mesh_address,
            admin_address=self.settings.admin_address,
            expected_term=expected_term,
        )
        claiming = self.submit(body, limit_s=CLAIM_LIMIT_S)
        claiming.addErrback(lambda failure: failure.trap(UndecidedError))

    def _mark(self, key: str) -> None:
        self.claiming = self.claiming | {key}
        self.clock.callLater(CLAIM_LIMIT_S / 2, self._unmark, key)

    def _unmark(self, key: str) -> None:
        self.claiming = self.claiming - {key}


def new_incarnation() -> int:
    """Returns the incarnation of a process that starts now."""
    return int(wall_seconds() * 1000)
