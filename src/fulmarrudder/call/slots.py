"""Admission to the local target: slots and a priority queue.

A request is admitted only if it is likely to finish in time. Otherwise it is
refused at once, with a time after which to retry. Within a rank, tenants take
turns, and requests of the same turn are ordered by soft deadline.
"""

import dataclasses
import heapq
import itertools

from twisted.internet.defer import Deferred, fail, succeed

from fulmarrudder.call.errors import SlotError
from fulmarrudder.call.fairness import TenantTurns
from fulmarrudder.call.rate import RateLimit
from fulmarrudder.clock import Clock

MAX_QUEUE_PER_SLOT = 4
MAX_QUEUE_WAIT_S = 2.0
# Weight of the latest request in the moving average of service times.
SERVICE_TIME_WEIGHT = 0.1
DEFAULT_SERVICE_TIME_S = 0.05
# A request that would miss its spill deadline is refused only when its expected
# wait exceeds this fraction of the average service time: below that, waiting
# costs less than forwarding to another node.
MAX_SPILL_WAIT_FACTOR = 0.25
# Queued requests per slot above which a request that will miss its soft
# deadline is refused instead of requeued behind those that can still meet it.
MAX_LATE_QUEUE_PER_SLOT = 0.25
# Requests below this fraction of the average service time are short. Refusing
# one frees little capacity, and often fails a longer request at another target
# that depends on it.
SHORT_REQUEST_FACTOR = 0.6
# A request that will miss its soft deadline is still admitted when its expected
# wait is at most this fraction of its own service time: a slot is nearly free,
# and a late answer is better than none.
MAX_LATE_WAIT_FACTOR = 0.15
# Service times vary: the expected time to finish is multiplied by this before
# it is compared with the soft deadline.
COMPLETION_MARGIN = 1.4
# A request is not started with less than this fraction of its service time
# left until its deadline.
MIN_TIME_FACTOR = 0.6
# Lower bound of the retry-after time that a refused caller gets.
MIN_RETRY_AFTER_S = 0.02
# Rounding may leave a fraction of a token to wait for.
MIN_RATE_DELAY_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        deadline: Clock seconds after which the request cannot use a slot.
        soft_deadline: Soft deadline of the answer in clock seconds; 0 when only
            the deadline counts.
        rank: Priority; 0 is the highest.
        route: Name of the route, by which service times are averaged.
        spill_deadline: Clock seconds after which the request should spill
            over to another target that may have a free slot; 0 when there is
            none.
        tenant: Name of the tenant, or None.
    """

    deadline: float
    soft_deadline: float = 0.0
    rank: int = 0
    route: str = ""
    spill_deadline: float = 0.0
    tenant: bytes | None = None


def likely_late(
    now: float, wait_s: float, service_time_s: float, soft_deadline: float
) -> bool:
    """Returns whether a request would wait and then miss its soft deadline.

    Args:
        now: Clock seconds.
        wait_s: Expected seconds until it gets a slot.
        service_time_s: Expected seconds for which it then holds the slot.
        soft_deadline: Soft deadline in clock seconds.
    """
    if wait_s <= MAX_LATE_WAIT_FACTOR * service_time_s:
        return False
    return now + COMPLETION_MARGIN * (wait_s + service_time_s) > soft_deadline


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits for a slot."""

    granted: Deferred
    request: SlotRequest
    turn: int
    timer: object = None
    is_waiting: bool = True


