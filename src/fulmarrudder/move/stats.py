"""Filter: cumulative evidence of many nodes to counts over intervals."""

import collections
import dataclasses

from fulmarrudder.model import Evidence, Tally

WINDOWS_S = (10.0, 20.0, 40.0, 80.0)
SAMPLE_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Counts:
    """Outcomes of the requests to one target version on one route.

    Attributes:
        latency_buckets: Number of answers by latency; see `Tally`.
    """

    requests: int = 0
    failures: int = 0
    latency_buckets: tuple[int, ...] = ()

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sum of two counts."""
        return Counts(
            requests=self.requests + other.requests,
            failures=self.failures + other.failures,
            latency_buckets=_add_buckets(
                self.latency_buckets, other.latency_buckets, 1
            ),
        )

    def minus(self, other: "Counts") -> "Counts":
        """Returns the counts added since the earlier counts `other`."""
        return Counts(
            requests=max(0, self.requests - other.requests),
            failures=max(0, self.failures - other.failures),
            latency_buckets=_add_buckets(
                self.latency_buckets, other.latency_buckets, -1
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteEvidence:
    """Counts of both versions on one route, over the same interval."""

    route: str
    old: Counts
    new: Counts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """The evidence of one interval, by route."""

    routes: tuple[RouteEvidence, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failures:
    """Failures of both versions on one route, added up over intervals.

    Under the null hypothesis that the versions are alike, the failures of an
    interval are a random part of its requests.

    Attributes:
        total: Failures of both versions.
        new: Failures of the new version.
        expected: Expected failures of the new version under the null
            hypothesis.
        variance: Variance of that number.
        evidence: Counts of each version.
    """

    route: str
    total: int
    new: int
    expected: float
    variance: float
    evidence: RouteEvidence

    def plus(self, other: "Failures") -> "Failures":
        """Returns the sum of two failure counts, with this one's route."""
        return Failures(
            route=self.route,
            total=self.total + other.total,
            new=self.new + other.new,
            expected=self.expected + other.expected,
            variance=self.variance + other.variance,
            evidence=RouteEvidence(
                route=self.route,
                old=self.evidence.old.plus(other.evidence.old),
                new=self.evidence.new.plus(other.evidence.new),
            ),
        )


NO_COUNTS = Counts()
FAILURE_INTERVAL_S = 5.0
Totals = dict[tuple[str, str], Counts]


