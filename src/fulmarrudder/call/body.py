"""The body of a request on its way, with back-pressure.

A body's first bytes are kept so that an attempt can be repeated. Once more
than `MAX_REPLAY_BYTES` have passed, nothing is kept and no attempt can be repeated.
"""

from typing import Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

MAX_REPLAY_BYTES = 65_536


class BodySink(Protocol):
    """Takes a body."""

    def write_part(self, data: bytes) -> None:
        """Takes a piece."""

    def write_end(self) -> None:
        """Takes the end."""

    def abort_request(self) -> None:
        """Learns that the rest will not come."""


@implementer(IPushProducer)
class RequestBody:
    """A body between the connection that it comes from and its sink.

    Attributes:
        source: Transport that is paused while the sink is full.
        received_bytes: Bytes received so far.
        ended: Whether the end has been received.
        lost: Whether the connection was lost before the end.
        replayable: Whether every byte received is still kept.
    """

    __slots__ = (
        "ended",
        "replay_buffer",
        "lost",
        "paused",
        "replayable",
        "sink",
        "source",
        "received_bytes",
        "wanted",
        "waiting",
    )

    def __init__(self, source, *, empty: bool = False):
        """Makes the body of a request.

        Args:
            source: Transport that it comes from.
            empty: Whether the request's head says that there is none.
        """
        self.source = source
        self.replay_buffer: list[bytes] = []
        self.received_bytes = 0
        self.ended = empty
        self.lost = False
        self.replayable = True
        self.sink: BodySink | None = None
        self.paused = False
        self.wanted = 0
        self.waiting: Deferred | None = None

    def receive_part(self, data: bytes) -> None:
        """Receives a piece from the connection."""
        self.received_bytes += len(data)
        if self.replayable:
            self.replay_buffer.append(data)
        if self.sink is not None:
            self._let_go()
            self.sink.write_part(data)
        elif self.received_bytes > MAX_REPLAY_BYTES:
            self.pauseProducing()
        self._wake()

    def receive_end(self) -> None:
        """Receives the end from the connection."""
        if self.ended:
            return
        self.ended = True
        # The connection outlives this body and has to be read further.
        self.resumeProducing()
        if self.sink is not None:
            self.sink.write_end()
        self._wake()

    def receive_abort(self) -> None:
        """Learns that the rest will not come."""
        if self.ended:
            return
        self.lost = True
        if self.sink is not None:
            self.sink.abort_request()
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.cancel()

    def wait_for_prefix(self, size: int) -> Deferred:
        """Waits for the first bytes.

        Args:
            size: How many bytes are wanted.

        Returns:
            Deferred of the first bytes, fewer when the body ends before.
        """
        if self.ended or self.received_bytes >= size:
            return succeed(self.prefix(size))
        self.wanted = size
        self.waiting = Deferred()
        return self.waiting

    def prefix(self, size: int) -> bytes:
        """Returns the first bytes kept."""
        if len(self.replay_buffer) == 1:
            return self.replay_buffer[0][:size]
        return b"".join(self.replay_buffer)[:size]

    def attach(self, sink: BodySink) -> None:
        """Gives the body to a sink, from its first byte on."""
        self.sink = sink
        replay_buffer = tuple(self.replay_buffer)
        self._let_go()
        for data in replay_buffer:
            sink.write_part(data)
        if self.sink is not sink:
            return
        if self.ended:
            sink.write_end()
        elif self.paused:
            self.resumeProducing()

    def detach(self) -> None:
        """Takes the body away from its sink."""
        self.sink = None

    def _let_go(self) -> None:
        if self.received_bytes > MAX_REPLAY_BYTES:
            self.replayable = False
            self.replay_buffer = []

    def _wake(self) -> None:
        if self.waiting is None:
            return
        if self.ended or self.received_bytes >= self.wanted:
            waiting, self.waiting = self.waiting, None
            waiting.callback(self.prefix(self.wanted))

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops reading from the connection."""
        if not self.paused and not self.ended:
            self.paused = True
            self.source.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads from the connection again."""
        if self.paused:
            self.paused = False
            self.source.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; whoever takes the body handles its own loss."""
