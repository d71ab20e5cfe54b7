"""Exchange of a request and its answer on a connection."""

import enum
import math
from collections.abc import Callable
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

# Decoded events of an answer that are buffered without a sink before reading
# pauses. One read of a socket yields one part, of 64 KB at most.
MAX_BUFFERED_EVENTS = 1
# How long after its deadline an answer with a head may still be completed. The
# sink of a small answer gives up at the deadline itself.
BODY_GRACE_S = 0.1
# A receiver that gives up at its own deadline may be heard a little before the
# deadline of the exchange.
DEADLINE_MARGIN_S = 0.05
# Limits of a body that is read only so that its connection can be used again.
# Beyond them, a new connection costs less.
MAX_DISCARDED_BYTES = 16_384
DISCARD_TIMEOUT_S = 0.25


class ConnectionLostError(CallError):
    """The connection was lost after the request was sent."""


class StaleConnectionError(ConnectionLostError):
    """A kept connection was lost before any byte of the answer.

    The other side may have closed it before it read the request.
    """


class ExchangeEnd(enum.Enum):
    """How an exchange ended.

    Attributes:
        COMPLETE: The answer is complete.
        BROKEN: The connection was lost, or the answer was not complete in time.
        STALE: See `StaleConnectionError`.
        CANCELLED: The receiver gave the answer up, or did not read it, or the
            request was cut off.
    """

    COMPLETE = "whole"
    BROKEN = "broken"
    STALE = "stale"
    CANCELLED = "cancelled"


