"""Reads what a neighbour tells of, if it has not arrived otherwise."""

from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.platform.tail import Tail

# Time in which a version that a neighbour has usually arrives: from the read that
# waits, or as a change.
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
        told_end: Highest end of the topic that a neighbour told of.
        timer: Calls `_refresh_if_behind`, or None.
    """

    def __init__(
        self, *, clock: Clock, tail: Tail, active_version: Callable[[], int]
    ):
        self.clock = clock
        self.tail = tail
        self.active_version = active_version
        self.told_version = 0
        self.told_end = 0
        self.timer = None

    def version_told(self, version: int) -> None:
        """Handles a version that a neighbour has."""
        if version <= self.told_version:
            return
        self.told_version = version
        self._schedule()

    def end_told(self, end: int) -> None:
        """Handles an end of the topic that a neighbour has read up to."""
        if end <= self.told_end:
            return
        self.told_end = end
        self._schedule()

    def _schedule(self) -> None:
        if self.timer is None:
            self.timer = self.clock.callLater(
                REFRESH_DELAY_S, self._refresh_if_behind
            )

    def _refresh_if_behind(self) -> None:
        self.timer = None
        if (
            self.active_version() < self.told_version
            or self.tail.next_offset < self.told_end
        ):
            self.tail.refresh()
