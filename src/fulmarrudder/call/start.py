"""Filter: holds requests for a moment while a node starts.

A node accepts connections before it has read its configuration and heard of targets,
which takes it a fraction of a second. A request that is refused meanwhile costs its
caller one of few tries.
"""

import math
from collections.abc import Callable

from twisted.internet.defer import Deferred, TimeoutError

from fulmarrudder.clock import Clock

# Time after the start of a node during which requests are held.
START_S = 2.0
# Longest time for which one request is held.
HOLD_LIMIT_S = 0.5


class StartGate:
    """Holds requests until the node knows what it needs to serve them.

    Attributes:
        until: Clock seconds from which no request is held; infinite if they
            are held at any time.
        waiting: What the requests that are held wait for, in their order.
    """

    def __init__(self, clock: Clock, until: float = -math.inf):
        self.clock = clock
        self.until = until
        self.waiting: dict[Deferred, None] = {}

    async def hold(self, is_ready: Callable[[], bool]) -> None:
        """Waits until the node is ready, or has to refuse the request.

        Args:
            is_ready: Returns whether the node knows what the request needs.
        """
        now = self.clock.seconds()
        deadline = min(self.until, now + HOLD_LIMIT_S)
        while now < deadline and not is_ready():
            news = Deferred()
            self.waiting[news] = None
            try:
                await news.addTimeout(deadline - now, self.clock)
            except TimeoutError:
                return
            finally:
                self.waiting.pop(news, None)
            now = self.clock.seconds()

    def notify(self) -> None:
        """Handles that the node has learned something."""
        waiting, self.waiting = self.waiting, {}
        for news in waiting:
            news.callback(None)
