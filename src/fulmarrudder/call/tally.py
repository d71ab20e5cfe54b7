"""Filter: counts requests, failures and latencies of targets as evidence."""

import dataclasses

from fulmarrudder.model import Tally

LATENCY_BUCKETS = 16
FIRST_BUCKET_BOUND_S = 0.001


@dataclasses.dataclass(slots=True)
class _Counts:
    """Counts of one service, target version and route."""

    requests: int = 0
    failures: int = 0
    latency_buckets: list[int] = dataclasses.field(
        default_factory=lambda: [0] * LATENCY_BUCKETS
    )


def bucket_of(latency_s: float) -> int:
    """Returns the index of the latency bucket; bounds double from 1 ms."""
    bound = FIRST_BUCKET_BOUND_S
    for index in range(LATENCY_BUCKETS - 1):
        if latency_s <= bound:
            return index
        bound *= 2
    return LATENCY_BUCKETS - 1


class Tallies:
    """Cumulative counts of the local target.

    Attributes:
        counts: Counts by service, target version and route.
    """

    def __init__(self):
        self.counts: dict[tuple[str, str, str], _Counts] = {}

    def record(
        self,
        service: str,
        version: str,
        route: str,
        *,
        failed: bool,
        latency_s: float | None,
    ) -> None:
        """Counts one request.

        Args:
            service: The target's service.
            version: The target's version.
            route: The route that the request took.
            failed: Whether it counts as a failure of the target.
            latency_s: Seconds until the answer's head; None leaves the
                request out of the latencies, as for a cold target.
        """
        key = (service, version, route)
        counts = self.counts.get(key)
        if counts is None:
            counts = self.counts[key] = _Counts()
        counts.requests += 1
        counts.failures += failed
        if latency_s is not None:
            counts.latency_buckets[bucket_of(latency_s)] += 1

    def of_service(self, service: str) -> tuple[Tally, ...]:
        """Returns the tallies of a service."""
        tallies = []
        for key, counts in sorted(self.counts.items()):
            if key[0] != service:
                continue
            tallies.append(
                Tally(
                    service=key[0],
                    target_version=key[1],
                    route=key[2],
                    requests=counts.requests,
                    failures=counts.failures,
                    latency_buckets=tuple(counts.latency_buckets),
                )
            )
        return tuple(tallies)
