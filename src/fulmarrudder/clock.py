"""Clocks and timers.

Deadlines are monotonic seconds on the clock of the process that stores them.
The only deadlines sent between processes are wall-clock ones set by operators.
"""

import time
from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancels the call."""

    def active(self) -> bool:
        """Returns whether the call is still scheduled."""


class Clock(Protocol):
    """Interface of a Twisted reactor and `twisted.internet.task.Clock`."""

    def seconds(self) -> float:
        """Returns monotonic time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, call: Callable, *args, **kw
    ) -> Timer:
        """Schedules a call after a delay in seconds."""


def use_monotonic_time(reactor) -> None:
    """Makes the reactor's clock independent of steps of the wall clock.

    Twisted reads the wall clock: a step back delays every timer and lengthens
    every lease by the size of the step.

    Args:
        reactor: Twisted's reactor, before its first timer.
    """
    reactor.seconds = time.monotonic


def wall_seconds() -> float:
    """Returns seconds since the epoch."""
    return time.time()
