"""Links between nodes: websockets with CBOR inside a Twisted protocol."""

import hmac
from typing import Protocol as Interface

from twisted.internet.protocol import Protocol
from websockets.client import ClientProtocol
from websockets.frames import Opcode
from websockets.http11 import Request
from websockets.protocol import State as SocketState
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.codec import decode, encode
from fulmarrudder.distribution.message import Message
from fulmarrudder.observe import Metrics, logs

MESSAGE_LIMIT = 32 * 1024 * 1024
PING_S = 2.0
SILENCE_S = 6.0
OPEN_LIMIT_S = 2.0
PATH = "/mesh"


class LinkHandler(Interface):
    """Takes what happens on links."""

    def link_opened(self, link: "Link") -> None:
        """Learns that a link is open."""

    def link_message(self, link: "Link", message: Message) -> None:
        """Takes a message."""

    def link_closed(self, link: "Link") -> None:
        """Learns that a link is closed, whether or not it was open."""


class Link(Protocol):
    """One side of a link.

    Attributes:
        dialled: Whether this side opened it.
        opened: Whether the handshake is done.
        node: Id of the node on the other side, once it is known.
        data_centre: The other node's, once it is known.
        alive_until: Clock seconds after which silence closes it.
    """

    def __init__(
        self,
        clock: Clock,
        handler: LinkHandler,
        token: bytes,
        metrics: Metrics,
        *,
        address: str = "",
    ):
        self.clock = clock
        self.handler = handler
        self.token = token
        self.metrics = metrics
        self.address = address
        self.dialled = bool(address)
        self.opened = False
        self.closed = False
        self.node = ""
        self.data_centre = ""
        self.alive_until = 0.0
        self.timer = None
        if self.dialled:
            uri = parse_uri(f"ws://{address}{PATH}")
            self.socket = ClientProtocol(uri, max_size=MESSAGE_LIMIT)
        else:
            self.socket = ServerProtocol(max_size=MESSAGE_LIMIT)

    def connectionMade(self):  # noqa: N802
        """Starts the handshake."""
        self.transport.setTcpNoDelay(True)
        self.alive_until = self.clock.seconds() + OPEN_LIMIT_S
        self.timer = self.clock.callLater(PING_S, self._beat)
        if self.dialled:
            request = self.socket.connect()
            request.headers["Authorization"] = f"Bearer {self.token.decode()}"
            self.socket.send_request(request)
            self._flush()

    def dataReceived(self, data):  # noqa: N802
        """Takes bytes of the other side."""
        self.alive_until = self.clock.seconds() + SILENCE_S
        self._count("in", len(data))
        self.socket.receive_data(data)
        for event in self.socket.events_received():
            self._take(event)
            if self.closed:
                return
        self._flush()
        if not self.opened and self.dialled:
            self._note_open()

    def connectionLost(self, reason):  # noqa: N802
        """Tells the handler."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.closed:
            self.closed = True
            self.handler.link_closed(self)

    def send(self, message: Message) -> None:
        """Sends a message; does nothing once the link is closed."""
        if self.closed or not self.opened:
            return
        self.send_encoded(encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Sends a message that has been encoded, to many links alike."""
        if self.closed or self.socket.state is not SocketState.OPEN:
            return
        self.socket.send_binary(data)
        self._flush()

    def close(self) -> None:
        """Closes the link."""
        if not self.closed and self.transport is not None:
            self.transport.loseConnection()

    def _take(self, event) -> None:
        if isinstance(event, Request):
            self._accept(event)
            return
        if not self.opened:
            self._note_open()
        if getattr(event, "opcode", None) is Opcode.BINARY:
            self._take_message(event.data)

    def _accept(self, request: Request) -> None:
        shown = request.headers.get("Authorization", "").encode()
        if not hmac.compare_digest(shown, b"Bearer " + self.token):
            logs.warning("link-refused", reason="token")
            response = self.socket.reject(403, "token is wrong\n")
        else:
            response = self.socket.accept(request)
        self.socket.send_response(response)
        self._flush()
        self._note_open()

    def _note_open(self) -> None:
        if self.opened or self.socket.state is not SocketState.OPEN:
            return
        self.opened = True
        self.handler.link_opened(self)

    def _take_message(self, data: bytes) -> None:
        decoded = decode(bytes(data))
        if decoded.is_error():
            logs.warning(
                "link-message-refused", peer=self.node, error=decoded.error
            )
            self.close()
            return
        self.handler.link_message(self, decoded.ok)

    def _flush(self) -> None:
        for data in self.socket.data_to_send():
            if data:
                self._count("out", len(data))
                self.transport.write(data)
            else:
                self.transport.loseConnection()

    def _beat(self) -> None:
        self.timer = self.clock.callLater(PING_S, self._beat)
        if self.clock.seconds() > self.alive_until:
            self.transport.abortConnection()
            return
        if self.opened and self.socket.state is SocketState.OPEN:
            self.socket.send_ping(b"")
            self._flush()

    def _count(self, direction: str, size: int) -> None:
        self.metrics.count(
            "fulmarrudder_control_bytes_total",
            ("direction", direction),
            by=size,
        )
