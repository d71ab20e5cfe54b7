"""Filter: notices callers that leave while nobody reads their connection.

A connection whose body has to wait is not read, so that a close behind bytes that
have arrived would be noticed only once the body is passed on. Such a connection is
read on a little at a time, up to a limit.
"""

from fulmarrudder.call.body import RequestBody
from fulmarrudder.clock import Clock

# Pause between two reads of a connection whose body waits.
PERIOD_S = 0.1
# Bytes that are read of one body, and of all bodies of the node, while they wait.
MAX_BODY_BYTES = 1_048_576
MAX_TOTAL_BYTES = 8 * 1_048_576


class LeavingWatch:
    """Reads on the connections whose bodies wait.

    Attributes:
        paused: Bodies whose connections are not read, in the order in which
            they began to wait.
        timer: Timer of the next reads, or None while no body waits.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.paused: dict[RequestBody, None] = {}
        self.timer = None

    def add(self, body: RequestBody) -> None:
        """Watches a body that waits."""
        self.paused[body] = None
        if self.timer is None:
            self.timer = self.clock.callLater(PERIOD_S, self._read_on)

    def discard(self, body: RequestBody) -> None:
        """Ends the watch of a body; does nothing if there is none."""
        self.paused.pop(body, None)

    def _read_on(self) -> None:
        self.timer = None
        ahead_bytes = sum(body.ahead_bytes for body in self.paused)
        for body in tuple(self.paused):
            if ahead_bytes >= MAX_TOTAL_BYTES:
                break
            if body.ahead_bytes < MAX_BODY_BYTES:
                body.read_on()
        if self.paused:
            self.timer = self.clock.callLater(PERIOD_S, self._read_on)
