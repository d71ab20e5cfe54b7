"""Joins the filters of distribution on one node."""

import random
from collections.abc import Callable
from functools import singledispatchmethod

from twisted.internet.protocol import Factory

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.children import Children
from fulmarrudder.distribution.dial import Dialer
from fulmarrudder.distribution.duties import (
    all_relays,
    duties_of,
    relays_of,
)
from fulmarrudder.distribution.errors import DivergedError
from fulmarrudder.distribution.fact_router import FactRouter, Origin
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import (
    ClaimRequest,
    Delta,
    FactBatch,
    Hello,
    InterestUpdate,
    Message,
    PathUpdate,
    ResyncRequest,
    Role,
    Snapshot,
    UpToDate,
)
from fulmarrudder.distribution.peers import Peers, node_of
from fulmarrudder.distribution.state_store import StateStore
from fulmarrudder.distribution.tree import Position
from fulmarrudder.distribution.uplink import Uplink
from fulmarrudder.fold import CONTROLLER, GapError, duty_named
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Fact
from fulmarrudder.observe import Metrics, logs

RESYNC_JITTER_S = 0.3
HOME_S = 5.0


class Mesh:
    """The links of one node and what flows over them.

    Attributes:
        holder: State in force.
        uplink: Link to the parent.
        children: Links to the nodes below.
        peers: Links among relays.
        fact_router: Facts on all of them.
        interest: Services whose presences this node itself wants.
        home_due: Clock seconds from which it may leave a parent below
            another data centre's relay for one below its own.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        node: str,
        holder_id: str,
        data_centre: str,
        mesh_address: str,
        seeds: tuple[str, ...],
        degree: int,
        dialer: Dialer,
        state_store: StateStore,
        facts: FactStore,
        metrics: Metrics,
        on_new_fact: Callable[[Fact], None],
        on_position_change: Callable[[], None],
        on_claim_request: Callable[[ClaimRequest], None],
    ):
        self.clock = clock
        self.rng = rng
        self.node = node
        self.holder_id = holder_id
        self.data_centre = data_centre
        self.mesh_address = mesh_address
        self.seeds = seeds
        self.dialer = dialer
        self.state_store = state_store
        self.metrics = metrics
        self.on_position_change = on_position_change
        self.on_claim_request = on_claim_request
        self.interest: frozenset[str] = frozenset()
        self.told_interest: frozenset[str] | None = frozenset()
        self.resync = None
        self.home_due = clock.seconds() + rng.uniform(0.0, HOME_S)
        self.uplink = Uplink(
            clock=clock,
            rng=rng,
            dial=dialer.dial,
            hello=lambda: self._hello(Role.CHILD),
            candidates=self._candidates,
            on_path=self._path_changed,
            on_message=lambda link, message: self._take(
                message, link, Origin.ABOVE
            ),
        )
        self.children = Children(rng=rng, position=self.position, degree=degree)
        self.peers = Peers(
            clock=clock,
            rng=rng,
            node=node,
            dial=dialer.dial,
            hello=lambda: self._hello(Role.PEER),
            on_open=self._peer_opened,
            on_message=lambda link, message: self._take(
                message, link, Origin.PEER
            ),
            on_closed=self._peer_closed,
        )
        self.fact_router = FactRouter(
            clock=clock,
            facts=facts,
            uplink=self.uplink,
            children=self.children,
            peers=self.peers,
            node=node,
            data_centre=data_centre,
            is_relay=self.is_relay,
            controller=self.controller,
            on_new_fact=on_new_fact,
        )

    def is_relay(self) -> bool:
        """Tells whether this node holds a relay duty."""
        mine = duties_of(self.state_store.state, self.holder_id)
        return any(duty.name != CONTROLLER for duty in mine)

    def controller(self) -> str:
        """Returns the id of the node that holds the controller's duty."""
        duty = duty_named(self.state_store.state, CONTROLLER)
        return node_of(duty.holder) if duty else ""

    def position(self) -> Position:
        """Returns where this node stands in the tree."""
        return Position(
            node=self.node, relay=self.is_relay(), path=self.uplink.path
        )

    def link_factory(self) -> Factory:
        """Returns the factory of links that other nodes open."""
        factory = Factory.forProtocol(
            lambda: Link(self.clock, self, self.dialer.token, self.metrics)
        )
        factory.noisy = False
        return factory

    def forward_updates(self, before: int) -> None:
        """Passes on what the holder has just taken.

        Args:
            before: Offset held before.
        """
        if self.children.by_link and self.state_store.state.offset > before:
            self.children.send_all(self.state_store.updates_since(before))
        self.reconcile()

    def reconcile(self) -> None:
        """Brings the links in line with the duties in force."""
        relay = self.is_relay()
        if relay and self.uplink.enabled:
            self.uplink.stop()
            self._tell_path()
            self.on_position_change()
        if not relay and not self.uplink.enabled:
            self.uplink.start()
            self._tell_path()
        if not relay:
            self._go_home()
        self.peers.reconcile(all_relays(self.state_store.state), relay=relay)

    def set_interest(self, services: frozenset[str]) -> None:
        """Sets the services whose presences this node itself wants."""
        self.interest = services
        self._tell_interest()

    def link_opened(self, link: Link) -> None:
        """Waits for the first message of a link that another node opened."""

    def link_message(self, link: Link, message: Message) -> None:
        """Takes a message on a link that another node opened."""
        if isinstance(message, Hello):
            self._take_hello(link, message)
        elif link in self.children.by_link:
            self._take(message, link, Origin.BELOW)
        elif self.peers.by_node.get(link.node) is link:
            self._take(message, link, Origin.PEER)

    def link_closed(self, link: Link) -> None:
        """Forgets a link that another node opened."""
        child = self.children.leave(link)
        if child is not None:
            self.fact_router.link_gone(link)
            self._tell_interest()
            return
        self.peers.link_closed(link)

    def _take_hello(self, link: Link, hello: Hello) -> None:
        if hello.role is Role.PEER:
            self.peers.accept(link, hello, relay=self.is_relay())
            return
        link.node = hello.node
        link.data_centre = hello.data_centre
        if not self.children.join(link, hello):
            return
        link.send(self.state_store.updates_since(hello.offset))
        child = self.children.by_link[link]
        self.fact_router.introduce(
            link, self.fact_router.for_child(child.interest)
        )
        self._tell_interest()

    def _hello(self, role: Role) -> Hello:
        state = self.state_store.state
        wanted = self._wanted()
        return Hello(
            role=role,
            node=self.node,
            data_centre=self.data_centre,
            mesh_address=self.mesh_address,
            offset=state.offset,
            digest=state.digest,
            interest=None if wanted is None else tuple(sorted(wanted)),
        )

    def _wanted(self) -> frozenset[str] | None:
        if self.is_relay():
            return None
        below = self.children.interest()
        return None if below is None else self.interest | below

    def _tell_interest(self) -> None:
        wanted = self._wanted()
        if wanted == self.told_interest:
            return
        self.told_interest = wanted
        services = None if wanted is None else tuple(sorted(wanted))
        self.uplink.send(InterestUpdate(services=services))

    def _candidates(self) -> tuple[str, ...]:
        relays = relays_of(self.state_store.state, self.data_centre)
        near = {duty.mesh_address for duty in relays} - {self.mesh_address}
        far = set(self.seeds) - near - {self.mesh_address}
        return (*self._shuffled(near), *self._shuffled(far))

    def _shuffled(self, addresses: set[str]) -> list[str]:
        return self.rng.sample(sorted(addresses), len(addresses))

    def in_local_tree(self) -> bool:
        """Tells whether this node hangs below its own data centre's relay.

        It may hang below another's when its own has none, and a cut between
        the two would leave it without a source.
        """
        if not self.uplink.attached:
            return False
        relays = relays_of(self.state_store.state, self.data_centre)
        return self.uplink.path[0] in {node_of(d.holder) for d in relays}

    def _go_home(self) -> None:
        now = self.clock.seconds()
        if not self.uplink.attached or self.in_local_tree():
            self.home_due = now + self.rng.uniform(HOME_S, 2 * HOME_S)
            return
        known = relays_of(self.state_store.state, self.data_centre)
        if known and now >= self.home_due:
            self.home_due = now + self.rng.uniform(HOME_S, 2 * HOME_S)
            self.uplink.move()

    def _path_changed(self) -> None:
        self._tell_path()
        if not self.uplink.attached:
            return
        self.told_interest = self._wanted()
        self.on_position_change()
        self.fact_router.introduce(
            self.uplink.link, self.fact_router.for_parent()
        )

    def _tell_path(self) -> None:
        self.children.send_all(PathUpdate(path=self.position().path_below))

    def _peer_opened(self, link: Link, hello: Hello) -> None:
        if hello.offset > self.state_store.state.offset:
            self._ask(link)
        self.fact_router.introduce(link, self.fact_router.for_peer())

    def _peer_closed(self, link: Link) -> None:
        if link.data_centre == self.data_centre:
            self.fact_router.link_gone(link)

    def _ask(self, link: Link) -> None:
        state = self.state_store.state
        self.metrics.count("fulmarrudder_resyncs_total")
        link.send(ResyncRequest(offset=state.offset, digest=state.digest))

    def resync_from(self, node: str) -> None:
        """Asks another relay for what this one has missed."""
        link = self.peers.by_node.get(node)
        if link is not None:
            self._ask(link)

    @singledispatchmethod
    def _take(self, message: Message, link: Link, origin: Origin) -> None:
        logs.warning("link-message-unexpected", kind=type(message).__name__)

    @_take.register
    def _(self, message: Delta, link: Link, origin: Origin) -> None:
        try:
            self.state_store.apply_delta(message)
        except GapError:
            self._ask_soon(link)
            return
        except DivergedError as error:
            logs.error("state-diverged", peer=link.node, detail=error)
            return
        if origin is Origin.ABOVE:
            self.state_store.mark_synced()

    @_take.register
    def _(self, message: Snapshot, link: Link, origin: Origin) -> None:
        self.state_store.apply_snapshot(message.state)
        if origin is Origin.ABOVE:
            self.state_store.mark_synced()

    @_take.register
    def _(self, message: UpToDate, link: Link, origin: Origin) -> None:
        state = self.state_store.state
        if message.offset == state.offset and message.digest != state.digest:
            logs.error("state-diverged", peer=link.node, offset=state.offset)
        if origin is Origin.ABOVE:
            self.state_store.mark_synced()

    @_take.register
    def _(self, message: ResyncRequest, link: Link, origin: Origin) -> None:
        link.send(self.state_store.updates_since(message.offset))

    @_take.register
    def _(self, message: FactBatch, link: Link, origin: Origin) -> None:
        self.fact_router.receive(message.facts, link, origin)

    @_take.register
    def _(self, message: InterestUpdate, link: Link, origin: Origin) -> None:
        child = self.children.by_link.get(link)
        if child is None:
            return
        before = child.interest
        wanted = message.services
        child.interest = None if wanted is None else frozenset(wanted)
        if before is not None:
            new = None if wanted is None else child.interest - before
            if new is None or new:
                self.fact_router.introduce(
                    link, self.fact_router.for_child(new)
                )
        self._tell_interest()

    @_take.register
    def _(self, message: ClaimRequest, link: Link, origin: Origin) -> None:
        self.on_claim_request(message)

    def _ask_soon(self, link: Link) -> None:
        if self.resync is not None and self.resync.active():
            return
        delay = self.rng.uniform(0.0, RESYNC_JITTER_S)
        self.resync = self.clock.callLater(delay, self._ask, link)
