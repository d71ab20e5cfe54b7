"""Reads a version that a neighbour tells of, if the store has not sent it."""

from collections.abc import Callable, Coroutine

from fulmarrudder.clock import Clock
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.tail import Tail

# Time in which the read that waits usually brings a version that a neighbour
# has.
REFRESH_DELAY_S = 0.3
# Time before another read, after one that failed or that a newer version has
# overtaken.
RETRY_DELAY_S = 0.4


class Refresher:
    """Reads once more when this node is behind its neighbours.

    A read that begins while a record is appended may not be woken by it. While
    the store does not answer at all, neighbours are asked for the version
    instead.

    Attributes:
        tail: Reads the operator's topic.
        active_version: Returns the active version.
        run: Runs a coroutine as a task of the node.
        told_version: Newest version that a neighbour told of.
        timer: Calls `_refresh_if_behind`, or None.
        refreshing: Whether a read is under way.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tail: Tail,
        active_version: Callable[[], int],
        run: Callable[[Coroutine], None],
    ):
        self.clock = clock
        self.tail = tail
        self.active_version = active_version
        self.run = run
        self.told_version = 0
        self.timer = None
        self.refreshing = False

    def version_told(self, version: int) -> None:
        """Handles a version that a neighbour has."""
        if version <= self.told_version:
            return
        self.told_version = version
        self._schedule(REFRESH_DELAY_S)

    def _schedule(self, delay_s: float) -> None:
        if self.timer is None and not self.refreshing:
            self.timer = self.clock.callLater(delay_s, self._refresh_if_behind)

    def _refresh_if_behind(self) -> None:
        self.timer = None
        if not self.tail.available or self._is_current():
            return
        if self.tail.receiving:
            self._schedule(REFRESH_DELAY_S)
            return
        self.run(self._refresh())

    async def _refresh(self) -> None:
        wanted = self.told_version
        self.refreshing = True
        try:
            await self.tail.refresh()
        except StoreError as error:
            logs.warning("refresh-failed", version=wanted, detail=error)
            wanted = 0
        finally:
            self.refreshing = False
        # A version that was read and is still not active was refused.
        if wanted < self.told_version and not self._is_current():
            self._schedule(RETRY_DELAY_S)

    def _is_current(self) -> bool:
        return self.active_version() >= self.told_version
