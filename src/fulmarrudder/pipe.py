"""Pipes that join filters.

The code base uses two kinds of pipe:

* `Pipeline` passes one message through filters that each yield any number of
  messages, and passes the output to a sink.
* `run_steps` passes one message through filters that each return the next
  message or a refusal, and stops at the first refusal.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

Filter = Callable[[Any], Iterable[Any]]
Step = Callable[[Any], Any]


class Pipeline:
    """A chain of filters that ends in a sink.

    Attributes:
        filters: Callables from one message to any number of messages.
        sink: Receives every message that the last filter yields.
    """

    __slots__ = ("filters", "sink")

    def __init__(
        self, *filters: Filter, sink: Callable[[Any], None] | None = None
    ):
        self.filters = filters
        self.sink = sink or (lambda message: None)

    def put(self, message: Any) -> None:
        """Passes one message through every filter into the sink.

        Args:
            message: The message for the first filter.
        """
        for output in self._run_from(message, 0):
            self.sink(output)

    def _run_from(self, message: Any, index: int) -> Iterable[Any]:
        if index == len(self.filters):
            yield message
            return
        for intermediate in self.filters[index](message):
            yield from self._run_from(intermediate, index + 1)


def run_steps(message: Any, steps: Sequence[Step], refusal: type) -> Any:
    """Passes a message through steps until one refuses it.

    Args:
        message: The message for the first step.
        steps: Callables from a message to the next one or to a refusal.
        refusal: Type of a refusal, which stops the run.

    Returns:
        The result of the last step, or the first refusal.
    """
    for step in steps:
        message = step(message)
        if isinstance(message, refusal):
            return message
    return message
