"""Connections from callers and from other nodes."""

import collections
import dataclasses
import hmac

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from fulmarrudder.call.answer import Answer, refused
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.codec import (
    CONTINUE_LINE,
    RequestDecoder,
    encode_end,
    encode_part,
    encode_response,
)
from fulmarrudder.call.entry import Entry, traced
from fulmarrudder.call.errors import ProtocolError
from fulmarrudder.call.hop import host_request
from fulmarrudder.call.host import Host
from fulmarrudder.call.message import (
    PEER_HEADER,
    BodyEnd,
    BodyPart,
    Framing,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.outlet import Outlet
from fulmarrudder.call.screen import screen
from fulmarrudder.observe import Metrics, Spans, logs
from fulmarrudder.pipe import flow

QUEUE_LIMIT = 64
IDLE_S = 60.0
LINGER_S = 1.0


class CallFactory(Factory):
    """Makes connections of the call port.

    Attributes:
        connections: Connections that are open.
        leaving: Whether connections close once they are idle.
        active: Calls under way.
    """

    noisy = False

    def __init__(
        self,
        *,
        clock,
        entry: Entry,
        host: Host,
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
        self.active = 0
        self.idle: list[Deferred] = []

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
        self.note_idle()
        return done

    def note_idle(self) -> None:
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
            if connection.call is None and connection.idle_until < now:
                connection.close_if_idle()

    def is_peer(self, head: RequestHead) -> bool:
        """Tells whether a head carries the nodes' token."""
        shown = head.headers.get(PEER_HEADER) or b""
        return hmac.compare_digest(shown, self.token)


class CallConnection(Protocol):
    """One connection; serves its requests one after another.

    Attributes:
        call: The call under way, or None.
        idle_until: Clock seconds after which it is closed when idle.
    """

    def __init__(self, factory: CallFactory):
        self.factory = factory
        self.decoder = RequestDecoder()
        self.events: collections.deque = collections.deque()
        self.call: _ServedCall | None = None
        self.idle_until = 0.0
        self.outlet: Outlet | None = None
        self.stalled = False
        self.closing = False

    def connectionMade(self):  # noqa: N802
        """Counts the connection."""
        self.transport.setTcpNoDelay(True)
        self.outlet = Outlet(self.transport, self.factory.clock)
        self.idle_until = self.factory.clock.seconds() + IDLE_S
        self.factory.connections.add(self)

    def connectionLost(self, reason):  # noqa: N802
        """Ends the call under way."""
        self.factory.connections.discard(self)
        self.closing = True
        if self.call is not None:
            self.call.caller_lost()
        self.factory.note_idle()

    def dataReceived(self, data):  # noqa: N802
        """Decodes what came and serves it in order."""
        if self.closing:
            return
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
            starts = isinstance(event, RequestHead | ProtocolError)
            if starts and self.call is not None and not self._breaks(event):
                break
            self.events.popleft()
            self._serve(event)
        self._bound_queue()

    def _breaks(self, event) -> bool:
        return isinstance(event, ProtocolError) and not self.call.body.ended

    def _bound_queue(self) -> None:
        if len(self.events) > QUEUE_LIMIT and not self.stalled:
            self.stalled = True
            self.transport.pauseProducing()
        elif self.stalled and not self.events:
            self.stalled = False
            self.transport.resumeProducing()

    def _serve(self, event) -> None:
        if isinstance(event, RequestHead):
            self.factory.active += 1
            self.call = _ServedCall(self, event)
            self.call.start()
        elif isinstance(event, BodyPart):
            if self.call is not None:
                self.call.body.receive_part(event.data)
        elif isinstance(event, BodyEnd):
            call = self.call
            if call is not None:
                call.body.receive_end()
                call.close_when_done()
        else:
            self._refuse_protocol(event)

    def _refuse_protocol(self, error: ProtocolError) -> None:
        if self.call is not None:
            # The body of the call under way is malformed, so that nothing
            # more can be read, and its answer could not be told apart.
            self.call.caller_lost()
            self.closing = True
            self.transport.abortConnection()
            return
        reason = RefusalReason.MALFORMED
        if error.status == 431:
            reason = RefusalReason.TOO_LARGE_HEADERS
        if error.status == 501:
            reason = RefusalReason.UNSUPPORTED
        refusal = Refusal(
            status=error.status, reason=reason, ran=Ran.NO, detail=str(error)
        )
        answer = refused(refusal)
        head = answer.head
        self.factory.metrics.count(
            "fulmarrudder_refusals_total",
            ("reason", reason.value),
            ("ran", "no"),
        )
        closing = ResponseHead(
            status=head.status,
            reason=head.reason,
            headers=head.headers,
            framing=head.framing,
            length=head.length,
            keep_alive=False,
        )
        self.outlet.write(encode_response(closing) + answer.body)
        self.closing = True
        self.outlet.close()

    def call_done(self, reusable: bool) -> None:
        """Takes the connection back after a call."""
        self.call = None
        self.factory.active -= 1
        self.idle_until = self.factory.clock.seconds() + IDLE_S
        if not reusable or self.factory.leaving:
            self.closing = True
            self.outlet.close()
        else:
            self.factory.clock.callLater(0, self.pump)

    def close_if_idle(self) -> None:
        """Closes the connection unless a call is under way."""
        if self.call is None and not self.closing:
            self.closing = True
            self.outlet.close()


class _Discard:
    """A sink for a body that nobody wants any more."""

    def take_part(self, data: bytes) -> None:
        """Drops a piece."""

    def take_end(self) -> None:
        """Drops the end."""

    def take_lost(self) -> None:
        """Drops the loss."""


class _ServedCall:
    """A call between its connection and the pipeline that answers it.

    Attributes:
        body: The body of the request.
    """

    def __init__(self, connection: CallConnection, head: RequestHead):
        self.connection = connection
        self.factory = connection.factory
        self.transport = connection.transport
        self.outlet = connection.outlet
        self.head = head
        self.body = RequestBody(self.transport)
        self.opening: Deferred | None = None
        self.answer: Answer | None = None
        self.framing = Framing.NONE
        self.keep_alive = head.keep_alive
        self.answered = False
        self.done = False
        self.continued = False
        self.producing = False
        self.started = self.factory.clock.seconds()
        self.span = None
        self.role = "entry"

    def start(self) -> None:
        """Opens the call."""
        peer = self.head.headers.get(PEER_HEADER) is not None
        self.role = "host" if peer else "entry"
        self.span = self.factory.spans.start(
            self.role,
            self.head.headers.get(b"traceparent"),
            server=True,
        )
        opening = ensureDeferred(self._open(peer))
        self.opening = opening
        opening.addCallbacks(self._opened, self._failed)

    async def _open(self, peer: bool) -> Answer:
        if not peer:
            return await self.factory.entry.open(
                self.head, self.body, self.ready, self.span
            )
        if not self.factory.is_peer(self.head):
            return refused(
                Refusal(
                    status=403,
                    reason=RefusalReason.NOT_A_PEER,
                    ran=Ran.NO,
                    detail="field is for nodes only",
                )
            )
        now = self.factory.clock.seconds()
        steps = (screen, lambda head: host_request(head, now))
        host_call = flow(self.head, steps, Refusal)
        if isinstance(host_call, Refusal):
            return refused(host_call)
        traceparent = self.factory.spans.traceparent(self.span)
        host_call = _with_head(host_call, traced(host_call.head, traceparent))
        return await self.factory.host.open(host_call, self.body, self.ready)

    def ready(self) -> None:
        """Tells the other side that the body is wanted, if it waits."""
        if self.continued or self.head.headers.get(b"expect") is None:
            return
        self.continued = True
        if not self.body.total and not self.connection.closing:
            self.outlet.write(CONTINUE_LINE)

    def _opened(self, answer: Answer) -> None:
        if self.done:
            answer.cancel()
            return
        self.answer = answer
        self._observe(answer)
        head = answer.head
        self.framing = head.framing
        if head.framing is Framing.CLOSE:
            self.framing = Framing.CHUNKED
        if self.framing is Framing.CHUNKED and not self.head.modern:
            self.framing = Framing.CLOSE
        # A body that nobody will read leaves the connection in the middle of
        # a message, so it cannot carry another one.
        unread = not self.body.ended and not self.body.sink
        if unread or self.framing is Framing.CLOSE or self.factory.leaving:
            self.keep_alive = False
        sent = ResponseHead(
            status=head.status,
            reason=head.reason,
            headers=head.headers,
            framing=self.framing,
            length=head.length,
            keep_alive=self.keep_alive,
        )
        bodiless = self.head.method == b"HEAD"
        self.outlet.write(encode_response(sent, bodiless=bodiless))
        answer.stream_to(self)

    def _observe(self, answer: Answer) -> None:
        took = self.factory.clock.seconds() - self.started
        metrics = self.factory.metrics
        status = answer.head.status
        metrics.count(
            "fulmarrudder_calls_total",
            ("role", self.role),
            ("status", f"{status // 100}xx"),
        )
        metrics.time("fulmarrudder_call_seconds", took, ("role", self.role))
        refusal = getattr(answer, "refusal", None)
        if refusal is not None:
            metrics.count(
                "fulmarrudder_refusals_total",
                ("reason", refusal.reason.value),
                ("ran", refusal.ran.value),
            )
        self.factory.spans.end(self.span, status=status)

    def _failed(self, failure) -> None:
        if failure.check(CancelledError) is None:
            logs.error(
                "call-failed",
                error=failure.type.__name__,
                detail=failure.getErrorMessage(),
                trace=failure.getBriefTraceback(),
            )
        if self.done:
            return
        refusal = Refusal(
            status=502,
            reason=RefusalReason.BROKEN,
            ran=Ran.UNKNOWN,
            detail="internal error",
        )
        self._opened(refused(refusal))

    def take_producer(self, producer) -> None:
        """Pauses the answer while the caller's transport is full."""
        if self.producing:
            self.producing = False
            self.transport.unregisterProducer()
        if producer is not None and not self.connection.closing:
            self.producing = True
            self.transport.registerProducer(producer, True)

    def take_part(self, data: bytes) -> None:
        """Sends a piece of the answer."""
        if self.head.method != b"HEAD":
            self.outlet.write(encode_part(self.framing, data))

    def take_end(self) -> None:
        """Ends the answer."""
        if self.done:
            return
        if self.head.method != b"HEAD":
            end = encode_end(self.framing)
            if end:
                self.outlet.write(end)
        self.answered = True
        if self.body.ended:
            self._finish(self.keep_alive)
            return
        # Closing with bytes unread would reset the connection, and the
        # answer could be lost on its way; so they are read for a while.
        self.body.attach(_Discard())
        self.factory.clock.callLater(LINGER_S, self._finish, False)

    def take_broken(self) -> None:
        """Cuts the answer off, so that nobody takes it for a whole one."""
        if self.done:
            return
        self.transport.abortConnection()
        self._finish(False)

    def close_when_done(self) -> None:
        """Finishes a call whose answer came before its body's end."""
        if self.answered and not self.done:
            self._finish(self.keep_alive)

    def caller_lost(self) -> None:
        """Gives the call up."""
        if self.done:
            return
        self.body.receive_lost()
        if self.answer is not None:
            self.answer.cancel()
        elif self.opening is not None:
            self.opening.cancel()
        self._finish(False)

    def _finish(self, reusable: bool) -> None:
        if self.done:
            return
        self.done = True
        self.connection.call_done(reusable)


def _with_head(request, head: RequestHead):
    return dataclasses.replace(request, head=head)
