"""Slots of the target beside this node, with a queue by rank and deadline.

A request is admitted only if it is likely to be done in time; who is turned
away learns it at once, and when to come back. Among requests of a rank, the one
whose answer is due first comes first.
"""

import dataclasses
import heapq
import itertools

from twisted.internet.defer import Deferred, fail, succeed

from fulmarrudder.call.errors import SlotError
from fulmarrudder.clock import Clock

QUEUE_PER_SLOT = 4
QUEUE_LIMIT_S = 2.0
# Weight of the latest request in the moving average of the time that one
# holds its slot.
HELD_WEIGHT = 0.1
FIRST_HELD_S = 0.05
# Part of a slot's usual time that a request may be expected to wait when it
# could go elsewhere: less than the cost of asking another node.
ELSEWHERE_WAIT = 0.25
# Requests queued for each slot beyond which one that will be late is turned away
# rather than put behind those that can be prompt.
LATE_QUEUE = 0.25
# Part of the average time below which a request is short. Turning it away frees
# little, and often fails a longer one that waits for it elsewhere.
SHORT_PART = 0.6
# Part of its own time that a request may be expected to wait although it will
# be late: short of that there is room for it, and a late answer beats none.
LATE_WAIT = 0.15
# Times vary; an answer is likely to be prompt only with this much to spare.
MARGIN = 1.4
# Part of its usual time below which a request is not begun.
LEAST_TIME = 0.6
# A caller that is turned away comes back no sooner than this.
MIN_RETRY_AFTER_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequest:
    """A request's need of a slot.

    Attributes:
        deadline: Clock seconds after which a slot is of no use.
        prompt: Clock seconds until which the answer is worth most; 0 when
            only the deadline counts.
        rank: Urgency; 0 is the most urgent.
        kind: What sort of request it is; those of a sort take as long.
        comfort: Clock seconds until which the answer should come for the
            request to stay here although another target may have room; 0
            when there is no other.
    """

    deadline: float
    prompt: float = 0.0
    rank: int = 0
    kind: str = ""
    comfort: float = 0.0


def likely_late(now: float, wait: float, held: float, prompt: float) -> bool:
    """Tells whether a request would wait only to be late; pure.

    Args:
        now: Clock seconds.
        wait: Seconds that it is likely to wait for a slot.
        held: Seconds for which it then holds the slot.
        prompt: Clock seconds until which the answer is worth most.
    """
    if wait <= LATE_WAIT * held:
        return False
    return now + MARGIN * (wait + held) > prompt


@dataclasses.dataclass(slots=True)
class _Waiter:
    granted: Deferred
    ask: SlotRequest
    timer: object = None
    due: bool = True


