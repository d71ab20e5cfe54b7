"""Time as the rest of the code sees it.

Deadlines are monotonic seconds on the clock of the process that stores them.
Only wall-clock deadlines that an operator states cross between processes.
"""

import time
from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Cancels the call."""

    def active(self) -> bool:
        """Tells whether the call is still due."""


class Clock(Protocol):
    """What a Twisted reactor and `twisted.internet.task.Clock` share."""

    def seconds(self) -> float:
        """Returns monotonic time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, call: Callable, *args, **kw
    ) -> Timer:
        """Calls later, after a delay in seconds."""


def wall_seconds() -> float:
    """Returns seconds since the epoch."""
    return time.time()
