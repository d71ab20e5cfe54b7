"""Spans for each hop of a call, exported within the loop.

The SDK's batch processor exports from a thread of its own. The processor
here queues ended spans, and the daemon's loop drains the queue.
"""

import collections
from collections.abc import Callable

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import SpanKind
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from fulmarrudder.clock import Clock
from fulmarrudder.observe import logs

MAX_QUEUED_SPANS = 2_048
DRAIN_LIMIT = 3
DRAIN_S = 0.02
TRACEPARENT = "traceparent"
TRACESTATE = "tracestate"


class QueueProcessor(SpanProcessor):
    """Queues ended spans until the loop drains them.

    Attributes:
        ended: Spans that have ended, oldest first.
        dropped: Spans dropped because the queue was full.
        on_first: Called when the queue was empty and now holds a span.
    """

    def __init__(self, on_first: Callable[[], None]):
        self.on_first = on_first
        self.ended: collections.deque = collections.deque()
        self.dropped = 0

    def on_end(self, span) -> None:
        """Queues a span."""
        if len(self.ended) >= MAX_QUEUED_SPANS:
            self.dropped += 1
            return
        self.ended.append(span)
        if len(self.ended) == 1:
            self.on_first()

    def shutdown(self) -> None:
        """Does nothing; the daemon drains the queue when it stops."""

    def force_flush(self, timeout_millis: int = 0) -> bool:
        """Does nothing; see `shutdown`."""
        return True


class Spans:
    """Starts spans and writes them out.

    Attributes:
        processor: Holds what has ended.
    """

    def __init__(self, clock: Clock, ratio: float):
        """Sets up tracing for one node.

        Args:
            clock: Calls back to drain the queue.
            ratio: Share of traces begun here that is kept, 0 to 1.
        """
        self.clock = clock
        self.processor = QueueProcessor(self._drain_later)
        self.enabled = ratio > 0
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(ratio)),
            resource=Resource({"service.name": "fulmarrudder"}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self.processor)
        self.tracer = provider.get_tracer("fulmarrudder")
        self.propagator = TraceContextTextMapPropagator()

    def start(self, name: str, traceparent: bytes | None, *, server: bool):
        """Starts a span below the one that a message names.

        Args:
            name: What the hop does.
            traceparent: Value of the message's W3C field, or None.
            server: Whether the hop serves rather than sends.

        Returns:
            The span, or None when tracing is off.
        """
        if not self.enabled:
            return None
        context = None
        if traceparent is not None:
            carrier = {TRACEPARENT: traceparent.decode("latin-1")}
            context = self.propagator.extract(carrier)
        kind = SpanKind.SERVER if server else SpanKind.CLIENT
        return self.tracer.start_span(name, context=context, kind=kind)

    def traceparent(self, span) -> bytes | None:
        """Returns the W3C field that names a span."""
        if span is None:
            return None
        context = span.get_span_context()
        return b"00-%032x-%016x-%02x" % (
            context.trace_id,
            context.span_id,
            context.trace_flags,
        )

    def set_attributes(self, span, **attributes) -> None:
        """Adds attributes to a span."""
        if span is not None and span.is_recording():
            span.set_attributes(attributes)

    def end(self, span, **attributes) -> None:
        """Ends a span."""
        if span is None:
            return
        self.set_attributes(span, **attributes)
        span.end()

    def _drain_later(self) -> None:
        self.clock.callLater(DRAIN_S, self._drain_some)

    def _drain_some(self) -> None:
        self.drain(DRAIN_LIMIT)
        if self.processor.ended:
            self._drain_later()

    def drain(self, limit: int) -> None:
        """Writes out spans that have ended.

        Args:
            limit: Most spans to write, so that calls do not wait for them.
        """
        ended = self.processor.ended
        while ended and limit > 0:
            limit -= 1
            _write(ended.popleft())


def _write(span) -> None:
    context = span.get_span_context()
    parent = span.parent
    logs.info(
        "span",
        name=span.name,
        trace=trace.format_trace_id(context.trace_id),
        span=trace.format_span_id(context.span_id),
        parent=trace.format_span_id(parent.span_id) if parent else "-",
        start_ns=span.start_time,
        took_us=(span.end_time - span.start_time) // 1000,
        **dict(span.attributes or {}),
    )
