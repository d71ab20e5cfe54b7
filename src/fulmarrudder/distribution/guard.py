"""Keeps exceptions of handlers from the links that call them."""

from collections.abc import Callable

from fulmarrudder.distribution.link import Link, LinkHandler
from fulmarrudder.distribution.message import Hello, Message

# Returns a handler that reports the exceptions of a task and does not raise
# them. What follows a fault is called with the same arguments.
Guard = Callable[[str, Callable, Callable], Callable]


def unguarded(task: str, handler: Callable, on_fault: Callable) -> Callable:
    """Returns a handler as it is."""
    return handler


def ignore(*_args) -> None:
    """Does nothing after a fault."""


class GuardedHandler:
    """Passes the events of links on, so that an exception costs one event.

    A link whose first message is not sent or not handled is of no use and
    closes; any other message is lost alone.
    """

    def __init__(self, handler: LinkHandler, guard: Guard):
        self.link_opened = guard("link", handler.link_opened, _close)
        self.link_message = guard(
            "link", handler.link_message, _close_after_hello
        )
        self.link_closed = guard("link", handler.link_closed, ignore)


def _close(link: Link) -> None:
    link.close()


def _close_after_hello(link: Link, message: Message) -> None:
    if isinstance(message, Hello):
        link.close()
