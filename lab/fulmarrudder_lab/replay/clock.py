"""Time of a replay, which jumps from one due call to the next."""

import heapq
import itertools

from twisted.internet.base import DelayedCall


class ReplayClock:
    """Calls what is due, in order, without waiting.

    Attributes:
        now: Seconds since the replay began.
    """

    def __init__(self):
        self.now = 0.0
        self.due: list[tuple[float, int, DelayedCall]] = []
        self.numbers = itertools.count()

    def seconds(self) -> float:
        """Returns the time."""
        return self.now

    def callLater(self, delay: float, call, *args, **kw):  # noqa: N802
        """Calls later; see `fulmarrudder.clock.Clock`."""
        timer = DelayedCall(
            self.now + delay,
            call,
            args,
            kw,
            lambda _: None,
            self._moved,
            self.seconds,
        )
        self._moved(timer)
        return timer

    def _moved(self, timer: DelayedCall) -> None:
        heapq.heappush(self.due, (timer.getTime(), next(self.numbers), timer))

    def run_until(self, moment: float) -> None:
        """Runs everything due up to a moment."""
        while self.due and self.due[0][0] <= moment:
            time, _, timer = heapq.heappop(self.due)
            if timer.called or timer.cancelled or timer.getTime() > time:
                continue
            self.now = max(self.now, time)
            timer.called = 1
            timer.func(*timer.args, **timer.kw)
        self.now = moment