class MoveStats:
    """Statistics of one move, from the evidence that reaches this node.

    Attributes:
        service: Service that moves.
        old: Old target version; empty when the move does not name one.
        new: New target version.
        sources: Latest counts of each source and incarnation.
        totals: Counts since the statistics began, by target version and
            route.
        samples: Earlier totals with their clock seconds, oldest first.
        step_start: Totals at the start of the present share.
        past_failures: Failures of the intervals that have ended, by route.
        interval_start: Totals at the start of the present interval.
        interval_end: Clock seconds at which the present interval ends.
    """

    def __init__(self, service: str, old: str, new: str, now: float):
        self.service = service
        self.old = old
        self.new = new
        self.sources: dict[tuple[str, int], dict] = {}
        self.totals: Totals = {}
        self.samples: collections.deque = collections.deque([(now, {})])
        self.step_start: Totals = {}
        self.past_failures: dict[str, Failures] = {}
        self.interval_start: Totals = {}
        self.interval_end = now + FAILURE_INTERVAL_S

    def add(self, evidence: Evidence) -> None:
        """Adds the counts of a source since its previous evidence.

        A source may have counted since long before the move, so its first
        tallies only set the baseline.

        Args:
            evidence: Cumulative tallies of the source.
        """
        source = (evidence.source, evidence.incarnation)
        latest = self.sources.get(source)
        is_first = latest is None
        if is_first:
            latest = self.sources[source] = {}
        for tally in evidence.tallies:
            if tally.service != self.service:
                continue
            series = (self._counted_version(tally.target_version), tally.route)
            counts = _counts_of(tally)
            previous = latest.get(series, NO_COUNTS)
            latest[series] = counts
            if is_first:
                continue
            total = self.totals.get(series, NO_COUNTS)
            self.totals[series] = total.plus(counts.minus(previous))

    def _counted_version(self, version: str) -> str:
        # If the move names no old version, every other version counts as old.
        if self.old or version == self.new:
            return version
        return self.old

    def sample(self, now: float) -> None:
        """Stores a sample of the totals, for counts over the latest seconds."""
        if now >= self.interval_end:
            self._begin_interval()
            self.interval_end = now + FAILURE_INTERVAL_S
        if now - self.samples[-1][0] < SAMPLE_INTERVAL_S:
            return
        self.samples.append((now, dict(self.totals)))
        while (
            len(self.samples) > 1 and self.samples[1][0] <= now - WINDOWS_S[-1]
        ):
            self.samples.popleft()

    def begin_step(self) -> None:
        """Restarts the counts of the present share.

        It begins an interval of its own: in one with two shares, a failure that
        comes with the second would count against the version that it adds.
        """
        self._begin_interval()
        self.step_start = dict(self.totals)

    def _begin_interval(self) -> None:
        self.past_failures = {part.route: part for part in self.failures()}
        self.interval_start = dict(self.totals)

    def failures(self) -> tuple[Failures, ...]:
        """Returns the failures since the statistics began, by route."""
        found = []
        for part in self._between(self.interval_start):
            present = failures_of(part)
            past = self.past_failures.get(part.route)
            found.append(past.plus(present) if past else present)
        return tuple(found)

    def step_evidence(self) -> tuple[RouteEvidence, ...]:
        """Returns the evidence of the present share, by route."""
        return self._between(self.step_start)

    def recent_windows(self, now: float) -> tuple[Window, ...]:
        """Returns the evidence of the latest seconds, by route.

        Args:
            now: Clock seconds.

        Returns:
            Windows, shortest first.
        """
        windows = []
        for length in WINDOWS_S:
            start = self.samples[0][1]
            for at, totals in self.samples:
                if at > now - length:
                    break
                start = totals
            windows.append(Window(routes=self._between(start)))
        return tuple(windows)

    def _between(self, start: Totals) -> tuple[RouteEvidence, ...]:
        found = []
        for route in sorted({route for _, route in self.totals}):
            found.append(
                RouteEvidence(
                    route=route,
                    old=self._since(start, self.old, route),
                    new=self._since(start, self.new, route),
                )
            )
        return tuple(found)

    def _since(self, start: Totals, version: str, route: str) -> Counts:
        series = (version, route)
        total = self.totals.get(series, NO_COUNTS)
        return total.minus(start.get(series, NO_COUNTS))


def sum_evidence(evidence: tuple[RouteEvidence, ...]) -> RouteEvidence:
    """Returns the evidence of all routes together; its route is empty."""
    old = new = NO_COUNTS
    for part in evidence:
        old = old.plus(part.old)
        new = new.plus(part.new)
    return RouteEvidence(route="", old=old, new=new)


def sum_failures(parts: tuple[Failures, ...]) -> Failures:
    """Returns the failures of all routes together; its route is empty."""
    nothing = RouteEvidence(route="", old=NO_COUNTS, new=NO_COUNTS)
    summed = failures_of(nothing)
    for part in parts:
        summed = summed.plus(part)
    return summed


def failures_of(part: RouteEvidence) -> Failures:
    """Returns the failures that were counted in one interval."""
    requests = part.old.requests + part.new.requests
    share = part.new.requests / requests if requests else 0.0
    total = part.old.failures + part.new.failures
    served = (requests - total) / (requests - 1) if requests > 1 else 0.0
    return Failures(
        route=part.route,
        total=total,
        new=part.new.failures,
        expected=total * share,
        variance=total * share * (1.0 - share) * served,
        evidence=part,
    )


def _counts_of(tally: Tally) -> Counts:
    return Counts(
        requests=tally.requests,
        failures=tally.failures,
        latency_buckets=tally.latency_buckets,
    )


def _add_buckets(
    first: tuple[int, ...], second: tuple[int, ...], sign: int
) -> tuple[int, ...]:
    size = max(len(first), len(second))
    first += (0,) * (size - len(first))
    second += (0,) * (size - len(second))
    return tuple(
        max(0, a + sign * b) for a, b in zip(first, second, strict=True)
    )
