"""Connections to targets and to other nodes, which carry exchanges."""

import collections

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.codec import ResponseDecoder, encode_request
from fulmarrudder.call.errors import ConnectError, ProtocolError
from fulmarrudder.call.exchange import Exchange
from fulmarrudder.call.message import (
    BodyEnd,
    Field,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.outlet import Outlet

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT = 16
IDLE_S = 20.0
FRESH_S = 1.0


class Connection(Protocol):
    """A connection that carries one exchange at a time.

    Attributes:
        exchange: The exchange under way, or None.
        idle_until: Clock seconds after which it is closed when idle.
        lost: Whether the connection is closed.
        made: Deferred that takes the connection once it is open.
    """

    def __init__(self, pool, address: str, made: Deferred):
        self.pool = pool
        self.address = address
        self.made = made
        self.decoder = ResponseDecoder()
        self.exchange: Exchange | None = None
        self.idle_until = 0.0
        self.lost = False
        self.outlet: Outlet | None = None

    def connectionMade(self):  # noqa: N802
        """Sends small writes at once."""
        self.transport.setTcpNoDelay(True)
        self.outlet = Outlet(self.transport, self.pool.reactor)
        if self.made.called:
            self.transport.abortConnection()
            return
        self.made.callback(self)

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
            fields: Fields that this hop adds to the head.
            expect_continue: Whether to hold the body back until the other side says
                that it is ready.
        """
        clock = self.pool.reactor
        exchange = Exchange(self, head, body, expect_continue, clock=clock)
        self.exchange = exchange
        self.decoder.bodiless = head.method == b"HEAD"
        if exchange.body_sent:
            self.outlet.send(encode_request(head, fields))
            return exchange
        self.outlet.cork()
        self.outlet.write(encode_request(head, fields))
        if not expect_continue:
            exchange.start_body()
        self.outlet.uncork()
        return exchange

    def dataReceived(self, data):  # noqa: N802
        """Decodes what came."""
        try:
            events = self.decoder.feed(data)
        except ProtocolError:
            self.transport.abortConnection()
            return
        for event in events:
            exchange = self.exchange
            if exchange is None:
                self.transport.abortConnection()
                return
            exchange.receive(event)
            if self.decoder.bodiless and isinstance(event, ResponseHead):
                exchange.receive(BodyEnd())
        if self.exchange is not None:
            self.exchange.deliver_head()

    def connectionLost(self, reason):  # noqa: N802
        """Ends the exchange under way."""
        self.lost = True
        self.pool.forget(self)
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        clean = reason.check(ConnectionDone) is not None
        if self.decoder.closing and exchange.head is not None and clean:
            exchange.receive(BodyEnd())
            return
        exchange.lost()

    def finished(self, reusable: bool) -> None:
        """Takes the connection back after an exchange."""
        self.exchange = None
        if not reusable or self.decoder.bodiless or self.decoder.closing:
            self.pool.forget(self)
            self.transport.loseConnection()
            return
        self.pool.give_back(self)


class _Dial(ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, pool: "ConnectionPool", address: str):
        self.pool = pool
        self.address = address
        self.made: Deferred = Deferred()

    def buildProtocol(self, addr):  # noqa: N802
        """Builds the connection."""
        return Connection(self.pool, self.address, self.made)

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        """Learns that there will be none."""
        if not self.made.called:
            self.made.errback(reason)


class ConnectionPool:
    """Keeps idle connections by address.

    Attributes:
        idle: Idle connections by address, the latest used last.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.idle: dict[str, list[Connection]] = collections.defaultdict(list)
        self.closed = False

    async def take(self, address: str, *, fresh: bool = False) -> Connection:
        """Takes a connection to an address.

        Args:
            address: host:port.
            fresh: Whether only a connection used moments ago will do, since
                a request that must not be repeated cannot risk one that the
                other side is about to close.

        Returns:
            A connection with no exchange on it.

        Raises:
            ConnectError: None could be made.
        """
        now = self.reactor.seconds()
        least = now + IDLE_S - FRESH_S if fresh else now
        idle = self.idle[address]
        while idle:
            connection = idle.pop()
            if connection.idle_until >= least:
                return connection
            connection.transport.loseConnection()
        return await self._connect(address)

    async def _connect(self, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        dial = _Dial(self, address)
        connector = self.reactor.connectTCP(
            host, int(port), dial, timeout=CONNECT_TIMEOUT_S
        )
        try:
            return await dial.made
        except CancelledError:
            connector.stopConnecting()
            raise
        except Exception as error:
            raise ConnectError(address) from error

    def give_back(self, connection: Connection) -> None:
        """Takes an idle connection back."""
        idle = self.idle[connection.address]
        if self.closed or len(idle) >= IDLE_LIMIT:
            connection.transport.loseConnection()
            return
        connection.idle_until = self.reactor.seconds() + IDLE_S
        idle.append(connection)

    def forget(self, connection: Connection) -> None:
        """Forgets a connection that is closed."""
        idle = self.idle[connection.address]
        if connection in idle:
            idle.remove(connection)

    def sweep(self) -> None:
        """Closes connections that have been idle too long."""
        now = self.reactor.seconds()
        for address in tuple(self.idle):
            for connection in tuple(self.idle[address]):
                if connection.idle_until < now:
                    connection.transport.loseConnection()
            if not self.idle[address]:
                del self.idle[address]

    def close(self) -> None:
        """Closes idle connections and keeps none from now on."""
        self.closed = True
        for connections in self.idle.values():
            for connection in tuple(connections):
                connection.transport.loseConnection()
