"""Links among relays, in one data centre and between data centres."""

import random
from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import Hello, Message, Redirect
from fulmarrudder.fold import Duty
from fulmarrudder.log import Backoff

RETRY_BASE_S = 0.3
RETRY_LIMIT_S = 5.0


def node_of(holder: str) -> str:
    """Returns the node id of a duty's holder."""
    return holder.rpartition("/")[0]


class _Dialling:
    """Tries to reach one relay.

    Attributes:
        address: Its mesh address.
        due: Clock seconds before which it is not tried again.
    """

    def __init__(self, address: str, rng: random.Random):
        self.address = address
        self.backoff = Backoff(
            base_s=RETRY_BASE_S, limit_s=RETRY_LIMIT_S, rng=rng
        )
        self.due = 0.0
        self.link: Link | None = None


class Peers:
    """Keeps one link to every other relay.

    Of two relays the one with the lower id dials.

    Attributes:
        by_node: Open links by the node on the other side.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        node: str,
        dial: Callable[[str, "Peers"], Link],
        hello: Callable[[], Hello],
        on_open: Callable[[Link, Hello], None],
        on_message: Callable[[Link, Message], None],
        on_closed: Callable[[Link], None],
    ):
        self.clock = clock
        self.rng = rng
        self.node = node
        self.dial = dial
        self.hello = hello
        self.on_open = on_open
        self.on_message = on_message
        self.on_closed = on_closed
        self.by_node: dict[str, Link] = {}
        self.dialling: dict[str, _Dialling] = {}

    def reconcile(self, duties: tuple[Duty, ...], *, relay: bool) -> None:
        """Dials the relays that should be linked and are not.

        Args:
            duties: Relay duties of all data centres.
            relay: Whether this node is a relay.
        """
        wanted = {}
        for duty in duties:
            other = node_of(duty.holder)
            if relay and self.node < other:
                wanted[other] = duty.mesh_address
        for other in tuple(self.dialling):
            if wanted.get(other) != self.dialling[other].address:
                self._give_up(other)
        now = self.clock.seconds()
        for other, address in wanted.items():
            self._ensure(other, address, now)
        if not relay:
            for link in tuple(self.by_node.values()):
                link.close()

    def accept(self, link: Link, hello: Hello, *, relay: bool) -> None:
        """Takes a relay's link on.

        Args:
            link: The link that it opened.
            hello: Its first message.
            relay: Whether this node is a relay.
        """
        if not relay:
            link.send(Redirect(addresses=()))
            link.close()
            return
        link.send(self.hello())
        self._open(link, hello)

    def send_all(self, message: Message) -> None:
        """Sends a message to every relay that is linked."""
        for link in tuple(self.by_node.values()):
            link.send(message)

    def link_opened(self, link: Link) -> None:
        """Introduces this node."""
        link.send(self.hello())

    def link_message(self, link: Link, message: Message) -> None:
        """Takes a message of another relay."""
        if isinstance(message, Hello):
            self._open(link, message)
            return
        if isinstance(message, Redirect):
            link.close()
            return
        self.on_message(link, message)

    def link_closed(self, link: Link) -> None:
        """Forgets a link."""
        now = self.clock.seconds()
        for dialling in self.dialling.values():
            if dialling.link is link:
                dialling.link = None
                dialling.due = now + dialling.backoff.next_delay()
        if self.by_node.get(link.node) is link:
            del self.by_node[link.node]
            self.on_closed(link)

    def _ensure(self, other: str, address: str, now: float) -> None:
        dialling = self.dialling.get(other)
        if dialling is None:
            dialling = self.dialling[other] = _Dialling(address, self.rng)
        if dialling.link is None and now >= dialling.due:
            dialling.link = self.dial(address, self)

    def _give_up(self, other: str) -> None:
        dialling = self.dialling.pop(other)
        if dialling.link is not None:
            dialling.link.close()

    def _open(self, link: Link, hello: Hello) -> None:
        before = self.by_node.get(hello.node)
        link.node = hello.node
        link.data_centre = hello.data_centre
        self.by_node[hello.node] = link
        if before is not None and before is not link:
            before.close()
        if hello.node in self.dialling:
            self.dialling[hello.node].backoff.reset()
        self.on_open(link, hello)
