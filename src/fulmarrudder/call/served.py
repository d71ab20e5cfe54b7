"""Server side of one call: runs its pipeline and sends the answer."""

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred

from fulmarrudder.call.answer import Answer, refusal_answer
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.codec import (
    CONTINUE_LINE,
    encode_end,
    encode_part,
    encode_response,
)
from fulmarrudder.call.header_names import request_id_fields
from fulmarrudder.call.hop import (
    load_fields,
    parse_asker,
    parse_host_request,
    with_traceparent,
)
from fulmarrudder.call.host_report import request_id_of
from fulmarrudder.call.message import (
    PEER_HEADER,
    Field,
    Framing,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
)
from fulmarrudder.call.sanitizer import sanitize_request
from fulmarrudder.observe import logs
from fulmarrudder.pipe import run_steps

# How long the rest of a request's body is read after an early answer.
LINGER_S = 1.0


class _DiscardSink:
    """A sink that discards the rest of a request's body."""

    def write_part(self, data: bytes) -> None:
        """Discards a part."""

    def write_end(self) -> None:
        """Ignores the end."""

    def abort_request(self) -> None:
        """Ignores the loss."""


class ServedCall:
    """Runs a call's pipeline and sends the answer on its connection.

    Attributes:
        body: The body of the request.
        is_next: Whether the answers to earlier requests on the connection
            have been sent.
    """

    def __init__(self, connection, head: RequestHead, *, is_next: bool = True):
        self.is_next = is_next
        self.connection = connection
        self.factory = connection.factory
        self.transport = connection.transport
        self.write_buffer = connection.write_buffer
        self.head = head
        empty = head.framing is Framing.NONE
        self.body = RequestBody(
            self.transport, empty=empty, watch=self.factory.leaving_watch
        )
        self.pending_answer: Deferred | None = None
        self.answer: Answer | None = None
        self.framing = Framing.NONE
        self.keep_alive = head.keep_alive
        self.answered = False
        self.done = False
        self.lost = False
        self.continue_sent = False
        self.producing = False
        self.started_at = self.factory.clock.seconds()
        self.span = None
        self.role = "entry"
        self.route = ""

    def start(self) -> None:
        """Passes the call to the entry pipeline or the host pipeline."""
        peer_value = self.head.headers.get(PEER_HEADER)
        self.role = "entry" if peer_value is None else "host"
        self.span = self.factory.spans.start(
            self.role,
            self.head.headers.get(b"traceparent"),
            server=True,
        )
        pending_answer = ensureDeferred(self._serve(peer_value))
        self.pending_answer = pending_answer
        pending_answer.addCallbacks(self._on_answer, self._failed)
        pending_answer.addErrback(self._delivery_failed)

    async def _serve(self, peer_value: bytes | None) -> Answer:
        if self.head.length > self.factory.limits.body_bytes:
            return refusal_answer(
                Refusal(
                    status=413,
                    reason=RefusalReason.BODY_TOO_LARGE,
                    ran=Ran.NO,
                    detail="body is larger than the limit",
                )
            )
        if peer_value is None:
            return await self.factory.entry.serve(
                self.head,
                self.body,
                self.send_continue,
                self.span,
            )
        if not self.factory.is_peer(peer_value):
            return refusal_answer(
                Refusal(
                    status=403,
                    reason=RefusalReason.NOT_A_PEER,
                    ran=Ran.NO,
                    detail="field is for nodes only",
                )
            )
        self.connection.is_from_node = True
        now = self.factory.clock.seconds()
        traceparent = self.factory.spans.traceparent(self.span)
        steps = (
            sanitize_request,
            lambda head: with_traceparent(head, traceparent),
            lambda head: parse_host_request(
                head, peer_value, now, self.factory.host.header_names
            ),
        )
        request = run_steps(self.head, steps, Refusal)
        if isinstance(request, Refusal):
            return refusal_answer(request, to_node=True)
        self.route = request.route
        host = self.factory.host
        asker = parse_asker(self.head)
        if asker:
            host.vacancies.asked(asker, now)
        permit = host.intake.permit(self.head, self.body, self.send_continue)
        try:
            answer = await host.serve(request, self.body, permit.request)
        finally:
            permit.release()
        if answer.refusal is not None:
            host.report.refused(request, answer.refusal)
        return answer

    def send_continue(self) -> None:
        """Sends a 100 Continue once, if the peer expects it."""
        if self.continue_sent or self.head.headers.get(b"expect") is None:
            return
        self.continue_sent = True
        if not self.body.received_bytes and not self.connection.closing:
            self.write_buffer.write(CONTINUE_LINE)

    def _on_answer(self, answer: Answer) -> None:
        if self.done:
            answer.cancel()
            return
        self.answer = answer
        if self.is_next:
            self._deliver(answer)

    def give_up(self) -> None:
        """Answers the call as broken unless its answer has begun."""
        if self.answer is None and not self.done:
            self.pending_answer.cancel()

    def start_sending(self) -> None:
        """Sends the answer, or allows it to be sent once there is one."""
        self.is_next = True
        if self.answer is not None:
            self._deliver(self.answer)

    def _deliver(self, answer: Answer) -> None:
        head = answer.head
        self.framing = head.framing
        if head.framing is Framing.CLOSE:
            self.framing = Framing.CHUNKED
        if self.framing is Framing.CHUNKED and not self.head.is_http11:
            self.framing = Framing.CLOSE
        # An unread body leaves the connection in the middle of a message, so
        # it cannot carry another request.
        has_body = self.head.framing is not Framing.NONE
        is_unread = has_body and not self.body.ended and not self.body.sink
        is_last_call = self.factory.leaving and self.connection.is_last(self)
        if is_unread or self.framing is Framing.CLOSE or is_last_call:
            self.keep_alive = False
        encoded_head = encode_response(
            head,
            self._added_fields(answer),
            framing=self.framing,
            keep_alive=self.keep_alive,
            bodiless=self.head.method == b"HEAD",
        )
        # Parts of the body that were already received are sent with the head.
        self.write_buffer.cork()
        self.write_buffer.write(encoded_head)
        answer.stream_to(self)
        self.write_buffer.uncork()
        # Metrics are recorded last, so that the caller does not wait for them.
        self._observe(answer)

    def _added_fields(self, answer: Answer) -> tuple[Field, ...]:
        if self.role == "host":
            report = self.factory.host.load_report(self.route, self.head.length)
            return load_fields(report)
        if answer.refusal is not None:
            return request_id_fields(self.head, self.factory.entry.header_names)
        return ()

    def _observe(self, answer: Answer) -> None:
        duration_s = self.factory.clock.seconds() - self.started_at
        metrics = self.factory.metrics
        status = answer.head.status
        metrics.count(
            "fulmarrudder_calls_total",
            ("role", self.role),
            ("status", f"{status // 100}xx"),
        )
        metrics.observe(
            "fulmarrudder_call_seconds", duration_s, ("role", self.role)
        )
        refusal = answer.refusal
        if refusal is not None:
            metrics.count(
                "fulmarrudder_refusals_total",
                ("reason", refusal.reason.value),
                ("ran", refusal.ran.value),
            )
            self._log_refusal(refusal, duration_s)
        self.factory.spans.end(self.span, status=status)

    def _log_refusal(self, refusal: Refusal, duration_s: float) -> None:
        if self.route:
            # The host pipeline has reported it.
            return
        factory, kind = self.factory, (self.role, refusal.reason)
        now = factory.clock.seconds()
        if not factory.events.allow(now, "call-refused", kind):
            return
        state = factory.entry.active_config.state
        factory.events.write(
            "call-refused",
            kind,
            role=self.role,
            request=self.request_id,
            path=self.head.target.decode("latin-1"),
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            status=refusal.status,
            detail=refusal.detail,
            took_ms=round(duration_s * 1000, 1),
            version=state.version if state else 0,
            running=factory.host.slots.taken,
            queued=factory.host.slots.queued,
            **self._freshness_fields(refusal, now),
        )

    def _freshness_fields(self, refusal: Refusal, now: float) -> dict:
        if refusal.reason is not RefusalReason.NO_ROUTE:
            return {}
        return self.factory.entry.freshness.log_fields(now)

    @property
    def request_id(self) -> str:
        """Id that the caller gave the request, or a dash."""
        return request_id_of(self.head, self.factory.entry.header_names)

    def _failed(self, failure) -> None:
        if failure.check(CancelledError) is None:
            logs.error(
                "call-failed",
                request=self.request_id,
                error=failure.type.__name__,
                detail=failure.getErrorMessage(),
                trace=failure.getBriefTraceback(),
            )
        if self.done or self.lost:
            return
        refusal = Refusal(
            status=502,
            reason=RefusalReason.CONNECTION_BROKEN,
            ran=Ran.UNKNOWN,
            detail="internal error",
        )
        self._on_answer(refusal_answer(refusal))

    def _delivery_failed(self, failure):
        # A part of the answer may have been sent, so that no other can follow.
        self.abort_answer()
        return failure

    def _log_end(self, event: str) -> None:
        """Writes an event about a call that ends without a full answer."""
        factory = self.factory
        now = factory.clock.seconds()
        kind = (self.role, self.answer is None)
        if not factory.events.allow(now, event, kind):
            return
        factory.events.write(
            event,
            kind,
            role=self.role,
            request=self.request_id,
            path=self.head.target.decode("latin-1"),
            status=self.answer.head.status if self.answer else None,
            body_ended=self.body.ended,
            body_bytes=self.body.received_bytes,
            took_ms=round((now - self.started_at) * 1000, 1),
            leaving=factory.leaving,
        )

    def set_producer(self, producer) -> None:
        """Registers the producer to pause while the transport is full."""
        if self.producing:
            self.producing = False
            self.transport.unregisterProducer()
        if producer is not None and not self.connection.closing:
            self.producing = True
            self.transport.registerProducer(producer, True)

    def write_part(self, data: bytes) -> None:
        """Sends a part of the answer."""
        if self.head.method != b"HEAD":
            self.write_buffer.write(encode_part(self.framing, data))

    def write_end(self) -> None:
        """Sends the end of the answer."""
        if self.done:
            return
        bodiless = self.head.method == b"HEAD"
        self.write_buffer.send(b"" if bodiless else encode_end(self.framing))
        self.answered = True
        if self.body.ended:
            self._finish(self.keep_alive)
            return
        # Closing a connection with unread bytes resets it, and the peer could
        # lose the answer. So the body is read for `LINGER_S` before the close.
        self.body.attach(_DiscardSink())
        self.factory.clock.callLater(LINGER_S, self._finish, False)

    def abort_answer(self) -> None:
        """Aborts the connection, so that the answer is seen as incomplete."""
        if self.done:
            return
        self._log_end("answer-cut-off")
        self.write_buffer.abort()
        self._finish(False)

    def finish_if_answered(self) -> None:
        """Finishes a call that was answered before the end of its body."""
        if self.answered and not self.done:
            self._finish(self.keep_alive)

    def caller_lost(self) -> None:
        """Cancels the call."""
        if self.done:
            return
        self.lost = True
        self._log_end("caller-lost")
        self.body.receive_abort()
        if self.answer is not None:
            self.answer.cancel()
        elif self.pending_answer is not None:
            self.pending_answer.cancel()
        self._finish(False)

    def _finish(self, reusable: bool) -> None:
        if self.done:
            return
        self.done = True
        self.factory.leaving_watch.discard(self.body)
        self.connection.call_done(self, reusable)
