"""Connections from callers and from other nodes."""

import collections
import hmac
from functools import singledispatch

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from fulmarrudder.call.answer import refusal_answer
from fulmarrudder.call.codec import (
    RequestDecoder,
    encode_response,
)
from fulmarrudder.call.entry import EntryPipeline
from fulmarrudder.call.errors import ProtocolError
from fulmarrudder.call.hop import parse_token
from fulmarrudder.call.host import HostPipeline
from fulmarrudder.call.leaving import LeavingWatch
from fulmarrudder.call.message import (
    BodyEnd,
    BodyPart,
    Framing,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
)
from fulmarrudder.call.served import ServedCall
from fulmarrudder.call.upstream import IDLE_TIMEOUT_S
from fulmarrudder.call.write_buffer import WriteBuffer
from fulmarrudder.model import Limits
from fulmarrudder.observe import Metrics, Spans

MAX_QUEUED_EVENTS = 64
# Idle timeout of connections from other nodes. Longer than these reuse them, so
# that the node that sends the requests is the one that closes: a request cannot
# cross its own close.
NODE_IDLE_TIMEOUT_S = IDLE_TIMEOUT_S + 5.0
# Pipelined requests of one connection that are served concurrently. Each answer
# is buffered until those before it are sent, and callers pipeline only a few.
MAX_OVERLAPPING_REQUESTS = 16
# Safe methods, which need not wait for earlier requests on the connection.
OVERLAPPING_METHODS = frozenset({b"GET", b"HEAD"})


class CallFactory(Factory):
    """Builds the connections of the call port.

    Attributes:
        connections: Connections that are open.
        events: Rate-limited log of single calls.
        limits: Size limits of requests, and timeouts of connections.
        leaving: Whether the node drains: connections close once idle.
        active: Number of calls in progress.
        drain_waiters: Deferreds that fire when every connection is closed.
        leaving_watch: Notices callers that leave while their bodies wait.
    """

    noisy = False

    def __init__(
        self,
        *,
        clock,
        entry: EntryPipeline,
        host: HostPipeline,
        token: bytes,
        spans: Spans,
        metrics: Metrics,
    ):
        self.clock = clock
        self.entry = entry
        self.host = host
        self.token = token
        self.spans = spans
        self.metrics = metrics
        self.connections: set[CallConnection] = set()
        self.leaving = False
        self.limits = Limits()
        self.active = 0
        self.drain_waiters: list[Deferred] = []
        self.events = entry.report.events
        self.leaving_watch = LeavingWatch(clock)

    def buildProtocol(self, addr):  # noqa: N802
        """Builds the protocol of one connection."""
        return CallConnection(self)

    def leave(self) -> Deferred:
        """Closes idle connections at once, and the others once they are idle.

        Returns:
            Deferred that fires when every connection is closed, which is
            after the last answers have been written to the sockets.
        """
        self.leaving = True
        for connection in tuple(self.connections):
            connection.close_if_idle()
        closed: Deferred = Deferred()
        self.drain_waiters.append(closed)
        self.notify_if_drained()
        return closed

    def end_remaining(self) -> None:
        """Answers the calls in progress: this node can wait no longer."""
        for connection in tuple(self.connections):
            for call in tuple(connection.calls):
                call.give_up()

    def notify_if_drained(self) -> None:
        """Fires the waiting Deferreds if every connection is closed."""
        if self.connections or not self.leaving:
            return
        waiters, self.drain_waiters = self.drain_waiters, []
        for waiter in waiters:
            waiter.callback(None)

    def sweep(self) -> None:
        """Closes connections that are past their idle or head timeout."""
        now = self.clock.seconds()
        for connection in tuple(self.connections):
            if connection.calls:
                continue
            if connection.decoder.pending_bytes:
                connection.check_head_timeout(now)
            elif connection.idle_until < now:
                connection.close_if_idle()

    def is_peer(self, value: bytes) -> bool:
        """Returns whether a head carries the token that nodes share.

        Args:
            value: Value of the peer field.
        """
        return hmac.compare_digest(parse_token(value), self.token)


