"""Slots of the target beside this node, with a short queue."""

import collections
import dataclasses

from twisted.internet.defer import Deferred, fail, succeed

from fulmarrudder.call.errors import SlotError
from fulmarrudder.clock import Clock

QUEUE_PER_SLOT = 4
QUEUE_LIMIT_S = 2.0


@dataclasses.dataclass(slots=True)
class _Waiter:
    granted: Deferred
    timer: object = None


class Slots:
    """Bounds the requests that the target serves at once.

    Attributes:
        capacity: Slots that the target has.
        taken: Slots in use.
        waiters: Requests queued for a slot, oldest first.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.capacity = 1
        self.taken = 0
        self.waiters: collections.deque[_Waiter] = collections.deque()

    def resize(self, capacity: int) -> None:
        """Sets how many slots there are."""
        self.capacity = capacity
        self._grant()

    def acquire(self, deadline: float) -> Deferred:
        """Takes a slot, or queues for one.

        Args:
            deadline: Clock seconds after which a slot is of no use.

        Returns:
            Deferred that fires when the slot is taken; fails with
            `SlotError` when the queue is full or too slow.
        """
        if self.taken < self.capacity:
            self.taken += 1
            return succeed(None)
        if len(self.waiters) >= self.capacity * QUEUE_PER_SLOT:
            return fail(SlotError("queue is full"))
        left = min(QUEUE_LIMIT_S, deadline - self.clock.seconds())
        if left <= 0:
            return fail(SlotError("no time left"))
        waiter = _Waiter(Deferred(lambda _: self._abandon(waiter)))
        waiter.timer = self.clock.callLater(left, self._expire, waiter)
        self.waiters.append(waiter)
        return waiter.granted

    def release(self) -> None:
        """Gives a slot back."""
        self.taken -= 1
        self._grant()

    def _grant(self) -> None:
        while self.waiters and self.taken < self.capacity:
            waiter = self.waiters.popleft()
            waiter.timer.cancel()
            self.taken += 1
            waiter.granted.callback(None)

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            waiter.timer.cancel()

    def _expire(self, waiter: _Waiter) -> None:
        self.waiters.remove(waiter)
        waiter.granted.errback(SlotError("no slot in time"))
