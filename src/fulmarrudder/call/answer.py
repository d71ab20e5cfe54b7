"""Answers: a response head, and a body that flows to a sink."""

from typing import Protocol

from fulmarrudder.call.codec import refusal_body, refusal_head
from fulmarrudder.call.message import Refusal, ResponseHead


class AnswerSink(Protocol):
    """Takes the body of an answer."""

    def set_producer(self, producer) -> None:
        """Takes what to pause while the sink is full, or None at the end."""

    def write_part(self, data: bytes) -> None:
        """Takes a piece."""

    def write_end(self) -> None:
        """Takes the end."""

    def abort_answer(self) -> None:
        """Learns that the rest will not come."""


class Answer(Protocol):
    """An answer whose head is known.

    Attributes:
        head: The head.
        refusal: The refusal that it tells, or None.
    """

    head: ResponseHead
    refusal: Refusal | None

    def stream_to(self, sink: AnswerSink) -> None:
        """Sends the body to a sink."""

    def cancel(self) -> None:
        """Gives the answer up."""


class BufferedAnswer:
    """An answer whose body is at hand.

    Attributes:
        head: The head.
        body: The body.
        refusal: The refusal that it tells, or None.
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
        """Does nothing; there is nothing to give up."""


def refusal_answer(
    refusal: Refusal, *, to_node: bool = False
) -> BufferedAnswer:
    """Returns the answer that tells a refusal.

    Args:
        refusal: The refusal.
        to_node: Whether it goes to a node, which reads its head only.
    """
    body = b"" if to_node else refusal_body(refusal)
    return BufferedAnswer(refusal_head(refusal, body), body, refusal)
