"""Filter: buffers small answers before their first byte is passed on.

A small answer that is cut off can then still be retried. A large answer is
streamed; if it is cut off, the caller's connection is aborted.
"""

import dataclasses

from twisted.internet.defer import Deferred

from fulmarrudder.call.answer import Answer, AnswerSink, BufferedAnswer
from fulmarrudder.call.errors import CallError
from fulmarrudder.call.host import UpstreamAnswer
from fulmarrudder.call.message import Framing
from fulmarrudder.clock import Clock

MAX_BUFFERED_BYTES = 65_536


class StreamedAnswer:
    """An answer whose first bytes have been buffered.

    Attributes:
        head: The head.
        chunks: The buffered chunks of the body.
        live: The answer that the rest is read from.
    """

    __slots__ = ("head", "live", "chunks")

    refusal = None

    def __init__(self, live: UpstreamAnswer, chunks: list[bytes]):
        self.head = live.head
        self.live = live
        self.chunks = chunks

    def stream_to(self, sink: AnswerSink) -> None:
        """Sends the body to a sink."""
        chunks, self.chunks = self.chunks, []
        for data in chunks:
            sink.write_part(data)
        self.live.stream_to(sink)

    def cancel(self) -> None:
        """Cancels the answer."""
        self.live.cancel()


class _Buffer:
    def __init__(self, live: UpstreamAnswer):
        self.live = live
        self.chunks: list[bytes] = []
        self.size = 0
        self.producer = None
        self.done: Deferred = Deferred(lambda _: live.cancel())

    def set_producer(self, producer) -> None:
        self.producer = producer

    def write_part(self, data: bytes) -> None:
        self.chunks.append(data)
        self.size += len(data)
        if self.size > MAX_BUFFERED_BYTES and not self.done.called:
            if self.producer is not None:
                self.producer.pauseProducing()
            self.live.exchange.hold()
            self.done.callback(StreamedAnswer(self.live, self.chunks))

    def write_end(self) -> None:
        if self.done.called:
            return
        body = b"".join(self.chunks)
        head = dataclasses.replace(
            self.live.head, framing=Framing.LENGTH, length=len(body)
        )
        self.done.callback(BufferedAnswer(head, body))

    def abort_answer(self) -> None:
        if not self.done.called:
            self.done.errback(CallError("answer was cut off"))


async def buffer_answer(
    live: UpstreamAnswer, clock: Clock, deadline: float
) -> Answer:
    """Buffers an answer of at most `MAX_BUFFERED_BYTES`.

    Args:
        live: The answer, of which the head has arrived.
        clock: Source of timers.
        deadline: Clock seconds.

    Returns:
        The complete answer, or a streamed one if it is larger.

    Raises:
        CallError: The answer was cut off while it was buffered.
        TimeoutError: The deadline passed while it was buffered.
    """
    head = live.head
    if head.framing is Framing.NONE:
        return live
    if head.framing is Framing.LENGTH and head.length > MAX_BUFFERED_BYTES:
        return live
    body = live.exchange.take_whole()
    if body is not None:
        return BufferedAnswer(head, body)
    buffer = _Buffer(live)
    live.stream_to(buffer)
    left = max(0.0, deadline - clock.seconds())
    return await buffer.done.addTimeout(left, clock)
