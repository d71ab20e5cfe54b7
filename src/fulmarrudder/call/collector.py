"""A sink that collects a whole answer."""

from twisted.internet.defer import Deferred

from fulmarrudder.call.errors import CallError

COLLECT_LIMIT = 8 * 1024 * 1024


class BodyCollector:
    """Collects an answer's body in memory, up to `COLLECT_LIMIT` bytes.

    Attributes:
        body: Deferred of the body; fails with `CallError`.
    """

    def __init__(self, limit: int = COLLECT_LIMIT):
        self.limit = limit
        self.parts: list[bytes] = []
        self.size = 0
        self.producer = None
        self.body: Deferred = Deferred()

    def set_producer(self, producer) -> None:
        """Notes what to stop when the answer is too large."""
        self.producer = producer

    def write_part(self, data: bytes) -> None:
        """Takes a piece."""
        if self.body.called:
            return
        self.parts.append(data)
        self.size += len(data)
        if self.size > self.limit:
            self.body.errback(CallError("answer too large to collect"))
            if self.producer is not None:
                self.producer.stopProducing()

    def write_end(self) -> None:
        """Takes the end."""
        if not self.body.called:
            self.body.callback(b"".join(self.parts))

    def abort_answer(self) -> None:
        """Learns that the rest will not come."""
        if not self.body.called:
            self.body.errback(CallError("answer was cut off"))
