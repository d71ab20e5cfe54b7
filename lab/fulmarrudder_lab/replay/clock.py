"""Simulated clock that jumps from one scheduled call to the next."""

import heapq
import itertools

from twisted.internet.base import DelayedCall


class ReplayClock:
    """Runs scheduled calls in order of time, without waiting.

    Attributes:
        now: Seconds since the replay began.
    """

    def __init__(self):
        self.now = 0.0
        self.pending: list[tuple[float, int, DelayedCall]] = []
        self.sequence = itertools.count()

    def seconds(self) -> float:
        """Returns the time."""
        return self.now

    def callLater(self, delay: float, call, *args, **kw):  # noqa: N802
        """Schedules a call; see `fulmarrudder.clock.Clock`."""
        timer = DelayedCall(
            self.now + delay,
            call,
            args,
            kw,
            lambda _: None,
            self._schedule,
            self.seconds,
        )
        self._schedule(timer)
        return timer

    def _schedule(self, timer: DelayedCall) -> None:
        heapq.heappush(
            self.pending, (timer.getTime(), next(self.sequence), timer)
        )

    def run_until(self, until: float) -> None:
        """Runs all calls scheduled up to a given time."""
        while self.pending and self.pending[0][0] <= until:
            time, _, timer = heapq.heappop(self.pending)
            if timer.called or timer.cancelled or timer.getTime() > time:
                continue
            self.now = max(self.now, time)
            timer.called = 1
            timer.func(*timer.args, **timer.kw)
        self.now = until
