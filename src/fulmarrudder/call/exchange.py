"""One request and its answer, on one connection."""

import enum
from functools import singledispatch

from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from fulmarrudder.call.answer import AnswerSink
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.codec import encode_end, encode_part
from fulmarrudder.call.errors import CallError
from fulmarrudder.call.message import (
    BodyEnd,
    BodyPart,
    Continue,
    Framing,
    ResponseHead,
)

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
        head_ready: Deferred of the `ResponseHead`; fails with `BrokenError`. It
            fires after the pieces of the body that came with the head have
            been taken, and before the end has.
        head: The response head once it has come.
        on_end: Called once with an `Ended`.
        told: Whether `head_ready` has been fired with the head.
    """

    __slots__ = (
        "head_ready",
        "body",
        "body_sent",
        "clock",
        "connection",
        "framing",
        "head",
        "held",
        "on_end",
        "paused",
        "sink",
        "timer",
        "told",
        "expect_continue",
    )

    def __init__(
        self,
        connection,
        head,
        body: RequestBody | None,
        expect_continue,
        *,
        clock,
    ):
        self.clock = clock
        self.connection = connection
        self.framing = head.framing
        self.body = body
        self.body_sent = head.framing is Framing.NONE
        self.expect_continue = expect_continue
        self.head_ready: Deferred = Deferred(lambda _: self.cancel())
        self.head: ResponseHead | None = None
        self.sink: AnswerSink | None = None
        self.held: list = []
        self.on_end = None
        self.paused = False
        self.told = False
        self.timer = None

    def until(self, deadline: float) -> Deferred:
        """Waits for the answer's head until a deadline.

        Args:
            deadline: Clock seconds after which the exchange is given up.

        Returns:
            `head_ready`, which then fails with `TimeoutError`.
        """
        if not self.head_ready.called:
            left = max(0.0, deadline - self.clock.seconds())
            self.timer = self.clock.callLater(left, self._expire)
        return self.head_ready

    def _expire(self) -> None:
        self.timer = None
        self.cancel()
        self.head_ready.errback(TimeoutError("no answer in time"))

    def _stop_timer(self) -> None:
        timer, self.timer = self.timer, None
        if timer is not None:
            timer.cancel()

    def deliver_head(self) -> None:
        """Tells the head that has come, once."""
        if self.told or self.head is None:
            return
        self.told = True
        self._stop_timer()
        if not self.head_ready.called:
            self.head_ready.callback(self.head)

    def take_whole(self) -> bytes | None:
        """Takes the answer's body if all of it came with the head.

        Returns:
            The body, or None when it has to be streamed.
        """
        if self.sink is not None or self.head.framing is not Framing.LENGTH:
            return None
        data = b"".join(part.data for part in self.held)
        if len(data) != self.head.length:
            return None
        self.held = []
        self.sink = NULL_SINK
        return data

    def stream_to(self, sink: AnswerSink) -> None:
        """Sends the answer's body to a sink."""
        self.sink = sink
        sink.set_producer(self)
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
        self._stop_timer()
        self._detach()
        if connection is not None:
            connection.exchange = None
            connection.transport.abortConnection()
        self._tell_end(Ended.CANCELLED)

    def drop_connection(self) -> None:
        """Closes the connection, as if the other side had."""
        if self.connection is not None:
            self.connection.transport.abortConnection()

    def start_body(self) -> None:
        """Sends the body."""
        if self.body_sent or self.body is None or self.body.sink is self:
            return
        self.connection.transport.registerProducer(self.body, True)
        self.body.attach(self)

    def write_part(self, data: bytes) -> None:
        """Sends a piece of the request's body."""
        if self.connection is not None:
            data = encode_part(self.framing, data)
            self.connection.outlet.write(data)

    def write_end(self) -> None:
        """Sends the end of the request's body."""
        if self.connection is None or self.body_sent:
            return
        self.body_sent = True
        end = encode_end(self.framing)
        self.connection.outlet.send(end)
        self.connection.transport.unregisterProducer()

    def abort_request(self) -> None:
        """Gives up a request whose body will not be whole."""
        if self.connection is not None:
            self.connection.transport.abortConnection()

    def receive(self, event) -> None:
        """Takes an event of the connection's decoder."""
        _receive(event, self)

    def deliver(self, event) -> None:
        """Passes an event on to the sink, or holds it until there is one."""
        if self.sink is not None:
            _deliver(event, self.sink)
            return
        self.held.append(event)
        if len(self.held) > HELD_EVENTS:
            self.pauseProducing()

    def lost(self) -> None:
        """Learns that the connection was lost."""
        self._stop_timer()
        self._detach()
        self._tell_end(Ended.BROKEN)
        if not self.told:
            self.head_ready.errback(BrokenError("connection lost"))
            return
        self.deliver(BrokenError("connection lost"))

    def finish(self) -> None:
        """Ends the exchange, as its answer has come whole."""
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


@singledispatch
def _receive(event, exchange: Exchange) -> None:
    raise TypeError(f"not an event: {type(event).__name__}")


@_receive.register
def _(event: Continue, exchange: Exchange) -> None:
    if exchange.expect_continue:
        exchange.expect_continue = False
        exchange.start_body()


@_receive.register
def _(event: ResponseHead, exchange: Exchange) -> None:
    exchange.head = event


@_receive.register
def _(event: BodyPart, exchange: Exchange) -> None:
    exchange.deliver(event)


@_receive.register
def _(event: BodyEnd, exchange: Exchange) -> None:
    exchange.deliver_head()
    exchange.finish()
    exchange.deliver(event)


@singledispatch
def _deliver(event, sink: AnswerSink) -> None:
    raise TypeError(f"not an event: {type(event).__name__}")


@_deliver.register
def _(event: BodyPart, sink: AnswerSink) -> None:
    sink.write_part(event.data)


@_deliver.register
def _(event: BodyEnd, sink: AnswerSink) -> None:
    sink.set_producer(None)
    sink.write_end()


@_deliver.register
def _(event: BrokenError, sink: AnswerSink) -> None:
    sink.set_producer(None)
    sink.abort_answer()


class _Nowhere:
    """A sink for what is left of an answer whose body is at hand."""

    def set_producer(self, producer) -> None:
        """Takes nothing."""

    def write_part(self, data: bytes) -> None:
        """Drops a piece."""

    def write_end(self) -> None:
        """Drops the end."""

    def abort_answer(self) -> None:
        """Drops the loss."""


NULL_SINK = _Nowhere()
