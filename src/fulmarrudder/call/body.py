"""Streaming of request bodies, with back-pressure.

The first bytes of a body are buffered so that an attempt can be retried. Once
more than `MAX_REPLAY_BYTES` have been streamed to a sink, the buffer is
discarded and the body cannot be replayed.
"""

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

MAX_REPLAY_BYTES = 65_536
# Parts up to this size are joined in the replay buffer.
SMALL_PART_BYTES = 1_024


class Watch(Protocol):
    """Reads on bodies that wait; see `LeavingWatch`."""

    def add(self, body: "RequestBody") -> None:
        """Watches a body that waits."""

    def discard(self, body: "RequestBody") -> None:
        """Ends the watch of a body."""


class BodySink(Protocol):
    """Consumer of a body."""

    def write_part(self, data: bytes) -> None:
        """Receives a part."""

    def write_end(self) -> None:
        """Receives the end."""

    def abort_request(self) -> None:
        """Handles the loss of the connection before the end."""


@implementer(IPushProducer)
class RequestBody:
    """A request body between its connection and its sink.

    Attributes:
        source: Transport that is paused while the sink is full.
        received_bytes: Bytes received so far.
        ended: Whether the end has been received.
        lost: Whether the connection was lost before the end.
        replayable: Whether every byte received is still buffered.
        replay_buffer: The buffered parts.
        prefix_size: Number of bytes that `prefix_ready` waits for.
        prefix_ready: Deferred of the first bytes, or None.
        on_end: Called once no more of the body will arrive, or None.
        watch: Watches the body while it waits, or None.
        ahead_bytes: Bytes read since reading was paused.
        is_reading_on: Whether the next bytes are read although it is paused.
    """

    __slots__ = (
        "ahead_bytes",
        "is_reading_on",
        "on_end",
        "watch",
        "ended",
        "replay_buffer",
        "lost",
        "paused",
        "replayable",
        "sink",
        "source",
        "received_bytes",
        "prefix_size",
        "prefix_ready",
    )

    def __init__(
        self, source, *, empty: bool = False, watch: Watch | None = None
    ):
        """Initializes the body of a request.

        Args:
            source: Transport that the body is read from.
            empty: Whether the head states that there is no body.
            watch: Watches the body while it waits, or None.
        """
        self.watch = watch
        self.ahead_bytes = 0
        self.is_reading_on = False
        self.source = source
        self.replay_buffer: list[bytes] = []
        self.received_bytes = 0
        self.ended = empty
        self.lost = False
        self.replayable = True
        self.sink: BodySink | None = None
        self.paused = False
        self.prefix_size = 0
        self.prefix_ready: Deferred | None = None
        self.on_end: Callable[[], None] | None = None

    def receive_part(self, data: bytes) -> None:
        """Receives a part from the connection."""
        self.received_bytes += len(data)
        if self.paused:
            self.ahead_bytes += len(data)
            self._stop_reading_on()
        if self.replayable:
            self._keep_for_replay(data)
        if self.sink is not None:
            self._trim_replay_buffer()
            self.sink.write_part(data)
        elif self.received_bytes > MAX_REPLAY_BYTES:
            self.pauseProducing()
        self._resolve_prefix()

    def _keep_for_replay(self, data: bytes) -> None:
        parts = self.replay_buffer
        if parts and len(parts[-1]) + len(data) <= SMALL_PART_BYTES:
            parts[-1] += data
            return
        parts.append(data)

    def receive_end(self) -> None:
        """Receives the end from the connection."""
        if self.ended:
            return
        self.ended = True
        # Later requests on the connection still have to be read.
        self.resumeProducing()
        if self.sink is not None:
            self.sink.write_end()
        self._resolve_prefix()
        self._report_end()

    def receive_abort(self) -> None:
        """Handles the loss of the connection before the end."""
        if self.watch is not None:
            self.watch.discard(self)
        if self.ended:
            return
        self.lost = True
        if self.sink is not None:
            self.sink.abort_request()
        prefix_ready, self.prefix_ready = self.prefix_ready, None
        if prefix_ready is not None:
            prefix_ready.cancel()
        self._report_end()

    def wait_for_prefix(self, size: int) -> Deferred:
        """Waits for the first bytes.

        Args:
            size: Number of bytes.

        Returns:
            Deferred of the first bytes; fewer if the body is shorter.
        """
        if self.ended or self.received_bytes >= size:
            return succeed(self.prefix(size))
        self.prefix_size = size
        self.prefix_ready = Deferred()
        return self.prefix_ready

    def prefix(self, size: int) -> bytes:
        """Returns up to `size` bytes from the start of the replay buffer."""
        if len(self.replay_buffer) == 1:
            return self.replay_buffer[0][:size]
        return b"".join(self.replay_buffer)[:size]

    @property
    def shareable(self) -> bool:
        """Whether several sinks may receive the body beside each other."""
        return (
            self.ended
            and self.replayable
            and self.received_bytes <= MAX_REPLAY_BYTES
        )

    def attach(self, sink: BodySink) -> None:
        """Streams the body to a sink, from its first byte."""
        self.sink = sink
        replay_buffer = tuple(self.replay_buffer)
        self._trim_replay_buffer()
        for data in replay_buffer:
            sink.write_part(data)
        if self.sink is not sink:
            return
        if self.ended:
            sink.write_end()
        elif self.paused:
            self.resumeProducing()

    def detach(self) -> None:
        """Stops streaming to the sink."""
        self.sink = None

    def _report_end(self) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end()

    def _trim_replay_buffer(self) -> None:
        if self.received_bytes > MAX_REPLAY_BYTES:
            self.replayable = False
            self.replay_buffer = []

    def _resolve_prefix(self) -> None:
        if self.prefix_ready is None:
            return
        if self.ended or self.received_bytes >= self.prefix_size:
            prefix_ready, self.prefix_ready = self.prefix_ready, None
            prefix_ready.callback(self.prefix(self.prefix_size))

    def pauseProducing(self) -> None:  # noqa: N802
        """Pauses reading from the connection."""
        if self.paused or self.ended or self.lost:
            return
        self.paused = True
        self.source.pauseProducing()
        if self.watch is not None:
            self.watch.add(self)

    def resumeProducing(self) -> None:  # noqa: N802
        """Resumes reading from the connection."""
        if not self.paused:
            return
        self.paused = self.is_reading_on = False
        self.ahead_bytes = 0
        if self.watch is not None:
            self.watch.discard(self)
        self.source.resumeProducing()

    def read_on(self) -> None:
        """Reads the next bytes of a paused connection, or its end."""
        if self.paused and not self.is_reading_on:
            self.is_reading_on = True
            self.source.resumeProducing()

    def _stop_reading_on(self) -> None:
        if self.is_reading_on:
            self.is_reading_on = False
            self.source.pauseProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; a sink handles the loss of its own connection."""
