"""Links between nodes: CBOR messages over WebSocket, on Twisted."""

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
from fulmarrudder.distribution.keepalive import Keepalive
from fulmarrudder.distribution.message import Message
from fulmarrudder.observe import Metrics, logs

MAX_MESSAGE_BYTES = 32 * 1024 * 1024
IDLE_TIMEOUT_S = 6.0
HANDSHAKE_TIMEOUT_S = 2.0
LINK_PATH = "/mesh"


class LinkHandler(Interface):
    """Receives the events of links."""

    def link_opened(self, link: "Link") -> None:
        """Called when a link has opened."""

    def link_message(self, link: "Link", message: Message) -> None:
        """Called with each received message."""

    def link_closed(self, link: "Link") -> None:
        """Called when a link has closed, or has failed to open."""


class Link(Protocol):
    """One side of a link.

    Attributes:
        dialled: Whether this side opened the link.
        opened: Whether the handshake is complete.
        closed: Whether the link has closed.
        node: Id of the node on the other side; empty until its first message.
        data_centre: Data centre of that node; empty until its first message.
        leads_afar: Whether that node is in another data centre.
        protocol: Messages that the node understands; 0 until its first
            message.
        idle_deadline: Clock seconds at which the link is closed unless bytes
            arrive earlier.
        has_sent: Whether bytes were sent since the last `keep_alive`.
        has_received: Whether bytes arrived since the last `keep_alive`.
        handshake_timer: Ends a handshake that takes too long.
    """

    def __init__(
        self,
        clock: Clock,
        handler: LinkHandler,
        token: bytes,
        metrics: Metrics,
        *,
        keepalive: Keepalive,
        address: str = "",
    ):
        self.clock = clock
        self.handler = handler
        self.token = token
        self.metrics = metrics
        self.keepalive = keepalive
        self.address = address
        self.dialled = bool(address)
        self.opened = False
        self.closed = False
        self.node = ""
        self.data_centre = ""
        self.protocol = 0
        self.leads_afar = False
        self.idle_deadline = 0.0
        self.has_sent = False
        self.has_received = False
        self.handshake_timer = None
        if self.dialled:
            uri = parse_uri(f"ws://{address}{LINK_PATH}")
            self.websocket = ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES)
        else:
            self.websocket = ServerProtocol(max_size=MAX_MESSAGE_BYTES)

    def connectionMade(self):  # noqa: N802
        """Starts the WebSocket handshake."""
        self.transport.setTcpNoDelay(True)
        self.handshake_timer = self.clock.callLater(
            HANDSHAKE_TIMEOUT_S, self.transport.abortConnection
        )
        if self.dialled:
            request = self.websocket.connect()
            request.headers["Authorization"] = f"Bearer {self.token.decode()}"
            self.websocket.send_request(request)
            self._flush()

    def dataReceived(self, data):  # noqa: N802
        """Processes received bytes."""
        self.idle_deadline = self.clock.seconds() + IDLE_TIMEOUT_S
        self.has_received = True
        self._count_bytes("in", len(data))
        self.websocket.receive_data(data)
        for event in self.websocket.events_received():
            self._handle_event(event)
            if self.closed:
                return
        self._flush()
        if not self.opened and self.dialled:
            self._mark_open()

    def connectionLost(self, reason):  # noqa: N802
        """Stops the pings and notifies the handler."""
        self.keepalive.discard(self)
        self._cancel_handshake_timer()
        if not self.closed:
            self.closed = True
            self.handler.link_closed(self)

    def send(self, message: Message) -> None:
        """Sends a message; does nothing unless the link is open."""
        if self.closed or not self.opened:
            return
        self.send_encoded(encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Sends an encoded message; does nothing unless the link is open.

        A message for several links is encoded only once this way.
        """
        if self.closed or self.websocket.state is not SocketState.OPEN:
            return
        self.websocket.send_binary(data)
        self._flush()

    def close(self) -> None:
        """Closes the link; the handler is notified later."""
        if not self.closed and self.transport is not None:
            self.transport.loseConnection()

    def keep_alive(self) -> None:
        """Closes the link if it is dead; pings the other side if it is idle.

        One side pings, the one that dialled: the ping and its answer put off
        the idle deadlines of both. It pings unless bytes went both ways, as
        each side counts only those that it receives.
        """
        if self.clock.seconds() > self.idle_deadline:
            self.transport.abortConnection()
            return
        is_idle = not (self.has_sent and self.has_received)
        if (
            self.dialled
            and is_idle
            and self.websocket.state is SocketState.OPEN
        ):
            self.websocket.send_ping(b"")
            self._flush()
        self.has_sent = self.has_received = False

    def _handle_event(self, event) -> None:
        if isinstance(event, Request):
            self._accept_handshake(event)
            return
        if not self.opened:
            self._mark_open()
        if getattr(event, "opcode", None) is Opcode.BINARY:
            self._deliver(event.data)

    def _accept_handshake(self, request: Request) -> None:
        authorization = request.headers.get("Authorization", "").encode()
        if not hmac.compare_digest(authorization, b"Bearer " + self.token):
            logs.warning("link-refused", reason="token")
            response = self.websocket.reject(403, "token is wrong\n")
        else:
            response = self.websocket.accept(request)
        self.websocket.send_response(response)
        self._flush()
        self._mark_open()

    def _mark_open(self) -> None:
        if self.opened or self.websocket.state is not SocketState.OPEN:
            return
        self.opened = True
        self._cancel_handshake_timer()
        self.keepalive.add(self)
        self.handler.link_opened(self)

    def _deliver(self, data: bytes) -> None:
        decoded = decode(bytes(data))
        if decoded.is_error():
            logs.warning(
                "link-message-refused", peer=self.node, error=decoded.error
            )
            self.close()
            return
        self.handler.link_message(self, decoded.ok)

    def _flush(self) -> None:
        for data in self.websocket.data_to_send():
            if data:
                self.has_sent = True
                self._count_bytes("out", len(data))
                self.transport.write(data)
            else:
                self.transport.loseConnection()

    def _cancel_handshake_timer(self) -> None:
        timer = self.handshake_timer
        if timer is not None and timer.active():
            timer.cancel()

    def _count_bytes(self, direction: str, size: int) -> None:
        self.metrics.count(
            "fulmarrudder_control_bytes_total",
            ("direction", direction),
            by=size,
        )
        if self.leads_afar:
            self.metrics.count(
                "fulmarrudder_data_centre_bytes_total",
                ("kind", f"control-{direction}"),
                by=size,
            )
