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

ATTACH_TIMEOUT_S = 3.0
UNROOTED_TIMEOUT_S = 3.0
RETRY_BASE_DELAY_S = 0.2
RETRY_MAX_DELAY_S = 3.0


class Uplink:
    """Finds a parent and keeps the link to it.

    Attributes:
        parent_candidates: Returns mesh addresses to try, in order.
        on_path_change: Called when `path` has changed.
        on_message: Called with each message that this class does not handle.
        path: Ids of the nodes from the root to the parent; empty without a
            rooted parent.
        link: The link that is open or being opened, or None.
        accepted: Whether the parent has accepted this node as a child.
        enabled: Whether the node looks for a parent; False on a relay.
        detached_since: Clock seconds at which the node last lost its rooted
            parent.
        address_queue: Mesh addresses to try next.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        dial: Callable[[str, "Uplink"], Link],
        hello: Callable[[], Hello],
        parent_candidates: Callable[[], tuple[str, ...]],
        on_path_change: Callable[[], None],
        on_message: Callable[[Link, Message], None],
    ):
        self.clock = clock
        self.rng = rng
        self.dial = dial
        self.hello = hello
        self.parent_candidates = parent_candidates
        self.on_path_change = on_path_change
        self.on_message = on_message
        self.path: tuple[str, ...] = ()
        self.link: Link | None = None
        self.accepted = False
        self.enabled = False
        self.detached_since = clock.seconds()
        self.backoff = Backoff(
            base_delay_s=RETRY_BASE_DELAY_S,
            max_delay_s=RETRY_MAX_DELAY_S,
            rng=rng,
        )
        self.address_queue: collections.deque[str] = collections.deque()
        self.attach_timer = None
        self.retry_timer = None

    @property
    def attached(self) -> bool:
        """Whether the node has a parent with a path to a relay."""
        return self.accepted and bool(self.path)

    def start(self) -> None:
        """Starts to look for a parent."""
        if not self.enabled:
            self.enabled = True
            self.detached_since = self.clock.seconds()
            self._dial_next()

    def stop(self) -> None:
        """Closes the link to the parent and looks for no other."""
        self.enabled = False
        self._cancel(self.attach_timer)
        self._cancel(self.retry_timer)
        link, self.link = self.link, None
        self.accepted = False
        self._set_path(())
        if link is not None:
            link.close()

    def reattach(self) -> None:
        """Leaves the parent and looks for one from the first candidate on."""
        self.address_queue.clear()
        self._detach()

    def send(self, message: Message) -> None:
        """Sends a message to the parent; does nothing without one."""
        if self.accepted and self.link is not None:
            self.link.send(message)

    def link_opened(self, link: Link) -> None:
        """Requests to become a child of the node on the link."""
        if link is self.link:
            link.send(self.hello())

    def link_message(self, link: Link, message: Message) -> None:
        """Handles a message from the parent."""
        if link is not self.link:
            return
        if isinstance(message, PathUpdate):
            self._handle_path_update(message)
            return
        if isinstance(message, Redirect):
            self.address_queue.extendleft(reversed(message.addresses))
            self._detach()
            return
        self.on_message(link, message)

    def link_closed(self, link: Link) -> None:
        """Looks for another parent if the link was the current one."""
        if link is self.link:
            self._detach()

    def _handle_path_update(self, message: PathUpdate) -> None:
        self.accepted = True
        self._cancel(self.attach_timer)
        if not message.path:
            self.attach_timer = self.clock.callLater(
                UNROOTED_TIMEOUT_S, self._detach
            )
        else:
            self.backoff.reset()
            self.address_queue.clear()
        self._set_path(message.path)

    def _set_path(self, path: tuple[str, ...]) -> None:
        if path == self.path:
            return
        if not path:
            self.detached_since = self.clock.seconds()
        self.path = path
        self.on_path_change()

    def _detach(self) -> None:
        self._cancel(self.attach_timer)
        link, self.link = self.link, None
        was_accepted, self.accepted = self.accepted, False
        if link is not None:
            link.close()
        self._set_path(())
        if not self.enabled:
            return
        if self.address_queue:
            self._schedule(0.0)
        elif was_accepted:
            self._schedule(self.rng.uniform(0.0, RETRY_BASE_DELAY_S))
        else:
            self._schedule(self.backoff.next_delay())

    def _schedule(self, delay: float) -> None:
        self._cancel(self.retry_timer)
        self.retry_timer = self.clock.callLater(delay, self._dial_next)

    def _dial_next(self) -> None:
        if not self.enabled or self.link is not None:
            return
        if not self.address_queue:
            self.address_queue.extend(self.parent_candidates())
        if not self.address_queue:
            self._schedule(self.backoff.next_delay())
            return
        address = self.address_queue.popleft()
        self.attach_timer = self.clock.callLater(ATTACH_TIMEOUT_S, self._detach)
        self.link = self.dial(address, self)

    @staticmethod
    def _cancel(timer) -> None:
        if timer is not None and timer.active():
            timer.cancel()
