"""OpenTelemetry spans; imported only where tracing is on.

The batch processor of the OpenTelemetry SDK exports from its own thread. The
processor here hands ended spans on, and the reactor writes them.
"""

from collections.abc import Callable

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import SpanKind
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

TRACEPARENT = "traceparent"


class _EndedSpans(SpanProcessor):
    """Hands ended spans on.

    Attributes:
        on_ended: Called with each ended span.
    """

    def __init__(self, on_ended: Callable):
        self.on_ended = on_ended

    def on_end(self, span) -> None:
        """Hands a span on."""
        self.on_ended(span)

    def shutdown(self) -> None:
        """Does nothing; the node writes what waits when it stops."""

    def force_flush(self, timeout_millis: int = 0) -> bool:
        """Does nothing; see `shutdown`."""
        return True


class Tracer:
    """Starts spans."""

    def __init__(self, ratio: float, on_ended: Callable):
        """Sets up tracing for one node.

        Args:
            ratio: Share of traces started at this node that is sampled, above
                0 and up to 1.
            on_ended: Called with each ended span that is sampled.
        """
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(ratio)),
            resource=Resource({"service.name": "fulmarrudder"}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(_EndedSpans(on_ended))
        self.tracer = provider.get_tracer("fulmarrudder")
        self.propagator = TraceContextTextMapPropagator()

    def start(self, name: str, traceparent: bytes | None, *, server: bool):
        """Returns a new span; see `Spans.start`."""
        context = None
        if traceparent is not None:
            carrier = {TRACEPARENT: traceparent.decode("latin-1")}
            context = self.propagator.extract(carrier)
        kind = SpanKind.SERVER if server else SpanKind.CLIENT
        return self.tracer.start_span(name, context=context, kind=kind)
