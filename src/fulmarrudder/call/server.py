"""Connections from callers and from other nodes."""

import collections
import hmac
from functools import singledispatch

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from fulmarrudder.call.answer import refusal_answer
from fulmarrudder.call.budget import (
    CALL_BYTES,
    CONNECTION_BYTES,
    FIELD_BYTES,
    LIGHT_BYTES,
    WAITING_ANSWER_BYTES,
    Budget,
)
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

# Bytes that are decoded at a time. What a queued request takes is a multiple of
# its bytes, and a part of a body is not.
HEAD_SLICE_BYTES = 4_096
BODY_SLICE_BYTES = 16_384
# Received bytes that wait behind a request before reading pauses. A connection
# that is not read does not show that its caller has left.
MAX_UNREAD_BYTES = 4_096
# Unsent bytes of earlier answers from which on no further request is served.
MAX_UNSENT_BYTES = 65_536
# Requests of one connection that are started in a turn of the loop.
MAX_STARTS = 8
BLOCK_BYTES_A_START = 2_048
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
        budget: What the connections may hold.
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
        self.budget = Budget()
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

    def enforce_budget(self) -> None:
        """Closes the connections that hold most while all hold too much."""
        while (connection := self.budget.largest()) is not None:
            self._close_for_budget(connection, "memory")

    def make_room(self, newcomer: "CallConnection") -> None:
        """Closes a connection if there are too many.

        The one goes that is unused for longest, or else the newcomer.

        Args:
            newcomer: The connection that was opened last.
        """
        if not self.budget.is_full(len(self.connections)):
            return
        unused = (c for c in self.connections if not c.calls and not c.closing)
        oldest = min(unused, key=lambda c: c.idle_until, default=newcomer)
        self._close_for_budget(oldest, "descriptors")

    def _close_for_budget(self, connection: "CallConnection", why: str) -> None:
        self.budget.release(connection)
        self.metrics.count("fulmarrudder_budget_closes_total", ("short", why))
        self.events.info(
            self.clock.seconds(),
            "connection-over-budget",
            why,
            short=why,
            peer_address=connection.transport.getPeer(),
            held_bytes=self.budget.total,
            connections=len(self.connections),
        )
        connection.abort()

    def sweep(self) -> None:
        """Closes connections that are past their idle or head timeout."""
        now = self.clock.seconds()
        for connection in tuple(self.connections):
            connection.charge()
            if connection.calls:
                continue
            if connection.closing or connection.drain.waiting:
                connection.check_unsent_timeout(now)
            elif connection.decoder.pending_bytes:
                connection.check_head_timeout(now)
            elif connection.idle_until < now:
                connection.close_if_idle()
        self.enforce_budget()

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
        reading_paused: Whether reading is paused because of unread bytes.
        unread: Received bytes that are not decoded yet.
        starts: Requests started in this turn of the loop.
        is_heavy: Whether what it holds is charged after each read.
        drain: Resumes the connection once its answers are sent.
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
        self.unread = b""
        self.starts = 0
        self.is_heavy = False
        self.drain = _Drain(self)

    def connectionMade(self):  # noqa: N802
        """Registers the connection."""
        self.transport.setTcpNoDelay(True)
        self.write_buffer = WriteBuffer(self.transport, self.factory.clock)
        self._restart_idle_timeout()
        self.factory.connections.add(self)
        self.factory.budget.charge(self, CONNECTION_BYTES)
        self.factory.make_room(self)

    def connectionLost(self, reason):  # noqa: N802
        """Aborts the calls in progress."""
        self.factory.connections.discard(self)
        self.factory.budget.release(self)
        self.closing = True
        self.decoder.release()
        self._abort_calls()
        self.factory.notify_if_drained()

    def _abort_calls(self) -> None:
        for call in tuple(self.calls):
            call.caller_lost()

    def dataReceived(self, data):  # noqa: N802
        """Decodes bytes and handles the events that are not blocked."""
        if self.closing:
            return
        self.unread = self.unread + data if self.unread else data
        if len(data) > LIGHT_BYTES:
            self.is_heavy = True
        self.pump()

    def pump(self) -> None:
        """Handles what was received up to the first event that is blocked."""
        self.starts = 0
        while not self.closing and (
            self.events or (self.unread and self._decode())
        ):
            event = self.events[0]
            is_busy = self.calls or self.write_buffer.has_unsent_data()
            if is_busy and _is_blocked(event, self):
                break
            if self.starts >= MAX_STARTS:
                self.factory.clock.callLater(0, self.pump)
                break
            self.events.popleft()
            _handle_event(event, self)
        if self.unread or self.reading_paused:
            self._limit_unread()
        if self.is_heavy or self.events:
            self.charge()
            self.factory.enforce_budget()

    def _decode(self) -> bool:
        """Decodes the next bytes; returns whether there are events."""
        while self.unread and not self.events:
            data, self.unread = self.unread, b""
            if len(data) > HEAD_SLICE_BYTES:
                size = self._slice_bytes()
                data, self.unread = data[:size], data[size:]
            if not self.decoder.pending_bytes:
                limit_s = self.factory.limits.header_ms / 1000
                self.head_deadline = self.factory.clock.seconds() + limit_s
            try:
                self.events.extend(self.decoder.feed(data))
            except ProtocolError as error:
                self.events.extend(self.decoder.take_events())
                # Tracebacks hold what was decoded.
                error.__context__ = None
                self.events.append(error.with_traceback(None))
                self.unread = b""
        return bool(self.events)

    def _slice_bytes(self) -> int:
        if self.decoder.in_head:
            return HEAD_SLICE_BYTES
        if not self.calls:
            return BODY_SLICE_BYTES
        call = self.calls[-1]
        left = call.head.length - call.body.received_bytes
        return max(BODY_SLICE_BYTES, left)

    def charge(self) -> None:
        """Tells the budget what the connection holds."""
        if self.closing:
            return
        size = CONNECTION_BYTES + len(self.unread) + self.decoder.pending_bytes
        size += self.write_buffer.unsent_bytes
        size += sum(map(_size_of, self.events))
        for call in self.calls:
            body = call.body
            size += CALL_BYTES + _size_of(call.head)
            size += body.received_bytes if body.replayable else 0
        size += WAITING_ANSWER_BYTES * max(0, len(self.calls) - 1)
        self.is_heavy = size > CONNECTION_BYTES + CALL_BYTES + LIGHT_BYTES
        self.factory.budget.charge(self, size)

    def abort(self) -> None:
        """Resets the connection and aborts its calls."""
        self.closing = True
        self._abort_calls()
        self.write_buffer.abort()

    def is_unsent(self) -> bool:
        """Returns whether too much of earlier answers is not sent yet."""
        if self.write_buffer.unsent_bytes <= MAX_UNSENT_BYTES:
            self.drain.stop()
            return False
        if not self.calls:
            self.drain.wait()
        self.is_heavy = True
        return True

    def can_overlap(self, head: RequestHead) -> bool:
        """Returns whether a request may run concurrently with others."""
        if self.factory.leaving or len(self.calls) >= MAX_OVERLAPPING_REQUESTS:
            return False
        if self.factory.budget.is_high:
            return False
        self.is_heavy = True
        heads = (head, *(call.head for call in self.calls))
        return all(_allows_overlap(head) for head in heads)

    def is_last(self, call: ServedCall) -> bool:
        """Returns whether no call has started after `call`."""
        return not self.calls or self.calls[-1] is call

    def _limit_unread(self) -> None:
        is_long = len(self.unread) > MAX_UNREAD_BYTES
        if is_long:
            # The end of a body may have resumed reading.
            self.reading_paused = True
            self.transport.pauseProducing()
        elif self.reading_paused and not self.closing:
            self.reading_paused = False
            # A body that waits resumes reading itself.
            if not (self.calls and self.calls[-1].body.paused):
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

    def check_unsent_timeout(self, now: float) -> None:
        """Resets a connection whose peer does not read its answers.

        Args:
            now: Clock seconds.
        """
        if now > self.idle_until:
            self.abort()

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
        self._restart_idle_timeout()
        self.drain.stop()
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
        if self.events or self.unread or self.reading_paused:
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
        if self.calls or self.events or self.unread:
            return False
        return not self.decoder.pending_bytes

    def close_if_idle(self) -> None:
        """Closes the connection if it is idle."""
        if self.is_idle and not self.closing:
            self.closing = True
            self._restart_idle_timeout()
            self.write_buffer.close()


