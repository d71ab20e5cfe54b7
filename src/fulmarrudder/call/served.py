"""One call between its connection and the pipeline that answers it."""

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

from fulmarrudder.call.answer import Answer, refusal_answer
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.codec import (
    CONTINUE_LINE,
    encode_end,
    encode_part,
    encode_response,
)
from fulmarrudder.call.dialect import id_fields
from fulmarrudder.call.hop import host_request, load_field, traced
from fulmarrudder.call.message import (
    PEER_HEADER,
    Field,
    Framing,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
)
from fulmarrudder.call.screen import screen
from fulmarrudder.observe import logs
from fulmarrudder.pipe import flow

LINGER_S = 1.0


class _Discard:
    """A sink for a body that nobody wants any more."""

    def write_part(self, data: bytes) -> None:
        """Drops a piece."""

    def write_end(self) -> None:
        """Drops the end."""

    def abort_request(self) -> None:
        """Drops the loss."""


class ServedCall:
    """A call between its connection and the pipeline that answers it.

    Attributes:
        body: The body of the request.
        turn: Whether the answers before its own have been sent.
    """

    def __init__(self, connection, head: RequestHead, *, turn: bool = True):
        self.turn = turn
        self.connection = connection
        self.factory = connection.factory
        self.transport = connection.transport
        self.outlet = connection.outlet
        self.head = head
        empty = head.framing is Framing.NONE
        self.body = RequestBody(self.transport, empty=empty)
        self.opening: Deferred | None = None
        self.answer: Answer | None = None
        self.framing = Framing.NONE
        self.keep_alive = head.keep_alive
        self.answered = False
        self.done = False
        self.lost = False
        self.continued = False
        self.producing = False
        self.started = self.factory.clock.seconds()
        self.span = None
        self.role = "entry"
        self.kind = ""

    def start(self) -> None:
        """Opens the call."""
        shown = self.head.headers.get(PEER_HEADER)
        self.role = "entry" if shown is None else "host"
        self.span = self.factory.spans.start(
            self.role,
            self.head.headers.get(b"traceparent"),
            server=True,
        )
        opening = ensureDeferred(self._open(shown))
        self.opening = opening
        opening.addCallbacks(self._opened, self._failed)

    async def _open(self, shown: bytes | None) -> Answer:
        if self.head.length > self.factory.limits.body_bytes:
            return refusal_answer(
                Refusal(
                    status=413,
                    reason=RefusalReason.TOO_LARGE_BODY,
                    ran=Ran.NO,
                    detail="body is larger than the limit",
                )
            )
        if shown is None:
            return await self.factory.entry.open(
                self.head,
                self.body,
                self.ready,
                self.span,
            )
        if not self.factory.is_peer(shown):
            return refusal_answer(
                Refusal(
                    status=403,
                    reason=RefusalReason.NOT_A_PEER,
                    ran=Ran.NO,
                    detail="field is for nodes only",
                )
            )
        now = self.factory.clock.seconds()
        traceparent = self.factory.spans.traceparent(self.span)
        steps = (
            screen,
            lambda head: traced(head, traceparent),
            lambda head: host_request(head, shown, now),
        )
        host_call = flow(self.head, steps, Refusal)
        if isinstance(host_call, Refusal):
            return refusal_answer(host_call, to_node=True)
        self.kind = host_call.route
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
        if self.turn:
            self._deliver(answer)

    def start_sending(self) -> None:
        """Sends the answer, or lets it be sent once there is one."""
        self.turn = True
        if self.answer is not None:
            self._deliver(self.answer)

    def _deliver(self, answer: Answer) -> None:
        head = answer.head
        self.framing = head.framing
        if head.framing is Framing.CLOSE:
            self.framing = Framing.CHUNKED
        if self.framing is Framing.CHUNKED and not self.head.modern:
            self.framing = Framing.CLOSE
        # A body that nobody will read leaves the connection in the middle of
        # a message, so it cannot carry another one.
        bodied = self.head.framing is not Framing.NONE
        unread = bodied and not self.body.ended and not self.body.sink
        leaves = self.factory.leaving and self.connection.is_last(self)
        if unread or self.framing is Framing.CLOSE or leaves:
            self.keep_alive = False
        sent = encode_response(
            head,
            self._told(answer),
            framing=self.framing,
            keep_alive=self.keep_alive,
            bodiless=self.head.method == b"HEAD",
        )
        # What has come of the body goes out with the head.
        self.outlet.cork()
        self.outlet.write(sent)
        answer.stream_to(self)
        self.outlet.uncork()
        # Accounts come last, so that the caller does not wait for them.
        self._observe(answer)

    def _told(self, answer: Answer) -> tuple[Field, ...]:
        if self.role == "host":
            host = self.factory.host
            return (load_field(host.load, host.slots.service_time(self.kind)),)
        if answer.refusal is not None:
            return id_fields(self.head, self.factory.entry.dialect)
        return ()

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
        refusal = answer.refusal
        if refusal is not None:
            metrics.count(
                "fulmarrudder_refusals_total",
                ("reason", refusal.reason.value),
                ("ran", refusal.ran.value),
            )
            self._write_refusal(refusal, took)
        self.factory.spans.end(self.span, status=status)

    def _write_refusal(self, refusal: Refusal, took: float) -> None:
        if refusal.reason is RefusalReason.BUSY and self.role == "host":
            # The entry node asks elsewhere; what comes of it is one line there.
            return
        factory = self.factory
        if not factory.lines.room(factory.clock.seconds()):
            return
        name = factory.entry.dialect.request_id
        asked = self.head.headers.get(name) if name else None
        state = factory.entry.in_force.state
        factory.lines.write(
            "call-refused",
            role=self.role,
            request=asked.decode("latin-1") if asked else "-",
            path=self.head.target.decode("latin-1"),
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            status=refusal.status,
            detail=refusal.detail,
            took_ms=round(took * 1000, 1),
            version=state.version if state else 0,
            running=factory.host.slots.taken,
            queued=factory.host.slots.queued,
        )

    def _failed(self, failure) -> None:
        if failure.check(CancelledError) is None:
            logs.error(
                "call-failed",
                error=failure.type.__name__,
                detail=failure.getErrorMessage(),
                trace=failure.getBriefTraceback(),
            )
        if self.done or self.lost:
            return
        refusal = Refusal(
            status=502,
            reason=RefusalReason.BROKEN,
            ran=Ran.UNKNOWN,
            detail="internal error",
        )
        self._opened(refusal_answer(refusal))

    def set_producer(self, producer) -> None:
        """Pauses the answer while the caller's transport is full."""
        if self.producing:
            self.producing = False
            self.transport.unregisterProducer()
        if producer is not None and not self.connection.closing:
            self.producing = True
            self.transport.registerProducer(producer, True)

    def write_part(self, data: bytes) -> None:
        """Sends a piece of the answer."""
        if self.head.method != b"HEAD":
            self.outlet.write(encode_part(self.framing, data))

    def write_end(self) -> None:
        """Ends the answer."""
        if self.done:
            return
        bodiless = self.head.method == b"HEAD"
        self.outlet.send(b"" if bodiless else encode_end(self.framing))
        self.answered = True
        if self.body.ended:
            self._finish(self.keep_alive)
            return
        # Closing with bytes unread would reset the connection, and the
        # answer could be lost on its way; so they are read for a while.
        self.body.attach(_Discard())
        self.factory.clock.callLater(LINGER_S, self._finish, False)

    def abort_answer(self) -> None:
        """Cuts the answer off, so that nobody takes it for a whole one."""
        if self.done:
            return
        self.outlet.abort()
        self._finish(False)

    def finish_if_answered(self) -> None:
        """Finishes a call whose answer came before its body's end."""
        if self.answered and not self.done:
            self._finish(self.keep_alive)

    def caller_lost(self) -> None:
        """Gives the call up."""
        if self.done:
            return
        self.lost = True
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
        self.connection.call_done(self, reusable)
