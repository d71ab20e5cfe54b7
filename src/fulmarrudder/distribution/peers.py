"""Links between relays, of the same and of other data centres."""

import random
from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import Hello, Message, Redirect
from fulmarrudder.log import Backoff
from fulmarrudder.state_machine import Duty

RETRY_BASE_DELAY_S = 0.3
RETRY_MAX_DELAY_S = 5.0


def node_of(holder: str) -> str:
    """Returns the node id in the name of a holder of duties."""
    return holder.rpartition("/")[0]


class _DialState:
    """Attempts to reach one relay.

    Attributes:
        address: Mesh address of the relay.
        retry_at: Clock seconds before which it is not dialled again.
        link: The link that is open or being opened, or None.
    """

    def __init__(self, address: str, rng: random.Random):
        self.address = address
        self.backoff = Backoff(
            base_delay_s=RETRY_BASE_DELAY_S,
            max_delay_s=RETRY_MAX_DELAY_S,
            rng=rng,
        )
        self.retry_at = 0.0
        self.link: Link | None = None


class Peers:
    """Keeps one link to every other relay.

    Of two relays the one with the lower id dials.

    Attributes:
        on_open: Called with a link and the other relay's first message.
        on_message: Called with a link and a later message.
        on_closed: Called with a link that was in `by_node`.
        by_node: Open links by the id of the node on the other side.
        dialling: Connection attempts by the id of the relay.
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
        self.dialling: dict[str, _DialState] = {}

    def reconcile(self, duties: tuple[Duty, ...], *, is_relay: bool) -> None:
        """Dials missing relays and closes links that are not needed.

        Args:
            duties: Relay duties of all data centres.
            is_relay: Whether this node is a relay.
        """
        addresses = {}
        for duty in duties:
            other = node_of(duty.holder)
            if is_relay and self.node < other:
                addresses[other] = duty.mesh_address
        for other in tuple(self.dialling):
            if addresses.get(other) != self.dialling[other].address:
                self._stop_dialling(other)
        now = self.clock.seconds()
        for other, address in addresses.items():
            self._dial_if_due(other, address, now)
        if not is_relay:
            for link in tuple(self.by_node.values()):
                link.close()

    def accept(self, link: Link, hello: Hello, *, is_relay: bool) -> None:
        """Accepts a link, or refuses it if this node is not a relay.

        Args:
            link: The link that the other relay opened.
            hello: Its first message.
            is_relay: Whether this node is a relay.
        """
        if not is_relay:
            link.send(Redirect(addresses=()))
            link.close()
            return
        link.send(self.hello())
        self._register(link, hello)

    def send_all(self, message: Message) -> None:
        """Sends a message on every open link."""
        for link in tuple(self.by_node.values()):
            link.send(message)

    def link_opened(self, link: Link) -> None:
        """Sends the first message on a link that this node dialled."""
        link.send(self.hello())

    def link_message(self, link: Link, message: Message) -> None:
        """Handles a message from another relay."""
        if isinstance(message, Hello):
            self._register(link, message)
            return
        if isinstance(message, Redirect):
            link.close()
            return
        self.on_message(link, message)

    def link_closed(self, link: Link) -> None:
        """Removes a link and schedules another attempt."""
        now = self.clock.seconds()
        for dialling in self.dialling.values():
            if dialling.link is link:
                dialling.link = None
                dialling.retry_at = now + dialling.backoff.next_delay()
        if self.by_node.get(link.node) is link:
            del self.by_node[link.node]
            self.on_closed(link)

    def _dial_if_due(self, other: str, address: str, now: float) -> None:
        dialling = self.dialling.get(other)
        if dialling is None:
            dialling = self.dialling[other] = _DialState(address, self.rng)
        if dialling.link is None and now >= dialling.retry_at:
            dialling.link = self.dial(address, self)

    def _stop_dialling(self, other: str) -> None:
        dialling = self.dialling.pop(other)
        if dialling.link is not None:
            dialling.link.close()

    def _register(self, link: Link, hello: Hello) -> None:
        previous = self.by_node.get(hello.node)
        link.node = hello.node
        link.data_centre = hello.data_centre
        self.by_node[hello.node] = link
        if previous is not None and previous is not link:
            previous.close()
        if hello.node in self.dialling:
            self.dialling[hello.node].backoff.reset()
        self.on_open(link, hello)