@implementer(IPullProducer)
class _Drain:
    """Waits until the answers on a connection are sent.

    Attributes:
        waiting: Whether it is registered with the transport.
    """

    def __init__(self, connection: CallConnection):
        self.connection = connection
        self.waiting = False

    def wait(self) -> None:
        """Starts to wait; the connection has no call in progress."""
        if not self.waiting:
            self.connection.transport.registerProducer(self, False)
            self.waiting = True

    def stop(self) -> None:
        """Waits no more."""
        if self.waiting:
            self.waiting = False
            self.connection.transport.unregisterProducer()

    def resumeProducing(self) -> None:  # noqa: N802
        """Handles that the transport can take more."""
        if self.waiting:
            self.stop()
            self.connection.factory.clock.callLater(0, self.connection.pump)

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; the connection handles its own loss."""


@singledispatch
def _size_of(event) -> int:
    return FIELD_BYTES


@_size_of.register
def _(event: RequestHead) -> int:
    headers = event.headers
    size = len(event.target) + len(headers.block)
    return size + FIELD_BYTES * (len(headers.fields) + 2)


@_size_of.register
def _(event: BodyPart) -> int:
    return FIELD_BYTES + len(event.data)


def _allows_overlap(head: RequestHead) -> bool:
    if head.method not in OVERLAPPING_METHODS or not head.keep_alive:
        return False
    return head.framing is Framing.NONE and head.is_http11


@singledispatch
def _is_blocked(event, connection: CallConnection) -> bool:
    """Returns whether an event must wait for earlier calls or answers."""
    return False


@_is_blocked.register
def _(event: RequestHead, connection: CallConnection) -> bool:
    if connection.is_unsent():
        return True
    return bool(connection.calls) and not connection.can_overlap(event)


@_is_blocked.register
def _(event: ProtocolError, connection: CallConnection) -> bool:
    # An error inside a body aborts the call of that body at once.
    return bool(connection.calls) and connection.calls[-1].body.ended


@singledispatch
def _handle_event(event, connection: CallConnection) -> None:
    raise TypeError(f"not an event: {type(event).__name__}")


@_handle_event.register
def _(event: RequestHead, connection: CallConnection) -> None:
    connection.factory.active += 1
    # Heads of very many lines take longer.
    connection.starts += 1 + len(event.headers.block) // BLOCK_BYTES_A_START
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
