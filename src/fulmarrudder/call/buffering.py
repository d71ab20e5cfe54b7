"""Filter: buffers a small answer before its first byte is passed on.

If a small answer is cut off, its call can then still be retried. A large answer
is streamed; if it is cut off, the caller's connection is aborted.
"""

import dataclasses

from twisted.internet.defer import Deferred

from fulmarrudder.call.answer import Answer, AnswerSink, BufferedAnswer
from fulmarrudder.call.errors import CallError
from fulmarrudder.call.exchange import Exchange, UpstreamAnswer
from fulmarrudder.call.message import Framing
from fulmarrudder.clock import Clock

MAX_BUFFERED_BYTES = 65_536


class StreamedAnswer:
    """An answer too large to buffer, of which the first bytes are buffered.

    Attributes:
        head: The head.
        chunks: The buffered chunks of the body.
        upstream_answer: The answer, from which the rest is read.
    """

    __slots__ = ("head", "upstream_answer", "chunks")

    refusal = None

    def __init__(self, upstream_answer: UpstreamAnswer, chunks: list[bytes]):
        self.head = upstream_answer.head
        self.upstream_answer = upstream_answer
        self.chunks = chunks

    @property
    def exchange(self) -> Exchange:
        """The exchange that receives the rest of the body."""
        return self.upstream_answer.exchange

    def stream_to(self, sink: AnswerSink) -> None:
        """Sends the body to a sink."""
        chunks, self.chunks = self.chunks, []
        for data in chunks:
            sink.write_part(data)
        self.upstream_answer.stream_to(sink)

    def cancel(self) -> None:
        """Cancels the answer."""
        self.upstream_answer.cancel()


class _Buffer:
    def __init__(self, upstream_answer: UpstreamAnswer):
        self.upstream_answer = upstream_answer
        self.chunks: list[bytes] = []
        self.size = 0
        self.producer = None
        self.done: Deferred = Deferred(lambda _: upstream_answer.cancel())

    def set_producer(self, producer) -> None:
        self.producer = producer

    def write_part(self, data: bytes) -> None:
        self.chunks.append(data)
        self.size += len(data)
        if self.size > MAX_BUFFERED_BYTES and not self.done.called:
            if self.producer is not None:
                self.producer.pauseProducing()
            self.upstream_answer.exchange.detach_sink()
            self.done.callback(
                StreamedAnswer(self.upstream_answer, self.chunks)
            )

    def write_end(self) -> None:
        if self.done.called:
            return
        body = b"".join(self.chunks)
        head = dataclasses.replace(
            self.upstream_answer.head, framing=Framing.LENGTH, length=len(body)
        )
        self.done.callback(BufferedAnswer(head, body))

    def abort_answer(self) -> None:
        if not self.done.called:
            self.done.errback(CallError("answer was cut off"))


async def buffer_answer(
    upstream_answer: UpstreamAnswer, clock: Clock, deadline: float
) -> Answer:
    """Buffers an answer of at most `MAX_BUFFERED_BYTES`.

    Args:
        upstream_answer: The answer, whose head has been received.
        clock: Source of timers.
        deadline: Clock seconds.

    Returns:
        The complete answer, or a streamed one if it is larger.

    Raises:
        CallError: The answer was cut off while it was buffered.
        TimeoutError: The deadline passed while it was buffered.
    """
    head = upstream_answer.head
    if head.framing is Framing.NONE:
        return upstream_answer
    if head.framing is Framing.LENGTH and head.length > MAX_BUFFERED_BYTES:
        return upstream_answer
    body = upstream_answer.exchange.take_complete_body()
    if body is not None:
        return BufferedAnswer(head, body)
    buffer = _Buffer(upstream_answer)
    upstream_answer.stream_to(buffer)
    left = max(0.0, deadline - clock.seconds())
    return await buffer.done.addTimeout(left, clock)


def body_of(answer: Answer) -> bytes | None:
    """Returns the body of an answer that was buffered.

    Args:
        answer: The result of `buffer_answer`.

    Returns:
        The body, or None if it is streamed.
    """
    if isinstance(answer, BufferedAnswer):
        return answer.body
    return b"" if answer.head.framing is Framing.NONE else None
