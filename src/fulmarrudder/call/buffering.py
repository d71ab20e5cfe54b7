"""Filter: reads a small answer whole before its first byte goes on.

An answer that is cut off on the way can then still be tried again. A large
one streams, and is broken off visibly when it is cut.
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
    """An answer whose first bytes have been read.

    Attributes:
        head: The head.
        parts: The first pieces of the body.
        live: The answer that the rest comes from.
    """

    __slots__ = ("head", "live", "parts")

    refusal = None

    def __init__(self, live: UpstreamAnswer, parts: list[bytes]):
        self.head = live.head
        self.live = live
        self.parts = parts

    def stream_to(self, sink: AnswerSink) -> None:
        """Sends the body to a sink."""
        parts, self.parts = self.parts, []
        for data in parts:
            sink.write_part(data)
        self.live.stream_to(sink)

    def cancel(self) -> None:
        """Gives the answer up."""
        self.live.cancel()


class _Gatherer:
    def __init__(self, live: UpstreamAnswer):
        self.live = live
        self.parts: list[bytes] = []
        self.size = 0
        self.producer = None
        self.done: Deferred = Deferred(lambda _: live.cancel())

    def set_producer(self, producer) -> None:
        self.producer = producer

    def write_part(self, data: bytes) -> None:
        self.parts.append(data)
        self.size += len(data)
        if self.size > MAX_BUFFERED_BYTES and not self.done.called:
            if self.producer is not None:
                self.producer.pauseProducing()
            self.live.exchange.hold()
            self.done.callback(StreamedAnswer(self.live, self.parts))

    def write_end(self) -> None:
        if self.done.called:
            return
        body = b"".join(self.parts)
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
    """Reads an answer whole if it is small.

    Args:
        live: The answer as it comes.
        clock: Bounds the time that it may take.
        deadline: Clock seconds.

    Returns:
        A whole answer, or one that streams because it is large.

    Raises:
        CallError: The answer was cut off before that was known.
        TimeoutError: The deadline passed before that was known.
    """
    head = live.head
    if head.framing is Framing.NONE:
        return live
    if head.framing is Framing.LENGTH and head.length > MAX_BUFFERED_BYTES:
        return live
    body = live.exchange.take_whole()
    if body is not None:
        return BufferedAnswer(head, body)
    gatherer = _Gatherer(live)
    live.stream_to(gatherer)
    left = max(0.0, deadline - clock.seconds())
    return await gatherer.done.addTimeout(left, clock)