class CallConnection(Protocol):
    """One connection, which answers its requests in order.

    Requests with safe methods are served concurrently. Any other request waits
    until those before it are answered.

    Attributes:
        calls: Calls in progress, in the order in which they are answered.
        events: Decoded events that are not handled yet.
        idle_until: Clock seconds after which it is closed when idle.
        head_deadline: Clock seconds by which a started head must be complete.
        is_from_node: Whether another node has opened it.
        reading_paused: Whether reading is paused because of queued events.
    """

    def __init__(self, factory: CallFactory):
        self.factory = factory
        self.decoder = RequestDecoder()
        self.events: collections.deque = collections.deque()
        self.calls: collections.deque[ServedCall] = collections.deque()
        self.idle_until = 0.0
        self.head_deadline = 0.0
        self.is_from_node = False
        self.write_buffer: WriteBuffer | None = None
        self.reading_paused = False
        self.closing = False

    def connectionMade(self):  # noqa: N802
        """Registers the connection."""
        self.transport.setTcpNoDelay(True)
        self.write_buffer = WriteBuffer(self.transport, self.factory.clock)
        self._restart_idle_timeout()
        self.factory.connections.add(self)

    def connectionLost(self, reason):  # noqa: N802
        """Aborts the calls in progress."""
        self.factory.connections.discard(self)
        self.closing = True
        self._abort_calls()
        self.factory.notify_if_drained()

    def _abort_calls(self) -> None:
        for call in tuple(self.calls):
            call.caller_lost()

    def dataReceived(self, data):  # noqa: N802
        """Decodes bytes and handles the events that are not blocked."""
        if self.closing:
            return
        if not self.decoder.pending_bytes:
            limit_s = self.factory.limits.header_ms / 1000
            self.head_deadline = self.factory.clock.seconds() + limit_s
        try:
            self.events.extend(self.decoder.feed(data))
        except ProtocolError as error:
            self.events.extend(self.decoder.take_events())
            self.events.append(error)
        self.pump()

    def pump(self) -> None:
        """Handles queued events up to the first that is blocked."""
        while self.events and not self.closing:
            event = self.events[0]
            if self.calls and _is_blocked(event, self):
                break
            self.events.popleft()
            _handle_event(event, self)
        self._limit_queue()

    def can_overlap(self, head: RequestHead) -> bool:
        """Returns whether a request may run concurrently with others."""
        if self.factory.leaving or len(self.calls) >= MAX_OVERLAPPING_REQUESTS:
            return False
        heads = (head, *(call.head for call in self.calls))
        return all(_allows_overlap(head) for head in heads)

    def is_last(self, call: ServedCall) -> bool:
        """Returns whether no call has started after `call`."""
        return not self.calls or self.calls[-1] is call

    def _limit_queue(self) -> None:
        if len(self.events) > MAX_QUEUED_EVENTS and not self.reading_paused:
            self.reading_paused = True
            self.transport.pauseProducing()
        elif self.reading_paused and not self.events:
            self.reading_paused = False
            self.transport.resumeProducing()

    def enforce_body_limit(self) -> None:
        """Resets the connection if a request body exceeds the limit."""
        if self.calls[-1].body.received_bytes > self.factory.limits.body_bytes:
            self.closing = True
            self._abort_calls()
            self.transport.abortConnection()

    def check_head_timeout(self, now: float) -> None:
        """Refuses a request whose head is not complete by its deadline.

        Args:
            now: Clock seconds.
        """
        if now > self.head_deadline and not self.closing:
            self.refuse_malformed(
                ProtocolError("request head took too long", status=408)
            )

    def refuse_malformed(self, error: ProtocolError) -> None:
        """Refuses a request that violates HTTP/1.1, and closes."""
        if self.calls:
            # The body of the call in progress is malformed: no later request
            # can be found in the stream, and the caller would mistake a
            # refusal for the answer to that call.
            self.closing = True
            self._abort_calls()
            self.transport.abortConnection()
            return
        reason = RefusalReason.MALFORMED
        if error.status == 431:
            reason = RefusalReason.HEADERS_TOO_LARGE
        if error.status == 501:
            reason = RefusalReason.UNSUPPORTED
        if error.status == 408:
            reason = RefusalReason.HEAD_TIMEOUT
        refusal = Refusal(
            status=error.status, reason=reason, ran=Ran.NO, detail=str(error)
        )
        answer = refusal_answer(refusal)
        self.factory.events.info(
            self.factory.clock.seconds(),
            "connection-refused",
            reason,
            reason=reason.value,
            status=error.status,
            detail=error,
            peer_address=self.transport.getPeer(),
        )
        self.factory.metrics.count(
            "fulmarrudder_refusals_total",
            ("reason", reason.value),
            ("ran", "no"),
        )
        encoded_head = encode_response(answer.head, keep_alive=False)
        self.write_buffer.write(encoded_head + answer.body)
        self.closing = True
        self.write_buffer.close()

    def call_done(self, call: ServedCall, reusable: bool) -> None:
        """Removes a call, and closes or reuses the connection.

        Args:
            call: The call, which has been answered or aborted.
            reusable: Whether another answer may follow on the connection.
        """
        self.calls.remove(call)
        self.factory.active -= 1
        self._restart_idle_timeout()
        if self.closing:
            return
        if not reusable or (self.factory.leaving and self.is_idle):
            self.closing = True
            self._abort_calls()
            self.write_buffer.close()
            return
        if self.events or self.reading_paused:
            self.factory.clock.callLater(0, self.pump)
        if self.calls:
            self.calls[0].start_sending()

    def _restart_idle_timeout(self) -> None:
        idle_s = self.factory.limits.idle_ms / 1000
        if self.is_from_node:
            idle_s = NODE_IDLE_TIMEOUT_S
        self.idle_until = self.factory.clock.seconds() + idle_s

    @property
    def is_idle(self) -> bool:
        """Whether no call is in progress, queued or being received."""
        if self.calls or self.events:
            return False
        return not self.decoder.pending_bytes

    def close_if_idle(self) -> None:
        """Closes the connection if it is idle."""
        if self.is_idle and not self.closing:
            self.closing = True
            self.write_buffer.close()


