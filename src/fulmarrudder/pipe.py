"""Pipes that join filters.

Two kinds of pipe serve the whole code base:

* `Pipeline` pushes one message through filters that each yield any number of
  messages, and hands what leaves at the right to a sink.
* `run_steps` carries one message through filters that each return the next message
  or a refusal, and stops at the first refusal.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

Filter = Callable[[Any], Iterable[Any]]
Step = Callable[[Any], Any]


class Pipeline:
    """A chain of filters, pushed from the left, drained at the right.

    Attributes:
        filters: Callables from one message to any number of messages.
        sink: Takes every message that leaves the last filter.
    """

    __slots__ = ("filters", "sink")

    def __init__(
        self, *filters: Filter, sink: Callable[[Any], None] | None = None
    ):
        self.filters = filters
        self.sink = sink or (lambda message: None)

    def put(self, message: Any) -> None:
        """Pushes one message through every filter into the sink.

        Args:
            message: The message for the first filter.
        """
        for leaving in self._leave(message, 0):
            self.sink(leaving)

    def _leave(self, message: Any, index: int) -> Iterable[Any]:
        if index == len(self.filters):
            yield message
            return
        for between in self.filters[index](message):
            yield from self._leave(between, index + 1)


def run_steps(message: Any, steps: Sequence[Step], refusal: type) -> Any:
    """Carries a message through steps until one refuses it.

    Args:
        message: The message for the first step.
        steps: Callables from a message to the next one or to a refusal.
        refusal: The type that stops the flow.

    Returns:
        What the last step returned, or the first refusal.
    """
    for step in steps:
        message = step(message)
        if isinstance(message, refusal):
            return message
    return message
