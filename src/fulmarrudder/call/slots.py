"""Admission to the local target: slots and a priority queue.

A request is admitted only if it is likely to finish in time. Otherwise it is
refused at once, with a time after which to retry. Within a rank, workspaces take
turns, and requests of the same turn are ordered by soft deadline.
"""

import dataclasses
import heapq
import itertools
import math
from collections.abc import Callable

from twisted.internet.defer import Deferred, fail, succeed

from fulmarrudder.call.errors import SlotError
from fulmarrudder.call.fairness import WorkspaceTurns
from fulmarrudder.call.rate import RateLimit
from fulmarrudder.clock import Clock
from fulmarrudder.placement import (
    CostClass,
    ReturnLine,
    Run,
    Workload,
    class_of,
)

MAX_QUEUE_PER_SLOT = 4
MAX_QUEUE_WAIT_S = 2.0
# Weight of the latest request in the moving average of service times.
SERVICE_TIME_WEIGHT = 0.1
DEFAULT_SERVICE_TIME_S = 0.05
# A request that would miss its spill deadline is refused only when its expected
# wait exceeds this fraction of the average service time: below that, waiting
# costs less than forwarding to another node.
MAX_SPILL_WAIT_FACTOR = 0.25
# Entries of requests that have left are removed once the heap has this many times
# the entries that it needs.
MAX_HEAP_FACTOR = 4
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
# A queued request of the same rank gives way in a full queue to one that costs
# less than it by this factor: more of those are served in the same time.
COSTLIER_FACTOR = 2.0
# A queued request counts as hopeless when its expected wait exceeds the time for
# which it may wait by this factor: the estimate is of averages.
HOPELESS_FACTOR = 1.5
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
        body_bytes: Size of its body; 0 when it is unknown.
        workspace: Name of the workspace, or None.
    """

    deadline: float
    soft_deadline: float = 0.0
    rank: int = 0
    route: str = ""
    spill_deadline: float = 0.0
    body_bytes: int = 0
    workspace: bytes | None = None

    @property
    def cost_class(self) -> CostClass:
        """Class of the requests that cost about as much."""
        return class_of(self.route, self.body_bytes)


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


def _place_of(
    request: SlotRequest, turn: int, *, late: bool
) -> tuple[int, bool, int, float]:
    """Returns the order of a request in the queue."""
    return (request.rank, late, turn, request.soft_deadline)


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits for a slot."""

    granted: Deferred
    request: SlotRequest
    turn: int
    timer: object = None
    is_waiting: bool = True


