"""Keeps the idle links of a node alive, and closes the dead ones."""

from collections.abc import Callable

from fulmarrudder.clock import Clock

PING_INTERVAL_S = 2.0


class Keepalive:
    """Checks all open links of a node in one wake-up.

    Attributes:
        check: Called with each open link once every `PING_INTERVAL_S`.
        links: The open links.
        timer: The next round, or None while no link is open.
    """

    __slots__ = ("check", "clock", "links", "timer")

    def __init__(self, clock: Clock, check: Callable):
        self.clock = clock
        self.check = check
        self.links = set()
        self.timer = None

    def add(self, link) -> None:
        """Checks a link from now on."""
        self.links.add(link)
        if self.timer is None:
            self._schedule()

    def discard(self, link) -> None:
        """Checks a link no more."""
        self.links.discard(link)
        if self.timer is not None and not self.links:
            self.timer.cancel()
            self.timer = None

    def _schedule(self) -> None:
        self.timer = self.clock.callLater(PING_INTERVAL_S, self._run_round)

    def _run_round(self) -> None:
        self._schedule()
        for link in tuple(self.links):
            self.check(link)
