"""Statistics of an endpoint: observed by an entry node, and reported to it."""

import dataclasses
import enum

EWMA_WEIGHT = 0.2
# A load report expires after this time; until then its load decays linearly.
LOAD_REPORT_TTL_S = 0.5
# Service time assumed before the first load report.
DEFAULT_SERVICE_TIME_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of a target, as its host node reports it with an answer.

    Attributes:
        load: Requests that run or wait for a slot there.
        service_time_s: Average time for which a request of the answered
            route occupies a slot.
        wait_s: Expected seconds until it has a slot free; None when that is
            not estimated.
        slowness: How many times longer than on average work takes now.
    """

    load: int
    service_time_s: float
    wait_s: float | None = None
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitEstimate:
    """Expected wait for a slot, and expected service time after it."""

    wait_s: float
    service_time_s: float


@dataclasses.dataclass(slots=True)
class EndpointStats:
    """Statistics of one endpoint.

    Attributes:
        slow_start_from: Clock seconds at which its slow start begins: when it
            appears, and when an ejection ends.
        outstanding: Requests sent and not answered yet.
        latency_by_route: Moving averages of the seconds until an answer.
        failure_rate: Moving average of the fraction of requests that failed or
            were shed.
        consecutive_failures: Failures since the last success.
        consecutive_ejections: Ejections since the last success.
        ejected_until: Clock seconds.
        load_from_others: Requests of other nodes there, at the last report.
        service_time_s: Moving average of reported service times, over all
            routes.
        service_time_by_route: Last reported service times.
        reported_at: Clock seconds of the last load report; 0 before the first.
        awaiting_since: Clock seconds since which requests are outstanding
            without a load report.
        last_failure_at: Clock seconds of the last request that failed or was
            shed.
        wait_s: Last reported wait for a slot; None when it reports none.
        slowness: Last reported slowness.
        sent_since: Requests sent to it since the last report.
    """

    slow_start_from: float
    outstanding: int = 0
    latency_by_route: dict[str, float] = dataclasses.field(default_factory=dict)
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0
    load_from_others: int = 0
    service_time_s: float = DEFAULT_SERVICE_TIME_S
    service_time_by_route: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    reported_at: float = 0.0
    awaiting_since: float = 0.0
    last_failure_at: float = 0.0
    wait_s: float | None = None
    slowness: float = 1.0
    sent_since: int = 0

    def record_latency(self, route: str, latency_s: float) -> None:
        """Adds a sample to the moving average of a route."""
        average_s = self.latency_by_route.get(route, latency_s)
        self.latency_by_route[route] = average_s + EWMA_WEIGHT * (
            latency_s - average_s
        )

    def service_time_of(self, route: str) -> float:
        """Returns the last reported service time of a route, in seconds.

        It is the average over all routes while none was reported.
        """
        return self.service_time_by_route.get(route, self.service_time_s)

    def unloaded_latency_s(self, route: str) -> float:
        """Returns the expected latency when no request waits for a slot."""
        service_time_s = self.service_time_of(route)
        return max(service_time_s, self.latency_by_route.get(route, 0.0))

    def report_weight(self, now: float) -> float:
        """Returns how much the last load report counts, from 1 down to 0."""
        age = now - self.reported_at
        return max(0.0, 1.0 - age / LOAD_REPORT_TTL_S)

    def latency_now_s(self, route: str, now: float, slots: int) -> float:
        """Returns the expected latency by the wait and slowness reported.

        Args:
            route: Name of the route.
            now: Clock seconds.
            slots: Slots of the target.
        """
        weight = self.report_weight(now)
        slowness = 1.0 + weight * (self.slowness - 1.0)
        service_time_s = self.service_time_of(route)
        return self.wait_now_s(now, slots) + max(
            service_time_s * slowness, self.latency_by_route.get(route, 0.0)
        )

    def wait_now_s(self, now: float, slots: int) -> float:
        """Returns the expected wait for a slot, by the last report.

        Args:
            now: Clock seconds.
            slots: Slots of the target.
        """
        excess = max(0.0, self.expected_load(now) + 1 - slots)
        added_s = self.service_time_s * min(self.sent_since, excess) / slots
        return self.wait_s * self.report_weight(now) + added_s

    def stalled_s(self, now: float) -> float:
        """Returns for how long requests are outstanding without a report."""
        return now - self.awaiting_since if self.outstanding else 0.0

    def expected_load(self, now: float) -> float:
        """Estimates how many requests run or wait there now."""
        load_from_others = self.load_from_others * self.report_weight(now)
        return load_from_others + self.outstanding


class SlotState(enum.Enum):
    """Whether an endpoint has a free slot, by its last load report."""

    FREE = "free"
    FULL = "full"
    UNKNOWN = "unknown"
