"""Selects the source of a node's configuration, and claims its duties."""

import random
from collections.abc import Callable
from functools import singledispatchmethod

from twisted.internet.defer import Deferred

from fulmarrudder.clock import Clock
from fulmarrudder.distribution import ClaimRequest
from fulmarrudder.distribution.duties import (
    Candidate,
    Claim,
    DelegateClaim,
    decide_claim,
    duties_of,
)
from fulmarrudder.distribution.lease import LeaseWatcher
from fulmarrudder.distribution.mesh import Mesh
from fulmarrudder.distribution.state_store import StateStore
from fulmarrudder.log import UndecidedError
from fulmarrudder.model import ClaimDuty
from fulmarrudder.node.config_reader import ConfigReader
from fulmarrudder.node.settings import Settings
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import CONTROLLER

MIN_ORPHAN_DELAY_S = 0.5
MAX_ORPHAN_DELAY_S = 2.0
CLAIM_TIMEOUT_S = 10.0
MAX_CLAIM_JITTER_S = 1.0


class DutyManager:
    """Claims and hands over the duties of one node.

    It also starts and stops the node's reads of the log: a relay or an orphaned
    node reads it, and all others receive their configuration from a parent.

    Attributes:
        recent_claims: Duties that this node has recently claimed or delegated;
            it does not repeat such a request at once.
        orphan_delay_s: Seconds without a parent in its own data centre's tree
            after which the node reads the log itself; random for each node.
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
        self.recent_claims: frozenset[str] = frozenset()
        self.orphan_delay_s = rng.uniform(
            MIN_ORPHAN_DELAY_S, MAX_ORPHAN_DELAY_S
        )

    def tick(self) -> None:
        """Runs periodic work; called several times a second."""
        self._update_config_source()
        self._update_duties()

    def hand_over_duties(self, names: frozenset[str] | None = None) -> None:
        """Requests that other nodes claim this node's duties.

        Args:
            names: Names of the duties to hand over; all if None.
        """
        for duty in duties_of(self.state_store.state, self.holder_id):
            if names is not None and duty.name not in names:
                continue
            self._hand_over(
                ClaimRequest(duty=duty.name, expected_term=duty.term)
            )

    def _update_config_source(self) -> None:
        if self.mesh.is_relay() or self._is_orphaned():
            self.config_reader.start()
            self.lease_watcher.start()
        elif self.mesh.in_local_tree():
            self.config_reader.stop()
            self.lease_watcher.stop()

    def _is_orphaned(self) -> bool:
        uplink = self.mesh.uplink
        if not uplink.enabled or self.mesh.in_local_tree():
            return False
        return (
            self.clock.seconds() - uplink.detached_since > self.orphan_delay_s
        )

    def _update_duties(self) -> None:
        if not self.state_store.synced or self.is_leaving():
            return
        state = self.state_store.state
        candidate = Candidate(
            holder=self.holder_id,
            data_centre=self.settings.data_centre,
            relays=self.settings.relays,
            orphaned=self._is_orphaned(),
            has_children=bool(self.mesh.children.by_link),
        )
        decision = decide_claim(
            state,
            candidate,
            lambda duty: self.lease_watcher.is_expired(state, duty),
        )
        self._carry_out(decision)

    @singledispatchmethod
    def _carry_out(self, decision: None) -> None:
        """Carries out the decision of `decide_claim`, if there is one."""

    @_carry_out.register
    def _(self, decision: Claim) -> None:
        delay_s = self.rng.uniform(0.0, MAX_CLAIM_JITTER_S)
        self._claim_later(decision.duty, decision.expected_term, delay_s)

    @_carry_out.register
    def _(self, decision: DelegateClaim) -> None:
        key = f"delegate/{decision.duty}"
        if key in self.recent_claims:
            return
        self._remember_claim(key)
        self._hand_over(
            ClaimRequest(
                duty=decision.duty, expected_term=decision.expected_term
            )
        )

    def _hand_over(self, request: ClaimRequest) -> None:
        mesh, place = self.mesh, self.settings.data_centre
        links = [k for k in mesh.children.by_link if k.data_centre == place]
        if request.duty == CONTROLLER:
            links = list(mesh.peers.by_node.values()) or links
        if links:
            self.rng.choice(links).send(request)

    def handle_claim_request(self, request: ClaimRequest) -> None:
        """Claims a duty at the request of another node."""
        if not self.is_leaving():
            self._claim_later(request.duty, request.expected_term, 0.0)

    def _claim_later(self, duty: str, expected_term: int, delay_s: float):
        if duty in self.recent_claims:
            return
        self._remember_claim(duty)
        self.clock.callLater(delay_s, self._claim, duty, expected_term)

    def _claim(self, duty: str, expected_term: int) -> None:
        existing = {d.name: d for d in self.state_store.state.duties}.get(duty)
        if (existing.term if existing else 0) != expected_term:
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
        submission = self.submit(body, limit_s=CLAIM_TIMEOUT_S)
        submission.addErrback(lambda failure: failure.trap(UndecidedError))

    def _remember_claim(self, key: str) -> None:
        self.recent_claims = self.recent_claims | {key}
        self.clock.callLater(CLAIM_TIMEOUT_S / 2, self._forget_claim, key)

    def _forget_claim(self, key: str) -> None:
        self.recent_claims = self.recent_claims - {key}