@implementer(IPushProducer)
class Exchange:
    """One request and its answer on one connection.

    Attributes:
        head_ready: Deferred of the `ResponseHead`; fails with
            `ConnectionLostError`. It fires after the parts of the body that
            were read together with the head, but before the end of the body
            is processed.
        head: The response head, or None before it is received.
        end: How it ended, or None before that.
        deadline: Clock seconds by which the answer should be complete.
        head_delivered: Whether `head_ready` was fired with the head.
        expect_continue: Whether the body waits for a 100 Continue.
        may_be_stale: Whether the connection was kept from an earlier exchange,
            and no byte has been received since the request was sent.
    """

    __slots__ = (
        "head_ready",
        "body",
        "body_sent",
        "clock",
        "connection",
        "deadline",
        "end",
        "end_callbacks",
        "framing",
        "head",
        "buffered",
        "paused",
        "sink",
        "timer",
        "head_delivered",
        "expect_continue",
        "may_be_stale",
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
        self.buffered: list = []
        self.end: ExchangeEnd | None = None
        self.end_callbacks: list[Callable[[ExchangeEnd], None]] = []
        self.deadline = math.inf
        self.paused = False
        self.head_delivered = False
        self.timer = None
        self.may_be_stale = False

    def wait_for_head(self, deadline: float) -> Deferred:
        """Waits for the answer's head until a deadline.

        The rest of the answer must arrive within `BODY_GRACE_S` after it, or
        the connection is closed and the answer ends incomplete.

        Args:
            deadline: Clock seconds after which the exchange is cancelled.

        Returns:
            `head_ready`, which fails with `TimeoutError` at the deadline.
        """
        self.deadline = deadline
        if not self.head_ready.called:
            left_s = max(0.0, deadline - self.clock.seconds())
            self.timer = self.clock.callLater(left_s, self._expire)
        return self.head_ready

    def call_at_end(self, callback: Callable[[ExchangeEnd], None]) -> None:
        """Calls back once when the exchange ends, or now if it has ended."""
        if self.end is not None:
            callback(self.end)
            return
        self.end_callbacks.append(callback)

    def _expire(self) -> None:
        self.timer = None
        if self.head_delivered:
            self.timer = self.clock.callLater(
                BODY_GRACE_S, self._cut_off, "answer not complete in time"
            )
            return
        self.cancel()
        self.head_ready.errback(TimeoutError("no answer in time"))

    def _cut_off(self, reason: str) -> None:
        self.timer = None
        self.connection.drop(reason)

    def _stop_timer(self) -> None:
        timer, self.timer = self.timer, None
        if timer is not None:
            timer.cancel()

    def deliver_head(self) -> None:
        """Fires `head_ready` once, if the head was received."""
        if self.head_delivered or self.head is None:
            return
        self.head_delivered = True
        if not self.head_ready.called:
            self.head_ready.callback(self.head)

    def take_complete_body(self) -> bytes | None:
        """Returns the answer's body if all of it was received with the head.

        Returns:
            The body, which is not streamed again, or None if it is incomplete
            or its length is not known.
        """
        if self.sink is not None or self.head.framing is not Framing.LENGTH:
            return None
        data = b"".join(part.data for part in self.buffered)
        if len(data) != self.head.length:
            return None
        self.buffered = []
        self.sink = NULL_SINK
        return data

    def stream_to(self, sink: AnswerSink) -> None:
        """Sends the answer's body to a sink."""
        self.sink = sink
        sink.set_producer(self)
        buffered, self.buffered = self.buffered, []
        for event in buffered:
            self.deliver(event)
        self.resumeProducing()

    def discard_body(self) -> None:
        """Discards the answer's body, and closes its connection if it is long.

        Only for an answer whose head is all that is needed.
        """
        if self.take_complete_body() is not None:
            return
        self._stop_timer()
        self.timer = self.clock.callLater(
            DISCARD_TIMEOUT_S, self._cut_off, "discarded body takes too long"
        )
        self.stream_to(_DiscardSink(self))

    def count_discarded(self, size: int) -> None:
        """Closes the connection if a discarded body is too large.

        Args:
            size: Bytes discarded so far.
        """
        if size > MAX_DISCARDED_BYTES and self.connection is not None:
            self.connection.drop("discarded body too large")

    def detach_sink(self) -> None:
        """Detaches the sink; the body is buffered until another is attached."""
        self.sink = None

    def cancel(self) -> None:
        """Cancels the exchange and closes its connection."""
        connection = self.connection
        latest_s = self.deadline - DEADLINE_MARGIN_S
        is_late = self.clock.seconds() >= latest_s and not self._is_excused()
        self._stop_timer()
        self._detach()
        if connection is not None:
            connection.exchange = None
            connection.transport.abortConnection()
        self._report_end(
            ExchangeEnd.BROKEN if is_late else ExchangeEnd.CANCELLED
        )

    def _is_excused(self) -> bool:
        """Returns whether the peer could not complete its answer."""
        return self.paused or (self.body is not None and self.body.lost)

    def start_body(self) -> None:
        """Starts sending the request's body."""
        if self.body_sent or self.body is None or self.body.sink is self:
            return
        self.connection.transport.registerProducer(self.body, True)
        self.body.attach(self)

    def write_part(self, data: bytes) -> None:
        """Sends a part of the request's body."""
        if self.connection is not None:
            data = encode_part(self.framing, data)
            self.connection.write_buffer.write(data)

    def write_end(self) -> None:
        """Sends the end of the request's body."""
        if self.connection is None or self.body_sent:
            return
        self.body_sent = True
        end = encode_end(self.framing)
        self.connection.write_buffer.send(end)
        self.connection.transport.unregisterProducer()

    def abort_request(self) -> None:
        """Closes the connection, as the request's body will not be complete."""
        if self.connection is not None:
            self.connection.transport.abortConnection()

    def receive(self, event) -> None:
        """Handles an event from the connection's decoder."""
        _receive(event, self)

    def deliver(self, event) -> None:
        """Passes an event to the sink, or buffers it until there is one."""
        if self.sink is not None:
            _deliver(event, self.sink)
            return
        self.buffered.append(event)
        if len(self.buffered) > MAX_BUFFERED_EVENTS:
            self.pauseProducing()

    def connection_lost(self) -> None:
        """Ends the exchange after its connection was lost."""
        self._stop_timer()
        self._detach()
        if self.may_be_stale:
            self._report_end(ExchangeEnd.STALE)
            self.head_ready.errback(StaleConnectionError("connection lost"))
            return
        self._report_end(
            ExchangeEnd.CANCELLED if self._is_excused() else ExchangeEnd.BROKEN
        )
        if not self.head_delivered:
            self.head_ready.errback(ConnectionLostError("connection lost"))
            return
        self.deliver(ConnectionLostError("connection lost"))

    def finish(self) -> None:
        """Ends the exchange after its answer is complete."""
        self._stop_timer()
        self.resumeProducing()
        connection = self.connection
        is_reusable = self.body_sent and self.head.keep_alive
        self._detach()
        self._report_end(ExchangeEnd.COMPLETE)
        if connection is not None:
            connection.exchange_done(is_reusable)

    def _report_end(self, end: ExchangeEnd) -> None:
        if self.end is not None:
            return
        self.end = end
        callbacks, self.end_callbacks = self.end_callbacks, []
        for callback in callbacks:
            callback(end)

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
        """Resumes reading the answer."""
        if self.connection is not None and self.paused:
            self.paused = False
            self.connection.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Cancels the exchange, as its sink is closed."""
        self.cancel()


class UpstreamAnswer:
    """An answer whose body is still being received.

    Attributes:
        head: The head.
        exchange: The exchange that receives the body.
    """

    __slots__ = ("exchange", "head")

    refusal = None

    def __init__(self, head: ResponseHead, exchange: Exchange):
        self.head = head
        self.exchange = exchange

    def stream_to(self, sink) -> None:
        """Sends the body to a sink."""
        self.exchange.stream_to(sink)

    def cancel(self) -> None:
        """Closes the connection, which cancels the target's work."""
        self.exchange.cancel()


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
def _(event: ConnectionLostError, sink: AnswerSink) -> None:
    sink.set_producer(None)
    sink.abort_answer()


class _NullSink:
    """A sink that discards the end of an answer."""

    def set_producer(self, producer) -> None:
        """Ignores the producer."""

    def write_part(self, data: bytes) -> None:
        """Discards a part."""

    def write_end(self) -> None:
        """Ignores the end."""

    def abort_answer(self) -> None:
        """Ignores the loss."""


class _DiscardSink(_NullSink):
    """A sink that discards the body of an answer, up to a size.

    Attributes:
        exchange: The exchange of the answer.
        size: Bytes discarded so far.
    """

    def __init__(self, exchange: Exchange):
        self.exchange = exchange
        self.size = 0

    def write_part(self, data: bytes) -> None:
        """Discards a part."""
        self.size += len(data)
        self.exchange.count_discarded(self.size)


NULL_SINK = _NullSink()
