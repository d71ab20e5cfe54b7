"""The link from a node up to its parent in the tree."""

import collections
import random
from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import (
    Hello,
    Message,
    PathUpdate,
    Redirect,
)
from fulmarrudder.log import Backoff

PLACED_LIMIT_S = 3.0
UNROOTED_LIMIT_S = 3.0
RETRY_BASE_S = 0.2
RETRY_LIMIT_S = 3.0


class Uplink:
    """Finds a parent and stays below it.

    Attributes:
        path: Path from the root to the parent; empty without a root.
        link: The link that is open or being opened, or None.
        placed: Whether the parent has taken this node on.
        detached_since: Clock seconds since which there is no rooted parent.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        dial: Callable[[str, "Uplink"], Link],
        hello: Callable[[], Hello],
        candidates: Callable[[], tuple[str, ...]],
        on_path: Callable[[], None],
        on_message: Callable[[Link, Message], None],
    ):
        self.clock = clock
        self.rng = rng
        self.dial = dial
        self.hello = hello
        self.candidates = candidates
        self.on_path = on_path
        self.on_message = on_message
        self.path: tuple[str, ...] = ()
        self.link: Link | None = None
        self.placed = False
        self.enabled = False
        self.detached_since = clock.seconds()
        self.backoff = Backoff(
            base_s=RETRY_BASE_S, limit_s=RETRY_LIMIT_S, rng=rng
        )
        self.queue: collections.deque[str] = collections.deque()
        self.limit = None
        self.retry = None

    @property
    def attached(self) -> bool:
        """Whether the node hangs below a parent that has a source."""
        return self.placed and bool(self.path)

    def start(self) -> None:
        """Looks for a parent from now on."""
        if not self.enabled:
            self.enabled = True
            self.detached_since = self.clock.seconds()
            self._try_next()

    def stop(self) -> None:
        """Leaves the parent."""
        self.enabled = False
        self._cancel(self.limit)
        self._cancel(self.retry)
        link, self.link = self.link, None
        self.placed = False
        self._set_path(())
        if link is not None:
            link.close()

    def move(self) -> None:
        """Leaves the parent and asks the best candidates again."""
        self.queue.clear()
        self._drop()

    def send(self, message: Message) -> None:
        """Sends a message to the parent, if there is one."""
        if self.placed and self.link is not None:
            self.link.send(message)

    def link_opened(self, link: Link) -> None:
        """Asks for a place."""
        if link is self.link:
            link.send(self.hello())

    def link_message(self, link: Link, message: Message) -> None:
        """Takes a message of the parent."""
        if link is not self.link:
            return
        if isinstance(message, PathUpdate):
            self._take_place(message)
            return
        if isinstance(message, Redirect):
            self.queue.extendleft(reversed(message.addresses))
            self._drop()
            return
        self.on_message(link, message)

    def link_closed(self, link: Link) -> None:
        """Looks for another parent."""
        if link is self.link:
            self._drop()

    def _take_place(self, message: PathUpdate) -> None:
        self.placed = True
        self._cancel(self.limit)
        if not message.path:
            self.limit = self.clock.callLater(UNROOTED_LIMIT_S, self._drop)
        else:
            self.backoff.reset()
            self.queue.clear()
        self._set_path(message.path)

    def _set_path(self, path: tuple[str, ...]) -> None:
        if path == self.path:
            return
        if not path:
            self.detached_since = self.clock.seconds()
        self.path = path
        self.on_path()

    def _drop(self) -> None:
        self._cancel(self.limit)
        link, self.link = self.link, None
        was_placed, self.placed = self.placed, False
        if link is not None:
            link.close()
        self._set_path(())
        if not self.enabled:
            return
        if self.queue:
            self._schedule(0.0)
        elif was_placed:
            self._schedule(self.rng.uniform(0.0, RETRY_BASE_S))
        else:
            self._schedule(self.backoff.next_delay())

    def _schedule(self, delay: float) -> None:
        self._cancel(self.retry)
        self.retry = self.clock.callLater(delay, self._try_next)

    def _try_next(self) -> None:
        if not self.enabled or self.link is not None:
            return
        if not self.queue:
            self.queue.extend(self.candidates())
        if not self.queue:
            self._schedule(self.backoff.next_delay())
            return
        address = self.queue.popleft()
        self.limit = self.clock.callLater(PLACED_LIMIT_S, self._drop)
        self.link = self.dial(address, self)

    @staticmethod
    def _cancel(timer) -> None:
        if timer is not None and timer.active():
            timer.cancel()
