"""A sink that collects the body of an answer in memory."""

from twisted.internet.defer import Deferred

from fulmarrudder.call.errors import CallError

MAX_COLLECTED_BYTES = 8 * 1024 * 1024


class BodyCollector:
    """Collects an answer's body.

    Attributes:
        limit: Most bytes of the body.
        body: Deferred of the body; fails with `CallError` if it is cut off or
            exceeds the limit.
    """

    def __init__(self, limit: int = MAX_COLLECTED_BYTES):
        self.limit = limit
        self.chunks: list[bytes] = []
        self.size = 0
        self.producer = None
        self.body: Deferred = Deferred()

    def set_producer(self, producer) -> None:
        """Stores the producer, which is stopped if the body is too large."""
        self.producer = producer

    def write_part(self, data: bytes) -> None:
        """Adds a chunk of the body."""
        if self.body.called:
            return
        self.chunks.append(data)
        self.size += len(data)
        if self.size > self.limit:
            self.body.errback(CallError("answer too large to collect"))
            if self.producer is not None:
                self.producer.stopProducing()

    def write_end(self) -> None:
        """Completes the body."""
        if not self.body.called:
            self.body.callback(b"".join(self.chunks))

    def abort_answer(self) -> None:
        """Fails the body, as the answer was cut off."""
        if not self.body.called:
            self.body.errback(CallError("answer was cut off"))
