"""Lease of the controller's duty: who holds a topic's first partition."""

from twisted.internet.defer import ensureDeferred

from fulmarrudder.clock import Clock
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.store import StoreClient

GROUP = "controller"
TOPIC = "controller"
TTL_S = 2.0
RENEW_S = 0.6


class GroupLease:
    """Keeps this node in the group for as long as the duty is wanted.

    Attributes:
        term: Generation under which the duty is held; fences what it writes.
        held_until: Clock seconds until which it is surely held.
    """

    def __init__(self, store: StoreClient, clock: Clock, member: str):
        self.store = store
        self.clock = clock
        self.member = member
        self.term = 0
        self.held_until = 0.0
        self.due = 0.0
        self.joining = False
        self.joined = False

    def holds_lease(self) -> bool:
        """Tells whether the duty is held now."""
        return self.clock.seconds() < self.held_until

    def tick(self, *, wanted: bool) -> None:
        """Joins, renews or leaves.

        Args:
            wanted: Whether there is something to do for the duty's holder.
        """
        if self.joining:
            return
        if not wanted:
            if self.joined:
                self._start(self._leave())
            return
        if self.clock.seconds() >= self.due:
            self._start(self._join())

    def _start(self, step) -> None:
        self.joining = True
        done = ensureDeferred(step)
        done.addErrback(
            lambda failure: logs.error(
                "lease-failed", detail=failure.getTraceback()
            )
        )
        done.addBoth(self._done)

    def _done(self, _) -> None:
        self.joining = False

    async def _join(self) -> None:
        now = self.clock.seconds()
        self.due = now + RENEW_S
        try:
            place = await self.store.join_group(
                GROUP, self.member, TOPIC, ttl_s=TTL_S, generation=self.term
            )
        except StoreError as error:
            logs.warning("lease-not-renewed", detail=error)
            return
        self.joined = True
        held = self.holds_lease()
        self.term = place.generation
        self.held_until = now + TTL_S if place.holds else 0.0
        if place.holds != held:
            logs.info("lease", held=place.holds, term=self.term)

    async def _leave(self) -> None:
        self.held_until = 0.0
        self.joined = False
        try:
            await self.store.leave_group(GROUP, self.member)
        except StoreError as error:
            logs.warning("lease-not-left", detail=error)