class Slots:
    """Limits the requests that the target serves concurrently.

    Attributes:
        capacity: Slots that the target has.
        taken: Slots in use.
        queued: Requests that wait for a slot.
        service_time_s: Moving average of the seconds that a request holds its
            slot.
        service_time_by_route: The same, by route.
        rate: Limit on the requests a second that are granted slots.
        rate_timer: Grants slots once the rate allows it, or None.
        turns: Turns of the tenants whose requests wait.
        is_granting: Whether free slots are being granted to queued requests.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.capacity = 1
        self.taken = 0
        self.queued = 0
        self.service_time_s = DEFAULT_SERVICE_TIME_S
        self.service_time_by_route: dict[str, float] = {}
        self.heap: list[tuple[int, bool, int, float, int, _Waiter]] = []
        self.turns = TenantTurns()
        self.sequence = itertools.count()
        self.rate = RateLimit()
        self.rate_timer = None
        self.is_granting = False

    def resize(self, capacity: int) -> None:
        """Sets the number of slots and admits queued requests to new ones."""
        self.capacity = capacity
        self._grant()

    def limit_rate(self, requests_per_s: float) -> None:
        """Sets the requests a second that are granted slots.

        Args:
            requests_per_s: The limit; infinite for none.
        """
        self.rate.set(requests_per_s, self.clock.seconds())
        self._grant()

    def expected_wait(self, rank: int, tenant: bytes | None = None) -> float:
        """Returns the seconds that a request is expected to wait.

        Args:
            rank: Its rank.
            tenant: Its tenant, or None.
        """
        turn = self.turns.next_turn(tenant)
        queued_ahead = sum(
            1
            for e in self.heap
            if e[-1].is_waiting
            and (e[0] < rank or (e[0] == rank and e[2] <= turn))
        )
        rate_wait_s = self.rate.wait_s(self.clock.seconds(), queued_ahead)
        return max(rate_wait_s, self._slot_wait(queued_ahead))

    def _slot_wait(self, queued_ahead: int) -> float:
        excess = max(0, self.taken + queued_ahead + 1 - self.capacity)
        return excess * self.service_time_s / max(1, self.capacity)

    def service_time(self, route: str) -> float:
        """Returns the average service time of a route, in seconds."""
        return self.service_time_by_route.get(route, self.service_time_s)

    def refuse_waiting(self, detail: str) -> None:
        """Refuses all requests that wait for a slot."""
        waiters = [entry[-1] for entry in self.heap if entry[-1].is_waiting]
        self.heap.clear()
        for waiter in waiters:
            self._dequeue(waiter)
        for waiter in waiters:
            waiter.granted.errback(SlotError(detail))

    def retry_after(self) -> float:
        """Returns the seconds after which a slot is expected to be free."""
        rate_wait_s = self.rate.wait_s(self.clock.seconds(), self.queued)
        return max(MIN_RETRY_AFTER_S, rate_wait_s, self._slot_wait(self.queued))

    def acquire(
        self, deadline: float, request: SlotRequest | None = None
    ) -> Deferred:
        """Acquires a slot, or queues for one.

        Args:
            deadline: Clock seconds after which a slot is not needed.
            request: The request for it, or None for one with defaults.

        Returns:
            Deferred that fires when the slot is acquired; fails with
            `SlotError` when the request would not finish in time.
        """
        if request is None:
            request = SlotRequest(deadline=deadline)
        if self.taken < self.capacity and not self.queued:
            if self._lacks_time(request):
                return fail(SlotError("too little time is left"))
            if self.rate.take(self.clock.seconds()):
                self.taken += 1
                return succeed(None)
        refusal = self._rejection_detail(request)
        if refusal:
            return fail(SlotError(refusal))
        return self._queue(request)

    def _lacks_time(self, request: SlotRequest) -> bool:
        service_time_s = self.service_time_by_route.get(request.route, 0.0)
        left_s = request.deadline - self.clock.seconds()
        return left_s < MIN_TIME_FACTOR * service_time_s

    def _rejection_detail(self, request: SlotRequest) -> str:
        now = self.clock.seconds()
        if request.deadline <= now:
            return "no time left"
        if self.queued >= self.capacity * MAX_QUEUE_PER_SLOT:
            if not self._make_room(request):
                return "queue is full"
        wait_s = self.expected_wait(request.rank, request.tenant)
        service_time_s = self.service_time(request.route)
        is_long = wait_s > MAX_SPILL_WAIT_FACTOR * self.service_time_s
        if (
            request.spill_deadline
            and is_long
            and now + wait_s + service_time_s > request.spill_deadline
        ):
            return "another target may have room"
        if now + wait_s + service_time_s > request.deadline:
            return "queue is too long for the time left"
        if (
            not request.soft_deadline
            or service_time_s < SHORT_REQUEST_FACTOR * self.service_time_s
        ):
            return ""
        if likely_late(now, wait_s, service_time_s, request.soft_deadline):
            return "queue is too long to be prompt"
        return ""

    def _make_room(self, request: SlotRequest) -> bool:
        """Refuses a waiting request of a tenant that has more of them.

        Returns:
            Whether there was one of the same rank, two turns later at least.
        """
        turn = self.turns.next_turn(request.tenant)
        later = max(
            (e for e in self.heap if e[-1].is_waiting and e[0] == request.rank),
            key=lambda e: e[2],
            default=None,
        )
        if later is None or later[2] <= turn + 1:
            return False
        waiter = later[-1]
        self._abandon(waiter)
        waiter.granted.errback(SlotError("its tenant has more requests here"))
        return True

    def _queue(self, request: SlotRequest) -> Deferred:
        service_time_s = self.service_time(request.route)
        max_wait_s = (
            request.deadline
            - MIN_TIME_FACTOR * service_time_s
            - self.clock.seconds()
        )
        left_s = max(0.0, min(MAX_QUEUE_WAIT_S, max_wait_s))
        waiter = _Waiter(
            Deferred(lambda _: self._abandon(waiter)),
            request,
            self.turns.take(request.tenant),
        )
        waiter.timer = self.clock.callLater(left_s, self._expire, waiter)
        self._push(waiter, late=False)
        self.queued += 1
        self._await_token()
        return waiter.granted

    def _push(self, waiter: _Waiter, *, late: bool) -> None:
        request = waiter.request
        entry = (
            request.rank,
            late,
            waiter.turn,
            request.soft_deadline,
            next(self.sequence),
            waiter,
        )
        heapq.heappush(self.heap, entry)

    def release(
        self, service_time_s: float | None = None, route: str = ""
    ) -> None:
        """Releases a slot.

        Args:
            service_time_s: Seconds for which it was held, to be averaged;
                None when the request did not complete.
            route: Name of the request's route.
        """
        if service_time_s is not None:
            self.service_time_s += SERVICE_TIME_WEIGHT * (
                service_time_s - self.service_time_s
            )
            average_s = self.service_time_by_route.get(route, service_time_s)
            self.service_time_by_route[route] = (
                average_s + SERVICE_TIME_WEIGHT * (service_time_s - average_s)
            )
        self.taken -= 1
        self._grant()

    def _grant(self) -> None:
        # A request that is refused after its wait releases its slot before
        # `callback` returns. The loop that granted it goes on with that slot.
        if self.is_granting:
            return
        self.is_granting = True
        try:
            self._grant_free_slots()
        finally:
            self.is_granting = False

    def _grant_free_slots(self) -> None:
        while self.heap and self.taken < self.capacity:
            _, late, *_, waiter = heapq.heappop(self.heap)
            if not waiter.is_waiting:
                continue
            if not late and self._will_be_late(waiter.request):
                self._requeue_as_late(waiter)
                continue
            if not self.rate.take(self.clock.seconds()):
                self._push(waiter, late=late)
                break
            self.turns.serve(waiter.turn)
            self._dequeue(waiter)
            self.taken += 1
            waiter.granted.callback(None)

        self._await_token()

    def _await_token(self) -> None:
        """Grants slots again once the rate allows it, if requests wait."""
        if not self.queued or self.rate_timer is not None:
            return
        wait_s = self.rate.wait_s(self.clock.seconds())
        if wait_s > 0 and self.taken < self.capacity:
            delay_s = max(MIN_RATE_DELAY_S, wait_s)
            self.rate_timer = self.clock.callLater(delay_s, self._rate_allows)

    def _rate_allows(self) -> None:
        self.rate_timer = None
        self._grant()

    def _will_be_late(self, request: SlotRequest) -> bool:
        if not request.soft_deadline:
            return False
        service_time_s = self.service_time(request.route)
        if service_time_s < SHORT_REQUEST_FACTOR * self.service_time_s:
            return False
        return self.clock.seconds() + service_time_s > request.soft_deadline

    def _requeue_as_late(self, waiter: _Waiter) -> None:
        # Ordered only by soft deadline, requests that will miss theirs would
        # delay those behind them until these miss theirs as well.
        if self.queued > MAX_LATE_QUEUE_PER_SLOT * self.capacity:
            self._abandon(waiter)
            waiter.granted.errback(SlotError("too late to be prompt"))
            return
        self._push(waiter, late=True)

    def _dequeue(self, waiter: _Waiter) -> None:
        waiter.is_waiting = False
        self.queued -= 1
        if waiter.timer.active():
            waiter.timer.cancel()
        if not self.queued:
            self.turns.clear()

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter.is_waiting:
            self.turns.give_up(waiter.request.tenant, waiter.turn)
            self._dequeue(waiter)

    def _expire(self, waiter: _Waiter) -> None:
        self._abandon(waiter)
        waiter.granted.errback(SlotError("no slot in time"))
