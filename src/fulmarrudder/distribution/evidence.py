"""Filter: evidence of many nodes to the sums that versions are compared by.

Each node of a fleet without relays reports to one gateway of its data centre,
its collector. A collector adds up what the nodes answered since they began to
report to it, and broadcasts the sum, a cumulative count with the collector as
its source. Readers count sums only, so that no answer counts twice, and what
crosses a link does not grow with the number of nodes.

A node that turns to another collector first repeats its latest report, from
which the new one counts on.
"""

import dataclasses
import itertools
from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.model import Evidence, Tally

SUM_PERIOD_S = 1.0
# A report after a longer silence, as between two moves, only sets where the
# collector counts from.
REPORT_SILENCE_S = 3.0
# Rate of reports above which the nodes of a collector report less often.
COLLECTOR_REPORTS_PER_S = 12.0
SUM_SUFFIX = "/sum"

# Service, target version and route of a tally.
Series = tuple[str, str, str]
# Requests and failures, then answers by latency.
Counts = tuple[int, ...]


def node_of_source(source: str) -> str:
    """Returns the id of the node that sends the evidence of a source."""
    return source.removesuffix(SUM_SUFFIX)


def report_interval_s(nodes: float) -> float:
    """Returns the least seconds between two reports of a node.

    Args:
        nodes: Number of nodes that report to the same collector.
    """
    return nodes / COLLECTOR_REPORTS_PER_S


class EvidenceReporter:
    """Reports a node's own evidence to its collector.

    Attributes:
        choose_collector: Returns the id of the node to report to, or empty.
        send: Sends a report to the node with an id.
        interval_s: Least seconds between two reports.
        collector: Id of the node that the latest report was sent to.
        latest: The latest report, or None.
        next_report_at: Clock seconds before which nothing is reported.
        silent_at: Clock seconds from which the latest report is too old to
            count on from.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        choose_collector: Callable[[], str],
        send: Callable[[str, Evidence], None],
    ):
        self.clock = clock
        self.choose_collector = choose_collector
        self.send = send
        self.interval_s = 0.0
        self.collector = ""
        self.latest: Evidence | None = None
        self.next_report_at = 0.0
        self.silent_at = 0.0

    def report(self, evidence: Evidence) -> None:
        """Reports the evidence if it has changed and a report is due.

        Args:
            evidence: Cumulative tallies of the node.
        """
        now = self.clock.seconds()
        is_silent = now >= self.silent_at
        self.silent_at = now + REPORT_SILENCE_S
        if is_silent:
            self.latest = None
        collector = self.choose_collector()
        if not collector:
            # Counts are cumulative: the next report tells these as well.
            return
        if self.latest is None:
            self._attach(collector, evidence)
        elif collector != self.collector:
            self._attach(collector, self.latest)
        if now < self.next_report_at:
            return
        if evidence.tallies == self.latest.tallies:
            return
        self.next_report_at = now + self.interval_s
        self._send(dataclasses.replace(evidence, attached=self.latest.attached))

    def repeat(self) -> None:
        """Repeats the latest report to a collector that may have lost it."""
        if self.latest is not None:
            self._send(self.latest)

    def reset(self) -> None:
        """Forgets what was reported, once no move is open."""
        self.latest = None

    def _attach(self, collector: str, baseline: Evidence) -> None:
        self.collector = collector
        self._send(dataclasses.replace(baseline, attached=baseline.sequence))

    def _send(self, evidence: Evidence) -> None:
        self.latest = evidence
        self.send(self.collector, evidence)


class EvidenceCollector:
    """Adds up the evidence that other nodes and this one report.

    Attributes:
        broadcast: Broadcasts a sum.
        contributions: Latest report of each source.
        totals: Answers since the sources reported first.
        sequence: Sequence of the latest sum.
        next_sum_at: Clock seconds before which no sum is broadcast.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: str,
        incarnation: int,
        broadcast: Callable[[Evidence], None],
    ):
        self.clock = clock
        self.source = node + SUM_SUFFIX
        self.incarnation = incarnation
        self.broadcast = broadcast
        self.contributions: dict[str, Evidence] = {}
        self.totals: dict[Series, Counts] = {}
        self.sequence = 0
        self.next_sum_at = 0.0
        self.timer = None

    def add(self, report: Evidence) -> None:
        """Adds what a source answered since its previous report.

        Args:
            report: Evidence that was sent to this node to be added up.
        """
        if not self.contributions:
            # Readers take the first sum of a source for what it starts from.
            self._broadcast_sum()
        previous = self.contributions.get(report.source)
        if previous is not None and _age_of(report) <= _age_of(previous):
            return
        self.contributions[report.source] = report
        if previous is None or not _continues(previous, report):
            return
        before = _counts_by_series(previous)
        for series, counts in _counts_by_series(report).items():
            added = _minus(counts, before.get(series, ()))
            self.totals[series] = _plus(self.totals.get(series, ()), added)
        self._schedule_sum()

    def reset(self) -> None:
        """Forgets all counts, once no move is open."""
        self.contributions.clear()
        self.totals.clear()
        self.stop()

    def stop(self) -> None:
        """Broadcasts no more sums until another report arrives."""
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def flush(self) -> None:
        """Broadcasts at once the sum that waits to be broadcast."""
        if self.timer is not None:
            self.stop()
            self._broadcast_sum()

    def _schedule_sum(self) -> None:
        if self.timer is None:
            delay_s = max(0.0, self.next_sum_at - self.clock.seconds())
            self.timer = self.clock.callLater(delay_s, self.flush)

    def _broadcast_sum(self) -> None:
        self.sequence += 1
        self.next_sum_at = self.clock.seconds() + SUM_PERIOD_S
        self.broadcast(
            Evidence(
                source=self.source,
                incarnation=self.incarnation,
                sequence=self.sequence,
                tallies=tuple(
                    _tally_of(series, self.totals[series])
                    for series in sorted(self.totals)
                ),
            )
        )


def _age_of(report: Evidence) -> tuple[int, int]:
    return (report.incarnation, report.sequence)


def _continues(previous: Evidence, report: Evidence) -> bool:
    """Returns whether no other node counted between two reports."""
    return (
        report.incarnation == previous.incarnation
        and report.attached == previous.attached
    )


def _counts_by_series(evidence: Evidence) -> dict[Series, Counts]:
    return {
        (tally.service, tally.target_version, tally.route): (
            tally.requests,
            tally.failures,
            *tally.latency_buckets,
        )
        for tally in evidence.tallies
    }


def _tally_of(series: Series, counts: Counts) -> Tally:
    service, target_version, route = series
    requests, failures, *latency_buckets = counts
    return Tally(
        service=service,
        target_version=target_version,
        route=route,
        requests=requests,
        failures=failures,
        latency_buckets=tuple(latency_buckets),
    )


def _plus(first: Counts, second: Counts) -> Counts:
    pairs = itertools.zip_longest(first, second, fillvalue=0)
    return tuple(a + b for a, b in pairs)


def _minus(first: Counts, second: Counts) -> Counts:
    pairs = itertools.zip_longest(first, second, fillvalue=0)
    return tuple(max(0, a - b) for a, b in pairs)
