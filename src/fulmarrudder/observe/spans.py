"""Spans for each hop of a call, written out on the reactor's thread."""

import collections

from fulmarrudder.clock import Clock
from fulmarrudder.observe import logs

MAX_QUEUED_SPANS = 2_048
SPANS_PER_DRAIN = 3
DRAIN_DELAY_S = 0.02


class Spans:
    """Starts and ends spans and writes ended ones to the log.

    Attributes:
        tracer: Starts spans; None when tracing is off.
        queue: Ended spans that are not written yet, oldest first.
        dropped: Spans dropped because the queue was full.
    """

    def __init__(self, clock: Clock, ratio: float):
        """Sets up tracing for one node.

        Args:
            clock: Schedules the draining of the queue.
            ratio: Share of traces started at this node that is sampled, 0 to
                1; 0 turns tracing off.
        """
        self.clock = clock
        self.tracer = None
        self.queue: collections.deque = collections.deque()
        self.dropped = 0
        if ratio > 0:
            # A node without tracing starts sooner without OpenTelemetry.
            from fulmarrudder.observe.tracer import Tracer

            self.tracer = Tracer(ratio, self._put)

    def start(self, name: str, traceparent: bytes | None, *, server: bool):
        """Starts a child of the span that a message refers to.

        Args:
            name: Name of the span.
            traceparent: Value of the message's W3C `traceparent` field, or
                None for a new trace.
            server: Whether the span is of kind server rather than client.

        Returns:
            The span, or None when tracing is off.
        """
        if self.tracer is None:
            return None
        return self.tracer.start(name, traceparent, server=server)

    def traceparent(self, span) -> bytes | None:
        """Returns the W3C `traceparent` value of a span, or None."""
        if span is None:
            return None
        context = span.get_span_context()
        return b"00-%032x-%016x-%02x" % (
            context.trace_id,
            context.span_id,
            context.trace_flags,
        )

    def set_attributes(self, span, **attributes) -> None:
        """Sets attributes of a span that is recording."""
        if span is not None and span.is_recording():
            span.set_attributes(attributes)

    def end(self, span, **attributes) -> None:
        """Sets final attributes, and ends a span."""
        if span is None:
            return
        self.set_attributes(span, **attributes)
        span.end()

    def _put(self, span) -> None:
        if len(self.queue) >= MAX_QUEUED_SPANS:
            self.dropped += 1
            return
        self.queue.append(span)
        if len(self.queue) == 1:
            self._drain_later()

    def _drain_later(self) -> None:
        self.clock.callLater(DRAIN_DELAY_S, self._drain_some)

    def _drain_some(self) -> None:
        try:
            self.drain(SPANS_PER_DRAIN)
        finally:
            # A span that cannot be written does not keep later ones.
            if self.queue:
                self._drain_later()

    def drain(self, limit: int) -> None:
        """Writes ended spans to the log.

        Args:
            limit: Maximum number of spans to write, so that calls are not
                delayed.
        """
        while self.queue and limit > 0:
            limit -= 1
            _write(self.queue.popleft())


def _write(span) -> None:
    context = span.get_span_context()
    parent = span.parent
    logs.info(
        "span",
        name=span.name,
        trace=f"{context.trace_id:032x}",
        span=f"{context.span_id:016x}",
        parent=f"{parent.span_id:016x}" if parent else "-",
        start_ns=span.start_time,
        took_us=(span.end_time - span.start_time) // 1000,
        **dict(span.attributes or {}),
    )
