"""Lease of the controller's duty, by membership of a store group.

The member to which the store assigns the topic's first partition holds the
lease, and counts as its holder once it has read what earlier holders recorded.
"""

from collections.abc import Callable, Coroutine

from fulmarrudder.clock import Clock
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.store import StoreClient

GROUP = "controller"
TOPIC = "controller"
TTL_S = 2.0
NO_TERM = -1
RENEW_PERIOD_S = 0.6
# Long enough for another member to join and to obtain the lease.
RESIGN_S = 5.0


class GroupLease:
    """Joins the group and renews the membership while this node seeks the duty.

    Attributes:
        member_id: Id of this node in the group.
        catch_up: Reads the records that were written before the call, or
            raises a `StoreError`.
        term: Generation of the group; the fencing token of the holder. It rises
            with the era of the store as well.
        caught_up_term: Latest term whose earlier records were read.
        held_until: Clock seconds at which the lease ends; 0 when the partition
            is not assigned to this node.
        next_join_at: Clock seconds at which the next join call is due.
        resigned_until: Clock seconds before which this node does not seek the
            duty.
        acts_from: Clock seconds before which the lease does not count: a holder
            of an earlier era may not have heard of this one.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        member_id: str,
        catch_up: Callable[[], Coroutine],
    ):
        self.store = store
        self.clock = clock
        self.member_id = member_id
        self.catch_up = catch_up
        self.term = 0
        self.caught_up_term = NO_TERM
        self.held_until = 0.0
        self.next_join_at = 0.0
        self.resigned_until = 0.0
        self.acts_from = 0.0
        self.joined = False

    def enter_era(self) -> None:
        """Gives the lease up, as the store has come back from an older copy.

        A holder of the era before has renewed its lease there for the last time
        before this one began, so that it acts for `TTL_S` from now at most.
        """
        was_held = self.holds_lease()
        now = self.clock.seconds()
        self.held_until = 0.0
        self.next_join_at = now
        self.acts_from = now + TTL_S
        self._log_change(was_held)

    def holds_lease(self) -> bool:
        """Returns whether this node holds the lease now.

        It does once it knows the records before the term, as another node may
        have held the lease until then.
        """
        return (
            self._is_assigned()
            and self.caught_up_term == self.term
            and self.clock.seconds() >= self.acts_from
        )

    def resign(self) -> None:
        """Gives the lease up for some seconds, so that another node gets it."""
        self.held_until = 0.0
        self.resigned_until = self.clock.seconds() + RESIGN_S

    def tick(self, *, is_candidate: bool) -> Coroutine | None:
        """Joins the group, renews the membership or leaves.

        Args:
            is_candidate: Whether this node seeks the duty.

        Returns:
            The call of the store, if one is due; it ends before the next tick.
        """
        now = self.clock.seconds()
        # The earlier times, should the clock run back.
        self.held_until = min(self.held_until, now + TTL_S)
        self.next_join_at = min(self.next_join_at, now + RENEW_PERIOD_S)
        self.resigned_until = min(self.resigned_until, now + RESIGN_S)
        self.acts_from = min(self.acts_from, now + TTL_S)
        if not is_candidate or now < self.resigned_until:
            return self._leave() if self.joined else None
        return self._join() if now >= self.next_join_at else None

    def read_records(self) -> Coroutine | None:
        """Reads the records before the term, unless that is done already.

        The membership is renewed meanwhile, so that a slow store does not end
        the term before it is held.

        Returns:
            The reading, if one is due; it ends before the next call.
        """
        if not self._is_assigned() or self.caught_up_term == self.term:
            return None
        if self.clock.seconds() < self.acts_from:
            return None
        return self._read_records()

    def _is_assigned(self) -> bool:
        return self.clock.seconds() < self.held_until

    async def _join(self) -> None:
        now = self.clock.seconds()
        self.next_join_at = now + RENEW_PERIOD_S
        try:
            membership = await self.store.join_group(
                GROUP, self.member_id, TOPIC, ttl_s=TTL_S, generation=self.term
            )
        except StoreError as error:
            logs.warning("lease-not-renewed", detail=error)
            return
        self.joined = True
        if self.clock.seconds() < self.resigned_until:
            # Resigned while the call was under way; the next tick leaves.
            return
        was_held = self.holds_lease()
        self.term = membership.generation
        self.held_until = now + TTL_S if membership.holds_partition else 0.0
        self._log_change(was_held)

    async def _read_records(self) -> None:
        term = self.term
        try:
            await self.catch_up()
        except StoreError as error:
            logs.warning("lease-records-not-read", term=term, detail=error)
            return
        was_held = self.holds_lease()
        self.caught_up_term = term
        self._log_change(was_held)

    def _log_change(self, was_held: bool) -> None:
        if self.holds_lease() != was_held:
            logs.info("lease-changed", held=not was_held, term=self.term)

    async def _leave(self) -> None:
        self.held_until = 0.0
        self.joined = False
        try:
            await self.store.leave_group(GROUP, self.member_id)
        except StoreError as error:
            logs.warning("lease-leave-failed", detail=error)