class Slots:
    """Bounds the requests that the target serves at once.

    Attributes:
        capacity: Slots that the target has.
        taken: Slots in use.
        queued: Requests that wait for a slot.
        held_s: Moving average of the time that a request holds its slot.
        held_by: The same, by kind of request.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.capacity = 1
        self.taken = 0
        self.queued = 0
        self.held_s = FIRST_HELD_S
        self.held_by: dict[str, float] = {}
        self.heap: list[tuple[int, bool, float, int, _Waiter]] = []
        self.order = itertools.count()

    def resize(self, capacity: int) -> None:
        """Sets how many slots there are."""
        self.capacity = capacity
        self._grant()

    def expected_wait(self, rank: int) -> float:
        """Returns the seconds that a request of a rank is likely to wait."""
        ahead = sum(1 for e in self.heap if e[-1].due and e[0] <= rank)
        short = self.taken + ahead + 1 - self.capacity
        if short <= 0:
            return 0.0
        return short * self.held_s / max(1, self.capacity)

    def service_time(self, kind: str) -> float:
        """Returns the seconds for which a kind of request holds its slot."""
        return self.held_by.get(kind, self.held_s)

    def retry_after(self) -> float:
        """Returns after how many seconds there is likely to be room."""
        short = self.taken + self.queued + 1 - self.capacity
        wait = max(0, short) * self.held_s / max(1, self.capacity)
        return max(MIN_RETRY_AFTER_S, wait)

    def acquire(
        self, deadline: float, ask: SlotRequest | None = None
    ) -> Deferred:
        """Takes a slot, or queues for one.

        Args:
            deadline: Clock seconds after which a slot is of no use.
            ask: What else is known of the need.

        Returns:
            Deferred that fires when the slot is taken; fails with
            `SlotError` when the request would not be done in time.
        """
        if ask is None:
            ask = SlotRequest(deadline=deadline)
        if self.taken < self.capacity and not self.queued:
            if self._hopeless(ask):
                return fail(SlotError("too little time is left"))
            self.taken += 1
            return succeed(None)
        refusal = self._turned_away(ask)
        if refusal:
            return fail(SlotError(refusal))
        return self._queue(ask)

    def _hopeless(self, ask: SlotRequest) -> bool:
        service_time = self.held_by.get(ask.kind, 0.0)
        left = ask.deadline - self.clock.seconds()
        return left < LEAST_TIME * service_time

    def _turned_away(self, ask: SlotRequest) -> str:
        now = self.clock.seconds()
        if ask.deadline <= now:
            return "no time left"
        if self.queued >= self.capacity * QUEUE_PER_SLOT:
            return "queue is full"
        wait = self.expected_wait(ask.rank)
        held = self.service_time(ask.kind)
        crowded = wait > ELSEWHERE_WAIT * self.held_s
        if ask.comfort and crowded and now + wait + held > ask.comfort:
            return "another target may have room"
        if now + wait + held > ask.deadline:
            return "queue is too long for the time left"
        if not ask.prompt or held < SHORT_PART * self.held_s:
            return ""
        if likely_late(now, wait, held, ask.prompt):
            return "queue is too long to be prompt"
        return ""

    def _queue(self, ask: SlotRequest) -> Deferred:
        held = self.service_time(ask.kind)
        useful = ask.deadline - LEAST_TIME * held - self.clock.seconds()
        left = max(0.0, min(QUEUE_LIMIT_S, useful))
        waiter = _Waiter(Deferred(lambda _: self._abandon(waiter)), ask)
        waiter.timer = self.clock.callLater(left, self._expire, waiter)
        self._push(waiter, late=False)
        self.queued += 1
        return waiter.granted

    def _push(self, waiter: _Waiter, *, late: bool) -> None:
        ask = waiter.ask
        entry = (ask.rank, late, ask.prompt, next(self.order), waiter)
        heapq.heappush(self.heap, entry)

    def release(self, held_s: float | None = None, kind: str = "") -> None:
        """Gives a slot back.

        Args:
            held_s: How long it was held, when that says something about the
                target's pace.
            kind: What sort of request held it.
        """
        if held_s is not None:
            self.held_s += HELD_WEIGHT * (held_s - self.held_s)
            known = self.held_by.get(kind, held_s)
            self.held_by[kind] = known + HELD_WEIGHT * (held_s - known)
        self.taken -= 1
        self._grant()

    def _grant(self) -> None:
        while self.heap and self.taken < self.capacity:
            _, late, _, _, waiter = heapq.heappop(self.heap)
            if not waiter.due:
                continue
            if not late and self._overdue(waiter.ask):
                self._put_behind(waiter)
                continue
            self._leave(waiter)
            self.taken += 1
            waiter.granted.callback(None)

    def _overdue(self, ask: SlotRequest) -> bool:
        if not ask.prompt:
            return False
        held = self.service_time(ask.kind)
        if held < SHORT_PART * self.held_s:
            return False
        return self.clock.seconds() + held > ask.prompt

    def _put_behind(self, waiter: _Waiter) -> None:
        # Served in the order in which they are due, requests that will be
        # late make those behind them late as well, until everyone is.
        if self.queued > LATE_QUEUE * self.capacity:
            self._leave(waiter)
            waiter.granted.errback(SlotError("too late to be prompt"))
            return
        self._push(waiter, late=True)

    def _leave(self, waiter: _Waiter) -> None:
        waiter.due = False
        self.queued -= 1
        if waiter.timer.active():
            waiter.timer.cancel()

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter.due:
            self._leave(waiter)

    def _expire(self, waiter: _Waiter) -> None:
        self._leave(waiter)
        waiter.granted.errback(SlotError("no slot in time"))
