"""Decides where a node gets its configuration from, and claims its duties."""

from fulmarrudder.distribution import (
    Appoint,
    Claim,
    Nominate,
    Standing,
    next_duty,
)
from fulmarrudder.fold import CONTROLLER, relay_prefix
from fulmarrudder.log import UndecidedError
from fulmarrudder.model import ClaimDuty
from fulmarrudder.observe import logs

ORPHAN_LEAST_S = 0.5
ORPHAN_MOST_S = 2.0
CLAIM_LIMIT_S = 10.0
CLAIM_JITTER_S = 1.0


class Steward:
    """Looks after the duties of one node.

    Attributes:
        node: The node; see `fulmarrudder.node.node.Node`.
        claiming: Duties that this node has lately claimed or given away.
        orphan_after: Seconds without a parent in its own data centre's tree
            after which it reads the log.
    """

    def __init__(self, node):
        self.node = node
        self.claiming: frozenset[str] = frozenset()
        self.orphan_after = node.rng.uniform(ORPHAN_LEAST_S, ORPHAN_MOST_S)

    def tick(self) -> None:
        """Does what is due; called several times a second."""
        self._feed()
        self._duties()

    def hand_over_all(self) -> None:
        """Asks other nodes to take this node's duties, as it leaves."""
        for duty in self.node.duties():
            self._hand_over(Nominate(duty=duty.name, expected_term=duty.term))

    def _feed(self) -> None:
        if self.node.mesh.is_relay() or self._orphaned():
            self.node.feed.start()
            self.node.watch.start()
        elif self.node.mesh.at_home():
            self.node.feed.stop()
            self.node.watch.stop()

    def _orphaned(self) -> bool:
        uplink = self.node.mesh.uplink
        if not uplink.wanted or self.node.mesh.at_home():
            return False
        return self.node.clock.seconds() - uplink.lost_at > self.orphan_after

    def _duties(self) -> None:
        if not self.node.holder.current or self.node.host.leaving:
            return
        state = self.node.holder.state
        standing = Standing(
            holder=self.node.holder_id,
            data_centre=self.node.settings.data_centre,
            relays=self.node.settings.relays,
            orphaned=self._orphaned(),
            heirs=bool(self.node.mesh.children.by_link),
        )
        wanted = next_duty(
            state, standing, lambda duty: self.node.watch.lapsed(state, duty)
        )
        if isinstance(wanted, Claim):
            delay = self.node.rng.uniform(0.0, CLAIM_JITTER_S)
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
        mesh, place = self.node.mesh, self.node.settings.data_centre
        links = [k for k in mesh.children.by_link if k.data_centre == place]
        if nominate.duty == CONTROLLER:
            links = list(mesh.peers.by_node.values()) or links
        if links:
            self.node.rng.choice(links).send(nominate)

    def nominated(self, nominate: Nominate) -> None:
        """Claims a duty that another node asks this one to take."""
        if not self.node.host.leaving and self._may_hold(nominate.duty):
            self._claim_later(nominate.duty, nominate.expected_term, 0.0)

    def _may_hold(self, duty: str) -> bool:
        place = self.node.settings.data_centre
        return duty == CONTROLLER or duty.startswith(relay_prefix(place))

    def _claim_later(self, duty: str, expected_term: int, delay: float):
        if duty in self.claiming:
            return
        self._mark(duty)
        self.node.clock.callLater(delay, self._claim, duty, expected_term)

    def _claim(self, duty: str, expected_term: int) -> None:
        held = {d.name: d for d in self.node.holder.state.duties}.get(duty)
        if (held.term if held else 0) != expected_term:
            return
        logs.info("duty-claimed", duty=duty, term=expected_term + 1)
        body = ClaimDuty(
            duty=duty,
            holder=self.node.holder_id,
            data_centre=self.node.settings.data_centre,
            mesh_address=self.node.settings.mesh_address,
            admin_address=self.node.settings.admin_address,
            expected_term=expected_term,
        )
        claiming = self.node.submit(body, limit_s=CLAIM_LIMIT_S)
        claiming.addErrback(lambda failure: failure.trap(UndecidedError))

    def _mark(self, key: str) -> None:
        self.claiming = self.claiming | {key}
        self.node.clock.callLater(CLAIM_LIMIT_S / 2, self._unmark, key)

    def _unmark(self, key: str) -> None:
        self.claiming = self.claiming - {key}
