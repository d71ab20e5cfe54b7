"""Combines the links, the state and the facts of one node."""

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
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Fact
from fulmarrudder.observe import Metrics, logs
from fulmarrudder.state_machine import CONTROLLER, OffsetGapError, duty_named

RESYNC_JITTER_S = 0.3
REATTACH_INTERVAL_S = 5.0


class Mesh:
    """The links of one node and the messages on them.

    Attributes:
        holder_id: Name of this node as a holder of duties: its id and
            incarnation.
        seeds: Mesh addresses to try when no relay of the node's data centre
            accepts it.
        state_store: Applies records to the replicated state.
        uplink: Link to the parent.
        children: Links to the children.
        peers: Links to other relays; used only on a relay.
        fact_router: Forwards facts over the links.
        interest: Services whose presences this node itself subscribes to.
        sent_interest: Interest last sent to the parent; None for all.
        reattach_due: Clock seconds after which the node may leave a parent
            in another data centre's tree for one in its own.
        on_position_change: Called when the node is attached to a parent or
            becomes a relay.
        on_claim_request: Called when another node requests that this one
            claim a duty.
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
        self.sent_interest: frozenset[str] | None = frozenset()
        self.resync_timer = None
        self.reattach_due = clock.seconds() + rng.uniform(
            0.0, REATTACH_INTERVAL_S
        )
        self.uplink = Uplink(
            clock=clock,
            rng=rng,
            dial=dialer.dial,
            hello=lambda: self._hello(Role.CHILD),
            parent_candidates=self._parent_candidates,
            on_path_change=self._path_changed,
            on_message=lambda link, message: self._handle(
                message, link, Origin.PARENT
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
            on_message=lambda link, message: self._handle(
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
            guard=dialer.guard,
        )

    def is_relay(self) -> bool:
        """Returns whether this node holds a relay duty."""
        duties = duties_of(self.state_store.state, self.holder_id)
        return any(duty.name != CONTROLLER for duty in duties)

    def controller(self) -> str:
        """Returns the id of the node that holds the controller's duty."""
        duty = duty_named(self.state_store.state, CONTROLLER)
        return node_of(duty.holder) if duty else ""

    def position(self) -> Position:
        """Returns this node's position in the tree."""
        return Position(
            node=self.node, is_relay=self.is_relay(), path=self.uplink.path
        )

    def link_factory(self) -> Factory:
        """Returns the factory for links that other nodes open."""
        factory = Factory.forProtocol(lambda: self.dialer.accept(self))
        factory.noisy = False
        return factory

    def forward_updates(self, before: int) -> None:
        """Sends newly applied records to the children.

        Args:
            before: Offset of the state before they were applied.
        """
        if self.children.by_link and self.state_store.state.offset > before:
            self.children.send_all(self.state_store.updates_since(before))
        self.reconcile()

    def reconcile(self) -> None:
        """Opens and closes links as the current duties require."""
        is_relay = self.is_relay()
        if is_relay and self.uplink.enabled:
            self.uplink.stop()
            self._send_path()
            self.on_position_change()
        if not is_relay and not self.uplink.enabled:
            self.uplink.start()
            self._send_path()
        if not is_relay:
            self._return_to_local_tree()
        self.peers.reconcile(
            all_relays(self.state_store.state), is_relay=is_relay
        )

    def set_interest(self, services: frozenset[str]) -> None:
        """Sets the services whose presences this node subscribes to."""
        self.interest = services
        self._send_interest()

    def link_opened(self, link: Link) -> None:
        """Does nothing: the node that opened the link sends first."""

    def link_message(self, link: Link, message: Message) -> None:
        """Handles a message on a link that another node opened."""
        if isinstance(message, Hello):
            self._handle_hello(link, message)
        elif link in self.children.by_link:
            self._handle(message, link, Origin.CHILD)
        elif self.peers.by_node.get(link.node) is link:
            self._handle(message, link, Origin.PEER)

    def link_closed(self, link: Link) -> None:
        """Removes a link that another node opened."""
        child = self.children.remove(link)
        if child is not None:
            self.fact_router.remove_link(link)
            self._send_interest()
            return
        self.peers.link_closed(link)

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        if hello.role is Role.PEER:
            self.peers.accept(link, hello, is_relay=self.is_relay())
            return
        link.node = hello.node
        link.data_centre = hello.data_centre
        if not self.children.admit(link, hello):
            return
        link.send(self.state_store.updates_since(hello.offset))
        child = self.children.by_link[link]
        self.fact_router.send_facts(
            link, self.fact_router.facts_for_child(child.interest)
        )
        self._send_interest()

    def _hello(self, role: Role) -> Hello:
        state = self.state_store.state
        interest = self._effective_interest()
        return Hello(
            role=role,
            node=self.node,
            data_centre=self.data_centre,
            mesh_address=self.mesh_address,
            offset=state.offset,
            digest=state.digest,
            interest=None if interest is None else tuple(sorted(interest)),
        )

    def _effective_interest(self) -> frozenset[str] | None:
        if self.is_relay():
            return None
        below = self.children.combined_interest()
        return None if below is None else self.interest | below

    def _send_interest(self) -> None:
        interest = self._effective_interest()
        if interest == self.sent_interest:
            return
        self.sent_interest = interest
        services = None if interest is None else tuple(sorted(interest))
        self.uplink.send(InterestUpdate(services=services))

    def _parent_candidates(self) -> tuple[str, ...]:
        relays = relays_of(self.state_store.state, self.data_centre)
        local = {duty.mesh_address for duty in relays} - {self.mesh_address}
        remote = set(self.seeds) - local - {self.mesh_address}
        return (*self._shuffled(local), *self._shuffled(remote))

    def _shuffled(self, addresses: set[str]) -> list[str]:
        return self.rng.sample(sorted(addresses), len(addresses))

    def in_local_tree(self) -> bool:
        """Returns whether this node is below a relay of its data centre.

        While its data centre has no relay, the node may be below another
        one's; a partition between the two would then cut it off from
        configuration.
        """
        if not self.uplink.attached:
            return False
        relays = relays_of(self.state_store.state, self.data_centre)
        return self.uplink.path[0] in {node_of(d.holder) for d in relays}

    def _return_to_local_tree(self) -> None:
        now = self.clock.seconds()
        if not self.uplink.attached or self.in_local_tree():
            self.reattach_due = now + self.rng.uniform(
                REATTACH_INTERVAL_S, 2 * REATTACH_INTERVAL_S
            )
            return
        relays = relays_of(self.state_store.state, self.data_centre)
        if relays and now >= self.reattach_due:
            self.reattach_due = now + self.rng.uniform(
                REATTACH_INTERVAL_S, 2 * REATTACH_INTERVAL_S
            )
            self.uplink.reattach()

    def _path_changed(self) -> None:
        self._send_path()
        if not self.uplink.attached:
            return
        self.sent_interest = self._effective_interest()
        self.on_position_change()
        self.fact_router.send_facts(
            self.uplink.link, self.fact_router.facts_for_parent()
        )

    def _send_path(self) -> None:
        self.children.send_all(PathUpdate(path=self.position().path_below))

    def _peer_opened(self, link: Link, hello: Hello) -> None:
        if hello.offset > self.state_store.state.offset:
            self._request_resync(link)
        self.fact_router.send_facts(link, self.fact_router.facts_for_peer())

    def _peer_closed(self, link: Link) -> None:
        if link.data_centre == self.data_centre:
            self.fact_router.remove_link(link)

    def _request_resync(self, link: Link) -> None:
        state = self.state_store.state
        self.metrics.count("fulmarrudder_resyncs_total")
        link.send(ResyncRequest(offset=state.offset, digest=state.digest))

    def resync_from(self, node: str) -> None:
        """Requests missing records from another relay.

        Args:
            node: Id of the relay.
        """
        link = self.peers.by_node.get(node)
        if link is not None:
            self._request_resync(link)

    @singledispatchmethod
    def _handle(self, message: Message, link: Link, origin: Origin) -> None:
        logs.warning("link-message-unexpected", kind=type(message).__name__)

    @_handle.register
    def _(self, message: Delta, link: Link, origin: Origin) -> None:
        try:
            self.state_store.apply_delta(message)
        except OffsetGapError:
            self._schedule_resync(link)
            return
        except DivergedError as error:
            logs.error("state-diverged", peer=link.node, detail=error)
            return
        if origin is Origin.PARENT:
            self.state_store.mark_synced()

    @_handle.register
    def _(self, message: Snapshot, link: Link, origin: Origin) -> None:
        self.state_store.apply_snapshot(message.state)
        if origin is Origin.PARENT:
            self.state_store.mark_synced()

    @_handle.register
    def _(self, message: UpToDate, link: Link, origin: Origin) -> None:
        state = self.state_store.state
        if message.offset == state.offset and message.digest != state.digest:
            logs.error("state-diverged", peer=link.node, offset=state.offset)
        if origin is Origin.PARENT:
            self.state_store.mark_synced()

    @_handle.register
    def _(self, message: ResyncRequest, link: Link, origin: Origin) -> None:
        link.send(self.state_store.updates_since(message.offset))

    @_handle.register
    def _(self, message: FactBatch, link: Link, origin: Origin) -> None:
        self.fact_router.receive(message.facts, link, origin)

    @_handle.register
    def _(self, message: InterestUpdate, link: Link, origin: Origin) -> None:
        child = self.children.by_link.get(link)
        if child is None:
            return
        before = child.interest
        interest = message.services
        child.interest = None if interest is None else frozenset(interest)
        if before is not None:
            new = None if interest is None else child.interest - before
            if new is None or new:
                self.fact_router.send_facts(
                    link, self.fact_router.facts_for_child(new)
                )
        self._send_interest()

    @_handle.register
    def _(self, message: ClaimRequest, link: Link, origin: Origin) -> None:
        self.on_claim_request(message)

    def _schedule_resync(self, link: Link) -> None:
        if self.resync_timer is not None and self.resync_timer.active():
            return
        delay = self.rng.uniform(0.0, RESYNC_JITTER_S)
        self.resync_timer = self.clock.callLater(
            delay, self._request_resync, link
        )
