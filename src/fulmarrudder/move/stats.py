"""Filter: cumulative evidence of many nodes to counts over an interval."""

import collections
import dataclasses

from fulmarrudder.model import Evidence, Tally

WINDOWS_S = (10.0, 20.0, 40.0, 80.0)
MARK_EVERY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Counts:
    """What became of the requests of one target version on one route.

    Attributes:
        latency_buckets: Counts by latency bucket; see `Tally`.
    """

    requests: int = 0
    failures: int = 0
    latency_buckets: tuple[int, ...] = ()

    def plus(self, other: "Counts") -> "Counts":
        """Returns the counts of both."""
        return Counts(
            requests=self.requests + other.requests,
            failures=self.failures + other.failures,
            latency_buckets=_each(
                self.latency_buckets, other.latency_buckets, 1
            ),
        )

    def minus(self, other: "Counts") -> "Counts":
        """Returns what has been counted since the other counts."""
        return Counts(
            requests=max(0, self.requests - other.requests),
            failures=max(0, self.failures - other.failures),
            latency_buckets=_each(
                self.latency_buckets, other.latency_buckets, -1
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteEvidence:
    """The two versions on one route over the same interval."""

    route: str
    old: Counts
    new: Counts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """The evidence of one interval, by route."""

    routes: tuple[RouteEvidence, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failures:
    """Failures of both versions on one route, interval by interval.

    Were the versions alike, each failure of an interval would be the new
    version's with the chance that one of its requests was.

    Attributes:
        total: Failures of both.
        new: Failures of the new version.
        expected: Failures that would be the new version's by chance.
        evidence: Requests and failures of each version.
    """

    route: str
    total: int
    new: int
    expected: float
    evidence: RouteEvidence

    def plus(self, other: "Failures") -> "Failures":
        """Returns the failures of both under this one's route."""
        return Failures(
            route=self.route,
            total=self.total + other.total,
            new=self.new + other.new,
            expected=self.expected + other.expected,
            evidence=RouteEvidence(
                route=self.route,
                old=self.evidence.old.plus(other.evidence.old),
                new=self.evidence.new.plus(other.evidence.new),
            ),
        )


NOTHING = Counts()
INTERVAL_S = 5.0
Totals = dict[tuple[str, str], Counts]


class MoveStats:
    """Evidence on one move, as far as it is known here.

    Attributes:
        totals: Counts since the ledger was opened, by target version and
            route.
        samples: Earlier totals, oldest first, with their clock seconds.
        step: Totals when the present share began.
        closed: Failures of the intervals that have passed, by route.
    """

    def __init__(self, service: str, old: str, new: str, now: float):
        self.service = service
        self.old = old
        self.new = new
        self.sources: dict[tuple[str, int], dict] = {}
        self.totals: Totals = {}
        self.samples: collections.deque = collections.deque([(now, {})])
        self.step: Totals = {}
        self.closed: dict[str, Failures] = {}
        self.interval: Totals = {}
        self.interval_until = now + INTERVAL_S

    def add(self, evidence: Evidence) -> None:
        """Adds what a source has counted since it was last heard.

        A source may have counted long before the move, so that its first
        tallies are where counting starts.

        Args:
            evidence: Cumulative tallies of the source.
        """
        key = (evidence.source, evidence.incarnation)
        known = self.sources.get(key)
        first = known is None
        if first:
            known = self.sources[key] = {}
        for tally in evidence.tallies:
            if tally.service != self.service:
                continue
            place = (self._side(tally.target_version), tally.route)
            counts = _counts_of(tally)
            before = known.get(place, NOTHING)
            known[place] = counts
            if first:
                continue
            total = self.totals.get(place, NOTHING)
            self.totals[place] = total.plus(counts.minus(before))

    def _side(self, version: str) -> str:
        # A move that names no old version leads away from all but the new.
        if self.old or version == self.new:
            return version
        return self.old

    def sample(self, now: float) -> None:
        """Remembers the totals, for counts over the latest seconds."""
        if now >= self.interval_until:
            self.closed = {part.route: part for part in self.failures()}
            self.interval = dict(self.totals)
            self.interval_until = now + INTERVAL_S
        if now - self.samples[-1][0] < MARK_EVERY_S:
            return
        self.samples.append((now, dict(self.totals)))
        while (
            len(self.samples) > 1 and self.samples[1][0] <= now - WINDOWS_S[-1]
        ):
            self.samples.popleft()

    def begin_step(self) -> None:
        """Starts counting anew for the present share."""
        self.step = dict(self.totals)

    def failures(self) -> tuple[Failures, ...]:
        """Returns the failures since the ledger was opened, by route."""
        found = []
        for part in self._between(self.interval):
            now = _failures_of(part)
            before = self.closed.get(part.route)
            found.append(before.plus(now) if before else now)
        return tuple(found)

    def step_evidence(self) -> tuple[RouteEvidence, ...]:
        """Returns the evidence of the present share, by route."""
        return self._between(self.step)

    def recent_windows(self, now: float) -> tuple[Window, ...]:
        """Returns the evidence of the latest seconds, by route.

        Args:
            now: Clock seconds.

        Returns:
            Windows, the shortest first.
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
        place = (version, route)
        total = self.totals.get(place, NOTHING)
        return total.minus(start.get(place, NOTHING))


def sum_evidence(evidence: tuple[RouteEvidence, ...]) -> RouteEvidence:
    """Returns the evidence of all routes together; its route is empty."""
    old = new = NOTHING
    for part in evidence:
        old = old.plus(part.old)
        new = new.plus(part.new)
    return RouteEvidence(route="", old=old, new=new)


def sum_failures(parts: tuple[Failures, ...]) -> Failures:
    """Returns the failures of all routes together; its route is empty."""
    nothing = RouteEvidence(route="", old=NOTHING, new=NOTHING)
    whole = Failures(route="", total=0, new=0, expected=0.0, evidence=nothing)
    for part in parts:
        whole = whole.plus(part)
    return whole


def _failures_of(part: RouteEvidence) -> Failures:
    requests = part.old.requests + part.new.requests
    share = part.new.requests / requests if requests else 0.0
    total = part.old.failures + part.new.failures
    return Failures(
        route=part.route,
        total=total,
        new=part.new.failures,
        expected=total * share,
        evidence=part,
    )


def _counts_of(tally: Tally) -> Counts:
    return Counts(
        requests=tally.requests,
        failures=tally.failures,
        latency_buckets=tally.latency_buckets,
    )


def _each(
    first: tuple[int, ...], second: tuple[int, ...], sign: int
) -> tuple[int, ...]:
    size = max(len(first), len(second))
    first += (0,) * (size - len(first))
    second += (0,) * (size - len(second))
    return tuple(
        max(0, a + sign * b) for a, b in zip(first, second, strict=True)
    )
