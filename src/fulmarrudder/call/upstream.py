"""Upstream connection pool: connections to targets and to other nodes."""

import collections
import math
import socket

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.codec import ResponseDecoder, encode_request
from fulmarrudder.call.errors import ConnectError, ProtocolError
from fulmarrudder.call.exchange import Exchange
from fulmarrudder.call.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from fulmarrudder.call.host_report import request_id_of
from fulmarrudder.call.message import (
    BodyEnd,
    Field,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.write_buffer import WriteBuffer
from fulmarrudder.observe import EventLog, Metrics

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_PER_ADDRESS = 16
IDLE_TIMEOUT_S = 20.0
RECENT_USE_S = 1.0


class Connection(Protocol):
    """A connection that carries one exchange at a time.

    Attributes:
        exchange: The exchange in progress, or None.
        idle_until: Clock seconds after which it is closed when idle; 0 before
            it was idle for the first time.
        lost: Whether the connection is closed.
        dropped: Whether it was closed because of the bytes it received.
        opened: Deferred that fires with the connection once it is open.
        request_head: Head of the request sent last, or None.
        uses: Exchanges started so far.
        started_at: Clock seconds at which the last one was started.
    """

    def __init__(self, pool, address: str, opened: Deferred):
        self.pool = pool
        self.address = address
        self.opened = opened
        self.decoder = ResponseDecoder()
        self.exchange: Exchange | None = None
        self.idle_until = 0.0
        self.lost = False
        self.dropped = False
        self.write_buffer: WriteBuffer | None = None
        self.request_head: RequestHead | None = None
        self.uses = 0
        self.started_at = 0.0

    def connectionMade(self):  # noqa: N802
        """Disables Nagle's algorithm and reports the connection as open."""
        self.transport.setTcpNoDelay(True)
        self.write_buffer = WriteBuffer(self.transport, self.pool.reactor)
        if self.opened.called:
            self.transport.abortConnection()
            return
        self.opened.callback(self)

    def start(
        self,
        head: RequestHead,
        body: RequestBody | None,
        fields: tuple[Field, ...] = (),
        *,
        expect_continue: bool = False,
    ) -> Exchange:
        """Starts an exchange.

        Args:
            head: Head to send.
            body: Body to send after it.
            fields: Header fields that this hop adds to the head.
            expect_continue: Whether to hold the body back until the peer
                sends a 100 Continue.
        """
        clock = self.pool.reactor
        exchange = Exchange(self, head, body, expect_continue, clock=clock)
        exchange.may_be_stale = self.idle_until > 0
        self.exchange = exchange
        self.decoder.expected += 1
        self.request_head = head
        self.uses += 1
        self.started_at = clock.seconds()
        self.decoder.bodiless = head.method == b"HEAD"
        if exchange.body_sent:
            self.write_buffer.send(encode_request(head, fields))
            return exchange
        self.write_buffer.cork()
        self.write_buffer.write(encode_request(head, fields))
        if not expect_continue:
            exchange.start_body()
        self.write_buffer.uncork()
        return exchange

    def has_unread_input(self) -> bool:
        """Returns whether a close or bytes wait to be read.

        The reactor reports them in its next iteration only. On an idle
        connection, either means that it cannot be used.
        """
        if not hasattr(self.transport, "getHandle"):
            return False
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            # Reset by the peer.
            return True
        return True

    def dataReceived(self, data):  # noqa: N802
        """Decodes received bytes into events of the exchange."""
        if self.exchange is None:
            self.drop("bytes without a request")
            return
        self.exchange.may_be_stale = False
        error = None
        try:
            events = self.decoder.feed(data)
        except ProtocolError as caught:
            # The answer may be complete, and the error in what follows it.
            events, error = self.decoder.take_events(), str(caught)
        for event in events:
            if self.exchange is None:
                break
            self.exchange.receive(event)
            if self.decoder.bodiless and isinstance(event, ResponseHead):
                self.exchange.receive(BodyEnd())
        if self.exchange is not None:
            self.exchange.deliver_head()
        if error is not None:
            self.drop(error)

    def drop(self, reason: str) -> None:
        """Closes the connection at once; it is not used again.

        Args:
            reason: Why, for the log.
        """
        if self.dropped:
            return
        self.dropped = True
        self.pool.discard(self)
        self.pool.log_dropped(self.address, reason)
        self.transport.abortConnection()

    def close(self) -> None:
        """Closes the connection, on which no answer is due."""
        self.write_buffer.close_without_waiting()

    def connectionLost(self, reason):  # noqa: N802
        """Ends the exchange in progress."""
        self.lost = True
        self.decoder.release()
        self.pool.discard(self)
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        self._report_loss(exchange, reason)
        is_clean = (
            reason.check(ConnectionDone) is not None
            and not self.write_buffer.failed
        )
        if (
            self.decoder.is_close_delimited
            and exchange.head is not None
            and is_clean
        ):
            exchange.receive(BodyEnd())
            return
        exchange.connection_lost()

    def _report_loss(self, exchange: Exchange, reason) -> None:
        now = self.pool.reactor.seconds()
        kind = (reason.type, self.uses > 1)
        if not self.pool.events.allow(now, "connection-lost", kind):
            return
        self.pool.events.write(
            "connection-lost",
            kind,
            request=request_id_of(self.request_head, self.pool.header_names),
            address=self.address,
            cause=reason.type.__name__,
            uses=self.uses,
            sent_ms_ago=round((now - self.started_at) * 1000, 1),
            head_received=exchange.head is not None,
            body_sent=exchange.body_sent,
        )

    def exchange_done(self, is_reusable: bool) -> None:
        """Returns the connection to the pool if it is reusable."""
        self.exchange = None
        decoder = self.decoder
        if decoder.is_spoiled:
            self.drop("bytes after the answer")
            return
        if not is_reusable or decoder.bodiless or decoder.is_close_delimited:
            self.pool.discard(self)
            self.close()
            return
        self.pool.release(self)


class _ConnectionFactory(ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, pool: "ConnectionPool", address: str):
        self.pool = pool
        self.address = address
        self.opened: Deferred = Deferred()

    def buildProtocol(self, addr):  # noqa: N802
        """Builds the connection."""
        return Connection(self.pool, self.address, self.opened)

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        """Reports that the connection could not be opened."""
        if not self.opened.called:
            self.opened.errback(reason)


class ConnectionPool:
    """Pools idle connections by address.

    Attributes:
        idle: Idle connections by address, the most recently used last.
    """

    def __init__(
        self,
        reactor,
        *,
        header_names: HeaderNames = DEFAULT_HEADER_NAMES,
        events: EventLog | None = None,
    ):
        self.reactor = reactor
        self.header_names = header_names
        self.events = events or EventLog(Metrics())
        self.idle: dict[str, list[Connection]] = collections.defaultdict(list)
        self.closed = False

    async def acquire(
        self,
        address: str,
        *,
        recently_used: bool = False,
        new: bool = False,
        deadline: float = math.inf,
    ) -> Connection:
        """Returns a pooled or a new connection to an address.

        Args:
            address: host:port.
            recently_used: Whether to reuse only a connection that was in use
                within the last second and that the peer has not closed. The
                peer may be about to close one that was idle for longer, and a
                request that must not be repeated cannot take that risk.
            new: Whether to open a new connection, and close the idle ones: the
                peer has closed one that was in use more recently.
            deadline: Clock seconds after which no connection is needed.

        Returns:
            A connection without an exchange; the pool no longer holds it.

        Raises:
            ConnectError: No connection could be opened, or not in time.
        """
        if new:
            self._close_idle(address)
        now = self.reactor.seconds()
        earliest_idle_until = (
            now + IDLE_TIMEOUT_S - RECENT_USE_S if recently_used else now
        )
        idle = self.idle[address]
        while idle:
            connection = idle.pop()
            if connection.idle_until < earliest_idle_until:
                connection.close()
                continue
            if recently_used and connection.has_unread_input():
                connection.close()
                continue
            return connection
        return await self._connect(address, deadline)

    def _close_idle(self, address: str) -> None:
        for connection in self.idle.pop(address, []):
            connection.transport.loseConnection()

    async def _connect(self, address: str, deadline: float) -> Connection:
        host, _, port = address.rpartition(":")
        factory = _ConnectionFactory(self, address)
        left_s = max(0.0, deadline - self.reactor.seconds())
        connector = self.reactor.connectTCP(
            host, int(port), factory, timeout=min(CONNECT_TIMEOUT_S, left_s)
        )
        try:
            return await factory.opened
        except CancelledError:
            connector.stopConnecting()
            raise
        except Exception as error:
            raise ConnectError(address) from error

    def release(self, connection: Connection) -> None:
        """Returns an idle connection to the pool."""
        idle = self.idle[connection.address]
        if self.closed or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_until = self.reactor.seconds() + IDLE_TIMEOUT_S
        idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """Removes a closed connection from the pool."""
        idle = self.idle[connection.address]
        if connection in idle:
            idle.remove(connection)

    def log_dropped(self, address: str, reason: str) -> None:
        """Logs that a connection was closed because of received bytes."""
        now = self.reactor.seconds()
        self.events.info(
            now, "connection-dropped", reason, peer=address, reason=reason
        )

    def sweep(self) -> None:
        """Closes connections whose idle timeout has passed."""
        now = self.reactor.seconds()
        for address in tuple(self.idle):
            for connection in tuple(self.idle[address]):
                if connection.idle_until < now:
                    connection.close()
            if not self.idle[address]:
                del self.idle[address]

    def close(self) -> None:
        """Closes idle connections; released ones are then closed as well."""
        self.closed = True
        for connections in self.idle.values():
            for connection in tuple(connections):
                connection.close()
