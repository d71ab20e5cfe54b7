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
from fulmarrudder.distribution.holder import Holder
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import (
    Delta,
    Hello,
    InStep,
    Interest,
    Message,
    Nominate,
    Placed,
    Resync,
    Role,
    Spread,
    Whole,
)
from fulmarrudder.distribution.peers import Peers, node_of
from fulmarrudder.distribution.spread import Origin, Spreader
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
        spreader: Facts on all of them.
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
        holder: Holder,
        facts: FactStore,
        metrics: Metrics,
        on_news: Callable[[Fact], None],
        on_place: Callable[[], None],
        on_nominate: Callable[[Nominate], None],
    ):
        self.clock = clock
        self.rng = rng
        self.node = node
        self.holder_id = holder_id
        self.data_centre = data_centre
        self.mesh_address = mesh_address
        self.seeds = seeds
        self.dialer = dialer
        self.holder = holder
        self.metrics = metrics
        self.on_place = on_place
        self.on_nominate = on_nominate
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
        self.spreader = Spreader(
            clock=clock,
            facts=facts,
            uplink=self.uplink,
            children=self.children,
            peers=self.peers,
            node=node,
            data_centre=data_centre,
            is_relay=self.is_relay,
            controller=self.controller,
            on_news=on_news,
        )

    def is_relay(self) -> bool:
        """Tells whether this node holds a relay duty."""
        mine = duties_of(self.holder.state, self.holder_id)
        return any(duty.name != CONTROLLER for duty in mine)

    def controller(self) -> str:
        """Returns the id of the node that holds the controller's duty."""
        duty = duty_named(self.holder.state, CONTROLLER)
        return node_of(duty.holder) if duty else ""

    def position(self) -> Position:
        """Returns where this node stands in the tree."""
        return Position(
            node=self.node, relay=self.is_relay(), path=self.uplink.path
        )

    def listener(self) -> Factory:
        """Returns the factory of links that other nodes open."""
        factory = Factory.forProtocol(
            lambda: Link(self.clock, self, self.dialer.token, self.metrics)
        )
        factory.noisy = False
        return factory

    def advanced(self, before: int) -> None:
        """Passes on what the holder has just taken.

        Args:
            before: Offset held before.
        """
        if self.children.by_link and self.holder.state.offset > before:
            self.children.send_all(self.holder.since(before))
        self.reconcile()

    def reconcile(self) -> None:
        """Brings the links in line with the duties in force."""
        relay = self.is_relay()
        if relay and self.uplink.wanted:
            self.uplink.stop()
            self._tell_path()
            self.on_place()
        if not relay and not self.uplink.wanted:
            self.uplink.start()
            self._tell_path()
        if not relay:
            self._go_home()
        self.peers.reconcile(all_relays(self.holder.state), relay=relay)

    def want(self, services: frozenset[str]) -> None:
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
            self.spreader.link_gone(link)
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
        link.send(self.holder.since(hello.offset))
        child = self.children.by_link[link]
        self.spreader.introduce(link, self.spreader.for_child(child.interest))
        self._tell_interest()

    def _hello(self, role: Role) -> Hello:
        state = self.holder.state
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
        self.uplink.send(Interest(services=services))

    def _candidates(self) -> tuple[str, ...]:
        relays = relays_of(self.holder.state, self.data_centre)
        near = {duty.mesh_address for duty in relays} - {self.mesh_address}
        far = set(self.seeds) - near - {self.mesh_address}
        return (*self._shuffled(near), *self._shuffled(far))

    def _shuffled(self, addresses: set[str]) -> list[str]:
        return self.rng.sample(sorted(addresses), len(addresses))

    def at_home(self) -> bool:
        """Tells whether this node hangs below its own data centre's relay.

        It may hang below another's when its own has none, and a cut between
        the two would leave it without a source.
        """
        if not self.uplink.attached:
            return False
        relays = relays_of(self.holder.state, self.data_centre)
        return self.uplink.path[0] in {node_of(d.holder) for d in relays}

    def _go_home(self) -> None:
        now = self.clock.seconds()
        if not self.uplink.attached or self.at_home():
            self.home_due = now + self.rng.uniform(HOME_S, 2 * HOME_S)
            return
        known = relays_of(self.holder.state, self.data_centre)
        if known and now >= self.home_due:
            self.home_due = now + self.rng.uniform(HOME_S, 2 * HOME_S)
            self.uplink.move()

    def _path_changed(self) -> None:
        self._tell_path()
        if not self.uplink.attached:
            return
        self.told_interest = self._wanted()
        self.on_place()
        self.spreader.introduce(self.uplink.link, self.spreader.for_parent())

    def _tell_path(self) -> None:
        self.children.send_all(Placed(path=self.position().path_below))

    def _peer_opened(self, link: Link, hello: Hello) -> None:
        if hello.offset > self.holder.state.offset:
            self._ask(link)
        self.spreader.introduce(link, self.spreader.for_peer())

    def _peer_closed(self, link: Link) -> None:
        if link.data_centre == self.data_centre:
            self.spreader.link_gone(link)

    def _ask(self, link: Link) -> None:
        state = self.holder.state
        self.metrics.count("fulmarrudder_resyncs_total")
        link.send(Resync(offset=state.offset, digest=state.digest))

    def ask_peer(self, node: str) -> None:
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
            self.holder.take_delta(message)
        except GapError:
            self._ask_soon(link)
            return
        except DivergedError as error:
            logs.error("state-diverged", peer=link.node, detail=error)
            return
        if origin is Origin.ABOVE:
            self.holder.caught_up()

    @_take.register
    def _(self, message: Whole, link: Link, origin: Origin) -> None:
        self.holder.take_whole(message.state)
        if origin is Origin.ABOVE:
            self.holder.caught_up()

    @_take.register
    def _(self, message: InStep, link: Link, origin: Origin) -> None:
        state = self.holder.state
        if message.offset == state.offset and message.digest != state.digest:
            logs.error("state-diverged", peer=link.node, offset=state.offset)
        if origin is Origin.ABOVE:
            self.holder.caught_up()

    @_take.register
    def _(self, message: Resync, link: Link, origin: Origin) -> None:
        link.send(self.holder.since(message.offset))

    @_take.register
    def _(self, message: Spread, link: Link, origin: Origin) -> None:
        self.spreader.receive(message.facts, link, origin)

    @_take.register
    def _(self, message: Interest, link: Link, origin: Origin) -> None:
        child = self.children.by_link.get(link)
        if child is None:
            return
        before = child.interest
        wanted = message.services
        child.interest = None if wanted is None else frozenset(wanted)
        if before is not None:
            new = None if wanted is None else child.interest - before
            if new is None or new:
                self.spreader.introduce(link, self.spreader.for_child(new))
        self._tell_interest()

    @_take.register
    def _(self, message: Nominate, link: Link, origin: Origin) -> None:
        self.on_nominate(message)

    def _ask_soon(self, link: Link) -> None:
        if self.resync is not None and self.resync.active():
            return
        delay = self.rng.uniform(0.0, RESYNC_JITTER_S)
        self.resync = self.clock.callLater(delay, self._ask, link)
