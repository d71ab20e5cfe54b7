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
from fulmarrudder.call.write_buffer import WriteBuffer
from fulmarrudder.model import Limits
from fulmarrudder.observe import Metrics, Spans, logs

QUEUE_LIMIT = 64
# Requests of one connection that are served at once. Callers that send several
# without waiting send a few; each holds its answer until its turn.
OVERLAP_LIMIT = 16
# Requests that do not wait for those before them on their connection.
OVERLAPPING_METHODS = frozenset({b"GET", b"HEAD"})


class CallFactory(Factory):
    """Makes connections of the call port.

    Attributes:
        connections: Connections that are open.
        lines: Writes what became of single calls.
        limits: What callers may send, and how long they may stay idle.
        leaving: Whether connections close once they are idle.
        active: Calls under way.
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
        self.idle: list[Deferred] = []
        self.lines = logs.Bounded()

    def buildProtocol(self, addr):  # noqa: N802
        """Builds the protocol of one connection."""
        return CallConnection(self)

    def leave(self) -> Deferred:
        """Closes idle connections, and others once they are idle.

        Returns:
            Deferred that fires when every connection is closed, so that the
            last answers have left this process.
        """
        self.leaving = True
        for connection in tuple(self.connections):
            connection.close_if_idle()
        done: Deferred = Deferred()
        self.idle.append(done)
        self.notify_if_drained()
        return done

    def notify_if_drained(self) -> None:
        """Tells those who wait that every connection is closed."""
        if self.connections or not self.leaving:
            return
        waiting, self.idle = self.idle, []
        for done in waiting:
            done.callback(None)

    def sweep(self) -> None:
        """Closes connections that have been idle too long."""
        now = self.clock.seconds()
        for connection in tuple(self.connections):
            if connection.calls:
                continue
            if connection.decoder.head_bytes:
                connection.check_head_timeout(now)
            elif connection.idle_until < now:
                connection.close_if_idle()

    def is_peer(self, shown: bytes) -> bool:
        """Tells whether a head carries the nodes' token.

        Args:
            shown: Value of the field for nodes.
        """
        return hmac.compare_digest(parse_token(shown), self.token)


class CallConnection(Protocol):
    """One connection; answers its requests in their order.

    Requests that do nothing but read are served at once, others after those
    before them.

    Attributes:
        calls: Calls under way, the one whose answer is due first.
        idle_until: Clock seconds after which it is closed when idle.
        head_deadline: Clock seconds until which a head that has begun must end.
    """

    def __init__(self, factory: CallFactory):
        self.factory = factory
        self.decoder = RequestDecoder()
        self.events: collections.deque = collections.deque()
        self.calls: collections.deque[ServedCall] = collections.deque()
        self.idle_until = 0.0
        self.head_deadline = 0.0
        self.write_buffer: WriteBuffer | None = None
        self.stalled = False
        self.closing = False

    def connectionMade(self):  # noqa: N802
        """Counts the connection."""
        self.transport.setTcpNoDelay(True)
        self.write_buffer = WriteBuffer(self.transport, self.factory.clock)
        self._rest()
        self.factory.connections.add(self)

    def connectionLost(self, reason):  # noqa: N802
        """Ends the call under way."""
        self.factory.connections.discard(self)
        self.closing = True
        self._drop_calls()
        self.factory.notify_if_drained()

    def _drop_calls(self) -> None:
        for call in tuple(self.calls):
            call.caller_lost()

    def dataReceived(self, data):  # noqa: N802
        """Decodes what came and serves it in order."""
        if self.closing:
            return
        if not self.decoder.head_bytes:
            limit_s = self.factory.limits.header_ms / 1000
            self.head_deadline = self.factory.clock.seconds() + limit_s
        try:
            self.events.extend(self.decoder.feed(data))
        except ProtocolError as error:
            self.events.extend(self.decoder.take())
            self.events.append(error)
        self.pump()

    def pump(self) -> None:
        """Serves the events that are due."""
        while self.events and not self.closing:
            event = self.events[0]
            if self.calls and _must_wait(event, self):
                break
            self.events.popleft()
            _serve(event, self)
        self._bound_queue()

    def can_overlap(self, head: RequestHead) -> bool:
        """Tells whether a request may be served beside those under way."""
        if self.factory.leaving or len(self.calls) >= OVERLAP_LIMIT:
            return False
        heads = (head, *(call.head for call in self.calls))
        return all(_overlaps(head) for head in heads)

    def is_last(self, call: ServedCall) -> bool:
        """Tells whether no call has begun after one."""
        return not self.calls or self.calls[-1] is call

    def _bound_queue(self) -> None:
        if len(self.events) > QUEUE_LIMIT and not self.stalled:
            self.stalled = True
            self.transport.pauseProducing()
        elif self.stalled and not self.events:
            self.stalled = False
            self.transport.resumeProducing()

    def enforce_body_limit(self) -> None:
        """Breaks off a request whose body is over the limit."""
        if self.calls[-1].body.received_bytes > self.factory.limits.body_bytes:
            self.closing = True
            self._drop_calls()
            self.transport.abortConnection()

    def check_head_timeout(self, now: float) -> None:
        """Refuses a request whose head takes too long.

        Args:
            now: Clock seconds.
        """
        if now > self.head_deadline and not self.closing:
            self.refuse_malformed(
                ProtocolError("request head took too long", status=408)
            )

    def refuse_malformed(self, error: ProtocolError) -> None:
        """Answers bytes that are no request, and closes the connection."""
        if self.calls:
            # The body of the call under way is malformed, so that nothing
            # more can be read, and its answer could not be told apart.
            self.closing = True
            self._drop_calls()
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
        self.factory.metrics.count(
            "fulmarrudder_refusals_total",
            ("reason", reason.value),
            ("ran", "no"),
        )
        sent = encode_response(answer.head, keep_alive=False)
        self.write_buffer.write(sent + answer.body)
        self.closing = True
        self.write_buffer.close()

    def call_done(self, call: ServedCall, reusable: bool) -> None:
        """Takes the connection back after a call.

        Args:
            call: The call, which has been answered or given up.
            reusable: Whether another answer may follow.
        """
        self.calls.remove(call)
        self.factory.active -= 1
        self._rest()
        if self.closing:
            return
        if not reusable or (self.factory.leaving and not self.calls):
            self.closing = True
            self._drop_calls()
            self.write_buffer.close()
            return
        if self.events or self.stalled:
            self.factory.clock.callLater(0, self.pump)
        if self.calls:
            self.calls[0].start_sending()

    def _rest(self) -> None:
        idle_s = self.factory.limits.idle_ms / 1000
        self.idle_until = self.factory.clock.seconds() + idle_s

    def close_if_idle(self) -> None:
        """Closes the connection unless a call is under way."""
        if not self.calls and not self.closing:
            self.closing = True
            self.write_buffer.close()


def _overlaps(head: RequestHead) -> bool:
    if head.method not in OVERLAPPING_METHODS or not head.keep_alive:
        return False
    return head.framing is Framing.NONE and head.is_http11


@singledispatch
def _must_wait(event, connection: CallConnection) -> bool:
    """Tells whether an event waits for the calls under way."""
    return False


@_must_wait.register
def _(event: RequestHead, connection: CallConnection) -> bool:
    return not connection.can_overlap(event)


@_must_wait.register
def _(event: ProtocolError, connection: CallConnection) -> bool:
    # One inside a body breaks the call that the body belongs to.
    return connection.calls[-1].body.ended


@singledispatch
def _serve(event, connection: CallConnection) -> None:
    raise TypeError(f"not an event: {type(event).__name__}")


@_serve.register
def _(event: RequestHead, connection: CallConnection) -> None:
    connection.factory.active += 1
    call = ServedCall(connection, event, is_next=not connection.calls)
    connection.calls.append(call)
    call.start()


@_serve.register
def _(event: BodyPart, connection: CallConnection) -> None:
    if connection.calls:
        connection.calls[-1].body.receive_part(event.data)
        connection.enforce_body_limit()


@_serve.register
def _(event: BodyEnd, connection: CallConnection) -> None:
    if connection.calls:
        call = connection.calls[-1]
        call.body.receive_end()
        call.finish_if_answered()


@_serve.register
def _(event: ProtocolError, connection: CallConnection) -> None:
    connection.refuse_malformed(event)
