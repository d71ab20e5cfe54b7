"""Connections to targets and to other nodes, and exchanges on them."""

import collections
import enum

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from fulmarrudder.call.answer import AnswerSink
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.codec import (
    ResponseDecoder,
    encode_end,
    encode_part,
    encode_request,
)
from fulmarrudder.call.errors import CallError, ConnectError, ProtocolError
from fulmarrudder.call.message import (
    BodyEnd,
    BodyPart,
    Continue,
    Framing,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.outlet import Outlet

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT = 16
IDLE_S = 20.0
FRESH_S = 1.0
# Events of an answer that are held before reading stops: a read of a socket
# yields a few, of 64 KB at most.
HELD_EVENTS = 4


class BrokenError(CallError):
    """The connection was lost after the request was sent."""


class Ended(enum.Enum):
    """How an exchange ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    CANCELLED = "cancelled"


@implementer(IPushProducer)
class Exchange:
    """One request and its answer on one connection.

    Attributes:
        begun: Deferred of the `ResponseHead`; fails with `BrokenError`.
        head: The response head once it has come.
        on_end: Called once with an `Ended`.
    """

    __slots__ = (
        "begun",
        "body",
        "body_sent",
        "connection",
        "framing",
        "head",
        "held",
        "on_end",
        "paused",
        "sink",
        "waits",
    )

    def __init__(self, connection, head, body: RequestBody | None, waits):
        self.connection = connection
        self.framing = head.framing
        self.body = body
        self.body_sent = head.framing is Framing.NONE
        self.waits = waits
        self.begun: Deferred = Deferred(lambda _: self.cancel())
        self.head: ResponseHead | None = None
        self.sink: AnswerSink | None = None
        self.held: list = []
        self.on_end = None
        self.paused = False

    def stream_to(self, sink: AnswerSink) -> None:
        """Sends the answer's body to a sink."""
        self.sink = sink
        sink.take_producer(self)
        held, self.held = self.held, []
        for event in held:
            self.deliver(event)
        self.resumeProducing()

    def hold(self) -> None:
        """Takes the answer's body away from its sink, to give it another."""
        self.sink = None

    def cancel(self) -> None:
        """Gives the exchange up and closes its connection."""
        connection = self.connection
        self._detach()
        if connection is not None:
            connection.exchange = None
            connection.transport.abortConnection()
        self._tell_end(Ended.CANCELLED)

    def abandon(self) -> None:
        """Closes the connection, as if the other side had."""
        if self.connection is not None:
            self.connection.transport.abortConnection()

    def start_body(self) -> None:
        """Sends the body."""
        if self.body_sent or self.body is None or self.body.sink is self:
            return
        self.connection.transport.registerProducer(self.body, True)
        self.body.attach(self)

    def take_part(self, data: bytes) -> None:
        """Sends a piece of the request's body."""
        if self.connection is not None:
            data = encode_part(self.framing, data)
            self.connection.outlet.write(data)

    def take_end(self) -> None:
        """Sends the end of the request's body."""
        if self.connection is None or self.body_sent:
            return
        self.body_sent = True
        end = encode_end(self.framing)
        self.connection.outlet.send(end)
        self.connection.transport.unregisterProducer()

    def take_lost(self) -> None:
        """Gives up a request whose body will not be whole."""
        if self.connection is not None:
            self.connection.transport.abortConnection()

    def receive(self, event) -> None:
        """Takes an event of the connection's decoder."""
        if isinstance(event, Continue):
            if self.waits:
                self.waits = False
                self.start_body()
            return
        if isinstance(event, ResponseHead):
            self.head = event
            self.begun.callback(event)
            return
        if isinstance(event, BodyEnd):
            self._finish()
        self.deliver(event)

    def deliver(self, event) -> None:
        """Passes an event on to the sink, or holds it until there is one."""
        if self.sink is None:
            self.held.append(event)
            if len(self.held) > HELD_EVENTS:
                self.pauseProducing()
            return
        if isinstance(event, BodyPart):
            self.sink.take_part(event.data)
            return
        self.sink.take_producer(None)
        if isinstance(event, BodyEnd):
            self.sink.take_end()
            return
        self.sink.take_broken()

    def lost(self) -> None:
        """Learns that the connection was lost."""
        self._detach()
        self._tell_end(Ended.BROKEN)
        if self.head is None:
            self.begun.errback(BrokenError("connection lost"))
            return
        self.deliver(BrokenError("connection lost"))

    def _finish(self) -> None:
        self.resumeProducing()
        connection = self.connection
        reusable = self.body_sent and self.head.keep_alive
        self._detach()
        self._tell_end(Ended.WHOLE)
        if connection is not None:
            connection.finished(reusable)

    def _tell_end(self, ended: Ended) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(ended)

    def _detach(self) -> None:
        if self.body is not None and self.body.sink is self:
            self.body.detach()
            if not self.body_sent and self.connection is not None:
                self.connection.transport.unregisterProducer()
        self.connection = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Stops reading the answer."""
        if self.connection is not None and not self.paused:
            self.paused = True
            self.connection.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Reads the answer again."""
        if self.connection is not None and self.paused:
            self.paused = False
            self.connection.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Gives the exchange up, as its sink is gone."""
        self.cancel()


class Connection(Protocol):
    """A connection that carries one exchange at a time.

    Attributes:
        exchange: The exchange under way, or None.
        idle_until: Clock seconds after which it is closed when idle.
    """

    def __init__(self, pool, address: str):
        self.pool = pool
        self.address = address
        self.decoder = ResponseDecoder()
        self.exchange: Exchange | None = None
        self.idle_until = 0.0
        self.outlet: Outlet | None = None

    def connectionMade(self):  # noqa: N802
        """Sends small writes at once."""
        self.transport.setTcpNoDelay(True)
        self.outlet = Outlet(self.transport, self.pool.reactor)

    def start(
        self,
        head: RequestHead,
        body: RequestBody | None,
        *,
        waits: bool = False,
    ) -> Exchange:
        """Starts an exchange.

        Args:
            head: Head to send.
            body: Body to send after it.
            waits: Whether to hold the body back until the other side says
                that it is ready.
        """
        exchange = Exchange(self, head, body, waits)
        self.exchange = exchange
        self.decoder.bodiless = head.method == b"HEAD"
        if exchange.body_sent:
            self.outlet.send(encode_request(head))
            return exchange
        self.outlet.write(encode_request(head))
        if not waits:
            exchange.start_body()
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

    def connectionLost(self, reason):  # noqa: N802
        """Ends the exchange under way."""
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


class Pool:
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
        endpoint = TCP4ClientEndpoint(
            self.reactor, host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        factory = Factory.forProtocol(lambda: Connection(self, address))
        factory.noisy = False
        try:
            connection = await endpoint.connect(factory)
        except Exception as error:
            raise ConnectError(address) from error
        return connection

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
