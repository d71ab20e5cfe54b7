"""Events about single requests, written at a limited rate."""

import dataclasses
from collections.abc import Hashable

from fulmarrudder.observe import logs
from fulmarrudder.observe.metrics import Metrics

# Rate and burst of the lines of one kind. A node under load writes a few kinds
# at once, and each line costs as much processor time as a tenth of a request.
LINES_PER_S = 5
MAX_BURST_LINES = 20
SUPPRESSED_METRIC = "fulmarrudder_log_lines_suppressed_total"


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of one kind of event.

    Attributes:
        second: Clock second of the last refill.
        suppressed: Lines suppressed since the last one written.
    """

    second: int
    tokens: int = MAX_BURST_LINES
    suppressed: int = 0


class EventLog:
    """Writes events about single requests at a limited rate.

    Each kind of event has a token bucket, which is refilled at the start of
    each second, so that frequent events don't suppress rare ones. Suppressed
    lines are counted, and the next line of the kind carries the count.

    Attributes:
        buckets: Token buckets by event and kind.
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.buckets: dict[tuple[str, Hashable], _Bucket] = {}

    def allow(self, now: float, event: str, kind: Hashable = None) -> bool:
        """Returns whether an event may be written; counts it if not.

        Args:
            now: Clock seconds.
            event: Name of the event.
            kind: Distinguishes events of the same name; one of few values.
        """
        second = int(now)
        bucket = self.buckets.get((event, kind))
        if bucket is None:
            bucket = self.buckets[(event, kind)] = _Bucket(second)
        if second > bucket.second:
            gained = (second - bucket.second) * LINES_PER_S
            bucket.tokens = min(MAX_BURST_LINES, bucket.tokens + gained)
            bucket.second = second
        if bucket.tokens:
            bucket.tokens -= 1
            return True
        bucket.suppressed += 1
        self.metrics.count(SUPPRESSED_METRIC, ("event", event))
        return False

    def write(self, event: str, kind: Hashable = None, **fields) -> None:
        """Writes an event for which `allow` has returned True.

        Args:
            event: Name of the event.
            kind: The kind given to `allow`.
            **fields: Fields of the event.
        """
        bucket = self.buckets[(event, kind)]
        if bucket.suppressed:
            fields["suppressed"] = bucket.suppressed
            bucket.suppressed = 0
        logs.info(event, **fields)

    def info(
        self, now: float, event: str, kind: Hashable = None, **fields
    ) -> None:
        """Writes an event unless that exceeds the rate limit.

        Args:
            now: Clock seconds.
            event: Name of the event.
            kind: Distinguishes events of the same name; one of few values.
            **fields: Fields of the event.
        """
        if self.allow(now, event, kind):
            self.write(event, kind, **fields)
