"""What an entry node has seen of an endpoint, and has been told of it."""

import dataclasses
import enum

EWMA_WEIGHT = 0.2
# What an endpoint told of its load says nothing any more after this long.
LOAD_REPORT_TTL_S = 0.5
# How long a request is taken to run where nothing has been told.
DEFAULT_SERVICE_TIME_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """What the node beside a target told of it.

    Attributes:
        load: Requests that ran or waited there.
        service_time_s: How long one of the kind asked for takes, once it runs.
    """

    load: int
    service_time_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitEstimate:
    """How long a request is likely to wait for a slot, and then to hold it."""

    wait_s: float
    service_time_s: float


@dataclasses.dataclass(slots=True)
class EndpointStats:
    """What this node has seen of one endpoint.

    Attributes:
        since: When it appeared or returned, in clock seconds.
        outstanding: Requests sent and not answered yet.
        latency_by: Moving averages of the time until an answer, by kind of
            request.
        failing: Moving average of the part that failed or was turned away.
        failures: Failures in a row.
        ejections: Ejections in a row.
        ejected_until: Clock seconds.
        others: Requests of other nodes there, when it last told.
        service_time_s: How long a request runs there, as far as it has told; moving
            average over all kinds.
        service_time_by_route: The same, by kind of request, as last told.
        told_at: Clock seconds at which it last told.
        owes_since: Clock seconds since which it has owed an answer and told
            nothing.
        failed_at: Clock seconds of the latest request that failed or was
            turned away.
    """

    since: float
    outstanding: int = 0
    latency_by: dict[str, float] = dataclasses.field(default_factory=dict)
    failing: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    others: int = 0
    service_time_s: float = DEFAULT_SERVICE_TIME_S
    service_time_by_route: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    told_at: float = 0.0
    owes_since: float = 0.0
    failed_at: float = 0.0

    def answered(self, kind: str, took_s: float) -> None:
        """Notes how long an answer took."""
        known_s = self.latency_by.get(kind, took_s)
        self.latency_by[kind] = known_s + EWMA_WEIGHT * (took_s - known_s)

    def usual_s(self, kind: str) -> float:
        """Returns the seconds until an answer when no request waits there."""
        service_time_s = self.service_time_by_route.get(
            kind, self.service_time_s
        )
        return max(service_time_s, self.latency_by.get(kind, 0.0))

    def quiet_s(self, now: float) -> float:
        """Returns for how long it has owed answers and told nothing."""
        return now - self.owes_since if self.outstanding else 0.0

    def occupancy(self, now: float) -> float:
        """Returns how many requests are likely to run or wait there."""
        age = now - self.told_at
        others = self.others * max(0.0, 1.0 - age / LOAD_REPORT_TTL_S)
        return others + self.outstanding


class SlotState(enum.Enum):
    """What is known of an endpoint's slots."""

    FREE = "free"
    FULL = "full"
    UNKNOWN = "unknown"