def _allows_overlap(head: RequestHead) -> bool:
    if head.method not in OVERLAPPING_METHODS or not head.keep_alive:
        return False
    return head.framing is Framing.NONE and head.is_http11


@singledispatch
def _is_blocked(event, connection: CallConnection) -> bool:
    """Returns whether an event must wait for the calls in progress."""
    return False


@_is_blocked.register
def _(event: RequestHead, connection: CallConnection) -> bool:
    return not connection.can_overlap(event)


@_is_blocked.register
def _(event: ProtocolError, connection: CallConnection) -> bool:
    # An error inside a body aborts the call of that body at once.
    return connection.calls[-1].body.ended


@singledispatch
def _handle_event(event, connection: CallConnection) -> None:
    raise TypeError(f"not an event: {type(event).__name__}")


@_handle_event.register
def _(event: RequestHead, connection: CallConnection) -> None:
    connection.factory.active += 1
    call = ServedCall(connection, event, is_next=not connection.calls)
    connection.calls.append(call)
    call.start()


@_handle_event.register
def _(event: BodyPart, connection: CallConnection) -> None:
    if connection.calls:
        connection.calls[-1].body.receive_part(event.data)
        connection.enforce_body_limit()


@_handle_event.register
def _(event: BodyEnd, connection: CallConnection) -> None:
    if connection.calls:
        call = connection.calls[-1]
        call.body.receive_end()
        call.finish_if_answered()


@_handle_event.register
def _(event: ProtocolError, connection: CallConnection) -> None:
    connection.refuse_malformed(event)
