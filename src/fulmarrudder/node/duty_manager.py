"""Decides where a node gets its configuration from, and claims its duties."""

import random
from collections.abc import Callable
from functools import singledispatchmethod

from twisted.internet.defer import Deferred

from fulmarrudder.clock import Clock
from fulmarrudder.distribution import (
    Candidate,
    Claim,
    ClaimRequest,
    DelegateClaim,
    LeaseWatcher,
    Mesh,
    StateStore,
    decide_claim,
    duties_of,
)
from fulmarrudder.log import UndecidedError
from fulmarrudder.model import ClaimDuty
from fulmarrudder.node.config_reader import ConfigReader
from fulmarrudder.node.settings import Settings
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import CONTROLLER

ORPHAN_LEAST_S = 0.5
ORPHAN_MOST_S = 2.0
CLAIM_LIMIT_S = 10.0
CLAIM_JITTER_S = 1.0


class DutyManager:
    """Looks after the duties of one node.

    Attributes:
        claiming: Duties that this node has lately claimed or given away.
        orphan_delay_s: Seconds without a parent in its own data centre's tree
            after which it reads the log.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        settings: Settings,
        holder_id: str,
        state_store: StateStore,
        mesh: Mesh,
        config_reader: ConfigReader,
        lease_watcher: LeaseWatcher,
        is_leaving: Callable[[], bool],
        submit: Callable[..., Deferred],
    ):
        self.clock = clock
        self.rng = rng
        self.settings = settings
        self.holder_id = holder_id
        self.state_store = state_store
        self.mesh = mesh
        self.config_reader = config_reader
        self.lease_watcher = lease_watcher
        self.is_leaving = is_leaving
        self.submit = submit
        self.claiming: frozenset[str] = frozenset()
        self.orphan_delay_s = rng.uniform(ORPHAN_LEAST_S, ORPHAN_MOST_S)

    def tick(self) -> None:
        """Does what is due; called several times a second."""
        self._feed()
        self._duties()

    def hand_over_duties(self) -> None:
        """Asks other nodes to take this node's duties, as it leaves."""
        for duty in duties_of(self.state_store.state, self.holder_id):
            self._hand_over(
                ClaimRequest(duty=duty.name, expected_term=duty.term)
            )

    def _feed(self) -> None:
        if self.mesh.is_relay() or self._orphaned():
            self.config_reader.start()
            self.lease_watcher.start()
        elif self.mesh.in_local_tree():
            self.config_reader.stop()
            self.lease_watcher.stop()

    def _orphaned(self) -> bool:
        uplink = self.mesh.uplink
        if not uplink.enabled or self.mesh.in_local_tree():
            return False
        return (
            self.clock.seconds() - uplink.detached_since > self.orphan_delay_s
        )

    def _duties(self) -> None:
        if not self.state_store.synced or self.is_leaving():
            return
        state = self.state_store.state
        standing = Candidate(
            holder=self.holder_id,
            data_centre=self.settings.data_centre,
            relays=self.settings.relays,
            orphaned=self._orphaned(),
            has_children=bool(self.mesh.children.by_link),
        )
        wanted = decide_claim(
            state,
            standing,
            lambda duty: self.lease_watcher.is_expired(state, duty),
        )
        self._pursue(wanted)

    @singledispatchmethod
    def _pursue(self, wanted: None) -> None:
        """Does what `decide_claim` asks for, if anything."""

    @_pursue.register
    def _(self, wanted: Claim) -> None:
        delay = self.rng.uniform(0.0, CLAIM_JITTER_S)
        self._claim_later(wanted.duty, wanted.expected_term, delay)

    @_pursue.register
    def _(self, wanted: DelegateClaim) -> None:
        key = f"appoint/{wanted.duty}"
        if key in self.claiming:
            return
        self._mark(key)
        self._hand_over(
            ClaimRequest(duty=wanted.duty, expected_term=wanted.expected_term)
        )

    def _hand_over(self, nominate: ClaimRequest) -> None:
        mesh, place = self.mesh, self.settings.data_centre
        links = [k for k in mesh.children.by_link if k.data_centre == place]
        if nominate.duty == CONTROLLER:
            links = list(mesh.peers.by_node.values()) or links
        if links:
            self.rng.choice(links).send(nominate)

    def handle_claim_request(self, nominate: ClaimRequest) -> None:
        """Claims a duty that another node asks this one to take."""
        if not self.is_leaving():
            self._claim_later(nominate.duty, nominate.expected_term, 0.0)

    def _claim_later(self, duty: str, expected_term: int, delay: float):
        if duty in self.claiming:
            return
        self._mark(duty)
        self.clock.callLater(delay, self._claim, duty, expected_term)

    def _claim(self, duty: str, expected_term: int) -> None:
        held = {d.name: d for d in self.state_store.state.duties}.get(duty)
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