def _ignore() -> None:
    """Does nothing."""


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
        turns: Turns of the workspaces whose requests wait.
        is_granting: Whether free slots are being granted to queued requests.
        work: What the requests that run are expected to take.
        uses_work: Whether waits are estimated from `work` rather than from
            averages; set once the target tells how slow it is.
        full_at: Clock seconds at which all slots were last in use.
        on_vacancy: Called when a slot is released for which nothing waits.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.capacity = 1
        self.taken = 0
        self.queued = 0
        self.service_time_s = DEFAULT_SERVICE_TIME_S
        self.service_time_by_route: dict[str, float] = {}
        self.heap: list[tuple[int, bool, int, float, int, _Waiter]] = []
        self.sequence = itertools.count()
        self.turns = WorkspaceTurns()
        self.rate = RateLimit()
        self.rate_timer = None
        self.is_granting = False
        self.work = Workload()
        self.uses_work = False
        self.full_at = -math.inf
        self.returns = ReturnLine()
        self.on_vacancy: Callable[[], None] = _ignore

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

    def target_told(self, slowness: float) -> None:
        """Records how slow the target says it is; 1 is as usual."""
        self.uses_work = True
        self.work.speed.tell(slowness, self.clock.seconds())

    def expected_wait(self, rank: int, workspace: bytes | None = None) -> float:
        """Returns the seconds that a request is expected to wait.

        Args:
            rank: Its rank.
            workspace: Its workspace, or None.
        """
        turn = self.turns.next_turn(workspace)
        ahead = [
            e[-1]
            for e in self._waiting()
            if e[0] < rank or (e[0] == rank and e[2] <= turn)
        ]
        return self._wait_behind(ahead)

    def _waiting(self) -> list[tuple]:
        """Returns the entries of the heap whose requests wait."""
        return [entry for entry in self.heap if entry[-1].is_waiting]

    def _wait_behind(self, ahead: list["_Waiter"]) -> float:
        rate_wait_s = self.rate.wait_s(self.clock.seconds(), len(ahead))
        return max(rate_wait_s, self._slot_wait(ahead))

    def _slot_wait(self, ahead: list["_Waiter"]) -> float:
        if self.uses_work:
            classes = [waiter.request.cost_class for waiter in ahead]
            now = self.clock.seconds()
            return self.work.wait_s(now, self.capacity, classes)
        excess = max(0, self.taken + len(ahead) + 1 - self.capacity)
        return excess * self.service_time_s / max(1, self.capacity)

    def service_time(self, route: str, body_bytes: int = 0) -> float:
        """Returns the expected service time of a request, in seconds.

        Args:
            route: Its route.
            body_bytes: Size of its body; 0 when it is unknown.
        """
        if self.uses_work:
            return self.work.service_s(
                class_of(route, body_bytes), self.clock.seconds()
            )
        return self.service_time_by_route.get(route, self.service_time_s)

    @property
    def average_service_time_s(self) -> float:
        """Expected service time over all routes, in seconds."""
        if self.uses_work and self.work.costs.overall.mean_s:
            slowness = self.work.speed.now(self.clock.seconds())
            return self.work.costs.overall.mean_s * slowness
        return self.service_time_s

    def work_left_s(self) -> float:
        """Returns the seconds of work of all requests that run or wait."""
        waiting = [entry[-1].request.cost_class for entry in self._waiting()]
        return self.work.total_s(self.clock.seconds(), waiting)

    def retry_after(self, latest: float = math.inf) -> float:
        """Returns the seconds after which a refused caller is to return.

        Args:
            latest: Clock seconds after which a return is of little use.
        """
        now = self.clock.seconds()
        waiting = [entry[-1] for entry in self._waiting()]
        wait_s = max(MIN_RETRY_AFTER_S, self._wait_behind(waiting))
        if not self.uses_work:
            return wait_s
        pace_s = self.average_service_time_s / max(1, self.capacity)
        after_s = self.returns.next_s(now, wait_s, pace_s, latest)
        return max(MIN_RETRY_AFTER_S, after_s)

    def acquire(
        self, deadline: float, request: SlotRequest | None = None
    ) -> Deferred:
        """Acquires a slot, or queues for one.

        Args:
            deadline: Clock seconds after which a slot is not needed.
            request: The request for it, or None for one with defaults.

        Returns:
            Deferred that fires with the run when the slot is acquired; fails
            with `SlotError` when the request would not finish in time.
        """
        if request is None:
            request = SlotRequest(deadline=deadline)
        if self.taken < self.capacity and not self.queued:
            if self._lacks_time(request):
                return fail(SlotError("too little time is left"))
            if self.rate.take(self.clock.seconds()):
                return succeed(self._take(request))
        giving_way = self._giving_way_to(request) if self._is_full else None
        refusal = self._rejection_detail(request, giving_way)
        if refusal:
            return fail(SlotError(refusal))
        if giving_way is not None:
            self._refuse(*giving_way)
        return self._queue(request)

    @property
    def _is_full(self) -> bool:
        return self.queued >= self.capacity * MAX_QUEUE_PER_SLOT

    def _take(self, request: SlotRequest) -> Run:
        self.taken += 1
        now = self.clock.seconds()
        if self.taken >= self.capacity:
            self.full_at = now
        return self.work.start(request.cost_class, now)

    def _lacks_time(self, request: SlotRequest) -> bool:
        service_time_s = self.service_time_by_route.get(request.route, 0.0)
        if self.uses_work and service_time_s:
            service_time_s = self._service_time_of(request)
        left_s = request.deadline - self.clock.seconds()
        return left_s < MIN_TIME_FACTOR * service_time_s

    def _service_time_of(self, request: SlotRequest) -> float:
        return self.service_time(request.route, request.body_bytes)

    def _rejection_detail(
        self,
        request: SlotRequest,
        giving_way: "tuple[_Waiter, str] | None",
    ) -> str:
        now = self.clock.seconds()
        if request.deadline <= now:
            return "no time left"
        if self._is_full and giving_way is None:
            return "queue is full"
        wait_s = self.expected_wait(request.rank, request.workspace)
        service_time_s = self._service_time_of(request)
        average_s = self.average_service_time_s
        is_long = wait_s > MAX_SPILL_WAIT_FACTOR * average_s
        if (
            request.spill_deadline
            and is_long
            and now + wait_s + service_time_s > request.spill_deadline
        ):
            return "another target may have room"
        least_wait_s = self._least_wait_of(request, wait_s)
        if now + least_wait_s + service_time_s > request.deadline:
            return "queue is too long for the time left"
        if (
            not request.soft_deadline
            or service_time_s < SHORT_REQUEST_FACTOR * average_s
        ):
            return ""
        if likely_late(now, wait_s, service_time_s, request.soft_deadline):
            return "queue is too long to be prompt"
        return ""

    def _giving_way_to(
        self, request: SlotRequest
    ) -> "tuple[_Waiter, str] | None":
        """Returns who gives way to a request in a full queue, and why."""
        waiter = self._less_urgent_than(request)
        if waiter is not None:
            return waiter, "a more urgent request came"
        waiter = self._later_than(request)
        if waiter is not None:
            return waiter, "its workspace has more requests here"
        return None

    def _later_than(self, request: SlotRequest) -> "_Waiter | None":
        """Returns a waiting request of a workspace that has more of them, or None.

        It is of the same rank, and two turns later at least.
        """
        turn = self.turns.next_turn(request.workspace)
        later = max(
            (e for e in self._waiting() if e[0] == request.rank),
            key=lambda e: e[2],
            default=None,
        )
        if later is None or later[2] <= turn + 1:
            return None
        return later[-1]

    def _least_wait_of(self, request: SlotRequest, wait_s: float) -> float:
        """Returns the seconds that a request waits if no other overtakes it.

        Args:
            request: The request.
            wait_s: Seconds if all others of its rank go first.
        """
        if not self.uses_work:
            return wait_s
        turn = self.turns.next_turn(request.workspace)
        place = _place_of(request, turn, late=False)
        return self._wait_behind(
            [e[-1] for e in self._waiting() if e[:4] <= place]
        )

    def _less_urgent_than(self, request: SlotRequest) -> "_Waiter | None":
        """Returns the queued request that gives way in a full queue, or None.

        It is one of the least urgent rank; of these, one that will be late, and
        then the one that costs most. None of another workspace gives way whose
        turn comes first.
        """
        if not self.uses_work:
            return None
        own_turn = self.turns.next_turn(request.workspace)
        cost_s = self._service_time_of(request)
        latest, latest_key = None, (request.rank, False, cost_s)
        for rank, late, turn, *_, waiter in self._waiting():
            waiter_cost_s = self._service_time_of(waiter.request)
            if rank == request.rank and not late:
                if (
                    turn < own_turn
                    and waiter.request.workspace != request.workspace
                ):
                    continue
                waiter_cost_s /= COSTLIER_FACTOR
            key = (rank, late, waiter_cost_s)
            if key > latest_key:
                latest, latest_key = waiter, key
        return latest

    def _refuse_hopeless(self) -> None:
        """Refuses queued requests for which no slot is expected in time."""
        now = self.clock.seconds()
        first_s = self.work.wait_s(now, self.capacity, ())
        ahead_s = 0.0
        for entry in sorted(self._waiting()):
            waiter = entry[-1]
            if not waiter.is_waiting:
                continue
            left_s = waiter.timer.getTime() - now
            if first_s + ahead_s > HOPELESS_FACTOR * left_s:
                self._refuse(waiter, "no slot is expected in time")
                continue
            service_time_s = self._service_time_of(waiter.request)
            ahead_s += service_time_s / max(1, self.capacity)

    def refuse_waiting(self, detail: str) -> None:
        """Refuses all requests that wait for a slot."""
        waiters = [entry[-1] for entry in self._waiting()]
        self.heap.clear()
        for waiter in waiters:
            # The end of one request may have cancelled others.
            if waiter.is_waiting:
                self._refuse(waiter, detail)

    def _refuse(self, waiter: "_Waiter", detail: str) -> None:
        self._abandon(waiter)
        waiter.granted.errback(SlotError(detail))

    def _queue(self, request: SlotRequest) -> Deferred:
        service_time_s = self._service_time_of(request)
        max_wait_s = (
            request.deadline
            - MIN_TIME_FACTOR * service_time_s
            - self.clock.seconds()
        )
        left_s = max(0.0, min(MAX_QUEUE_WAIT_S, max_wait_s))
        waiter = _Waiter(
            granted=Deferred(lambda _: self._abandon(waiter)),
            request=request,
            turn=self.turns.take(request.workspace),
        )
        waiter.timer = self.clock.callLater(left_s, self._expire, waiter)
        self._push(waiter, late=False)
        self.queued += 1
        if self.uses_work:
            self.full_at = self.clock.seconds()
            self._refuse_hopeless()
        self._await_token()
        return waiter.granted

    def _push(self, waiter: _Waiter, *, late: bool) -> None:
        if len(self.heap) > MAX_HEAP_FACTOR * (self.queued + self.capacity):
            self.heap = self._waiting()
            heapq.heapify(self.heap)
        place = _place_of(waiter.request, waiter.turn, late=late)
        heapq.heappush(self.heap, (*place, next(self.sequence), waiter))

    def release(
        self,
        service_time_s: float | None = None,
        route: str = "",
        run: Run | None = None,
    ) -> None:
        """Releases a slot.

        Args:
            service_time_s: Seconds for which it was held, to be averaged;
                None when the request did not complete.
            route: Name of the request's route.
            run: What `acquire` fired with.
        """
        if run is not None:
            # Costs are learned once they are used.
            took_s = service_time_s if self.uses_work else None
            self.work.end(run, self.clock.seconds(), took_s)
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
        if self.taken < self.capacity and not self.queued:
            self.on_vacancy()

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
            waiter.granted.callback(self._take(waiter.request))

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
        service_time_s = self._service_time_of(request)
        if service_time_s < SHORT_REQUEST_FACTOR * self.average_service_time_s:
            return False
        return self.clock.seconds() + service_time_s > request.soft_deadline

    def _requeue_as_late(self, waiter: _Waiter) -> None:
        # Ordered only by soft deadline, requests that will miss theirs would
        # delay those behind them until these miss theirs as well.
        if self.queued > MAX_LATE_QUEUE_PER_SLOT * self.capacity:
            self._refuse(waiter, "too late to be prompt")
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
            self.turns.give_up(waiter.request.workspace, waiter.turn)
            self._dequeue(waiter)

    def _expire(self, waiter: _Waiter) -> None:
        self._refuse(waiter, "no slot in time")
