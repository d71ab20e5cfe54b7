"""Reads a version that a neighbour tells of, if the store has not sent it."""

from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.platform.tail import Tail

# Time in which the read that waits usually brings a version that a neighbour
# has.
REFRESH_DELAY_S = 0.3


class Refresher:
    """Lets a node that is behind its neighbours begin its read afresh.

    A read that begins while a record is appended may not be woken by it; one
    that begins later is answered at once. While the store does not answer at
    all, neighbours are asked for the version instead.

    Attributes:
        tail: Reads the operator's topic.
        active_version: Returns the active version.
        told_version: Newest version that a neighbour told of.
        timer: Calls `_refresh_if_behind`, or None.
    """

    def __init__(
        self, *, clock: Clock, tail: Tail, active_version: Callable[[], int]
    ):
        self.clock = clock
        self.tail = tail
        self.active_version = active_version
        self.told_version = 0
        self.timer = None

    def version_told(self, version: int) -> None:
        """Handles a version that a neighbour has."""
        if version <= self.told_version:
            return
        self.told_version = version
        if self.timer is None:
            self.timer = self.clock.callLater(
                REFRESH_DELAY_S, self._refresh_if_behind
            )

    def _refresh_if_behind(self) -> None:
        self.timer = None
        if self.active_version() < self.told_version:
            self.tail.refresh()
