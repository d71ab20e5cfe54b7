"""Answers: a response head, and a body that is streamed to a sink."""

from typing import Protocol

from fulmarrudder.call.codec import refusal_body, refusal_head
from fulmarrudder.call.message import Refusal, ResponseHead


class AnswerSink(Protocol):
    """Receives the body of an answer."""

    def set_producer(self, producer) -> None:
        """Sets the producer to pause while the sink is full, or None."""

    def write_part(self, data: bytes) -> None:
        """Receives a part of the body."""

    def write_end(self) -> None:
        """Receives the end of the body."""

    def abort_answer(self) -> None:
        """Ends the body incomplete, as its source was lost."""


class Answer(Protocol):
    """An answer whose head has been received.

    Attributes:
        head: The head.
        refusal: The refusal that it carries, or None.
    """

    head: ResponseHead
    refusal: Refusal | None

    def stream_to(self, sink: AnswerSink) -> None:
        """Sends the body to a sink."""

    def cancel(self) -> None:
        """Cancels the answer."""


class BufferedAnswer:
    """An answer whose body is in memory.

    Attributes:
        head: The head.
        body: The body.
        refusal: The refusal that it carries, or None.
    """

    __slots__ = ("body", "head", "refusal")

    def __init__(
        self, head: ResponseHead, body: bytes, refusal: Refusal | None = None
    ):
        self.head = head
        self.body = body
        self.refusal = refusal

    def stream_to(self, sink: AnswerSink) -> None:
        """Sends the body to a sink."""
        if self.body:
            sink.write_part(self.body)
        sink.write_end()

    def cancel(self) -> None:
        """Does nothing, as the answer is complete."""


def refusal_answer(
    refusal: Refusal, *, to_node: bool = False
) -> BufferedAnswer:
    """Returns the answer that carries a refusal.

    Args:
        refusal: The refusal.
        to_node: Whether it goes to a node, which reads only its head.
    """
    body = b"" if to_node else refusal_body(refusal)
    return BufferedAnswer(refusal_head(refusal, body), body, refusal)
