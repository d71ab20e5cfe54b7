"""Filter: selects the endpoint of a target version that serves a request.

Health and load that targets report themselves can lag or mislead. The balancer
uses latencies and failures that this node observes, and the load reports that
host nodes attach to each answer: the number of requests that run or wait there,
and their service time.
"""

import random
from collections.abc import Callable, Iterable

from fulmarrudder.call.contact import DataCentreContact
from fulmarrudder.call.ejection import count_outcome
from fulmarrudder.call.endpoint_stats import (
    EWMA_WEIGHT,
    LOAD_REPORT_TTL_S,
    EndpointStats,
    LoadReport,
    SlotState,
    WaitEstimate,
)
from fulmarrudder.call.offers import VACANCIES_METRIC, take_offer
from fulmarrudder.call.scoring import Scoring, best_of, remote_penalty_s
from fulmarrudder.model import Condition, Presence
from fulmarrudder.observe import EventLog, Metrics
from fulmarrudder.placement import Vacancies

# A load report younger than this counts as current.
FRESH_REPORT_S = 0.1
# One choice in this many goes to an endpoint without a load report: without a
# request it would never send one.
EXPLORE_ONE_IN = 8
# Requests with larger bodies are not used to explore.
EXPLORE_MAX_BODY_BYTES = 8_192
# Endpoints compared for a request. With more, nodes would all choose the same.
SAMPLE_SIZE = 5
# An endpoint is stalled when it sends no load report for this long and for this
# multiple of its unloaded latency. A healthy node answers many requests in that
# time, and the requests that wait for it have time left to be retried.
MIN_STALL_TIMEOUT_S = 0.25
STALL_TIMEOUT_FACTOR = 3.0


class LoadBalancer:
    """Selects endpoints for an entry node.

    Attributes:
        data_centre: Data centre of this node, whose endpoints are preferred.
        node: Id of this node, or empty.
        endpoint_stats: Statistics by node id and incarnation.
        answer_bytes: Moving average of the size of answers, by route.
        contacts: What was last heard of other data centres, by name.
        basis: Why the last endpoint was chosen: `only` one, to `explore`, the
            `nearest` that is fast enough, of the lowest `cost`, or because of
            a `vacancy`.
        vacancies: Free slots that this node was told of.
        local_report: Returns the load of the local target for requests of a
            route and a size of the body; None when there is none.
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        *,
        node: str = "",
        events: EventLog | None = None,
    ):
        self.data_centre = data_centre
        self.node = node
        self.rng = rng
        self.endpoint_stats: dict[tuple[str, int], EndpointStats] = {}
        self.events = events or EventLog(Metrics())
        self.answer_bytes: dict[str, float] = {}
        self.contacts: dict[str, DataCentreContact] = {}
        self.basis = ""
        self.vacancies = Vacancies()
        self.local_report: Callable[[str, int], LoadReport] | None = None

    def choose(
        self,
        endpoints: tuple[Presence, ...],
        version: str | None,
        now: float,
        excluded: frozenset[str] = frozenset(),
        *,
        route: str = "",
        body_bytes: int = 0,
        latency_objective_s: float = 0.0,
    ) -> Presence | None:
        """Selects an endpoint of a target version.

        Args:
            endpoints: Endpoints of the service.
            version: Required target version, or None for any.
            now: Clock seconds.
            excluded: Node ids already tried.
            route: Name of the route, by which latencies are averaged.
            body_bytes: Size of the request's body.
            latency_objective_s: Latency objective of the route, or 0.

        Returns:
            An endpoint, or None when there is none.
        """
        eligible = self._eligible(endpoints, version, now, excluded)
        if len(eligible) <= 1:
            self.basis = "only"
            return eligible[0] if eligible else None
        unreported = self._unreported(eligible, now)
        explore = (
            0 < len(unreported) < len(eligible)
            and body_bytes <= EXPLORE_MAX_BODY_BYTES
        )
        if explore and self.rng.randrange(EXPLORE_ONE_IN) == 0:
            self.basis = "explore"
            return self.rng.choice(unreported)
        sampled = self._sample(eligible)
        self._ask_local_target(sampled, now, route, body_bytes)
        moved_bytes = body_bytes + self.answer_bytes.get(route, 0.0)
        scoring = Scoring(
            node=self.node,
            data_centre=self.data_centre,
            rng=self.rng,
            now=now,
            route=route,
            remote_penalty_s=remote_penalty_s(moved_bytes, latency_objective_s),
        )
        candidates = [
            scoring.score(
                presence,
                self._stats_for(presence, now),
                self._contact_with(presence.data_centre).silence_s(now),
            )
            for presence in sampled
        ]
        best, self.basis = best_of(candidates, latency_objective_s)
        if not self._is_surely_free(best, now):
            offered = take_offer(
                self.vacancies,
                eligible,
                now,
                lambda p: self._stats_for(p, now).service_time_of(route),
            )
            if offered is not None:
                self.basis = "vacancy"
                self.events.metrics.count(VACANCIES_METRIC, ("event", "used"))
                return offered
        return best

    def _unreported(
        self, eligible: list[Presence], now: float
    ) -> list[Presence]:
        """Returns the endpoints that are known only once they are tried.

        Where targets tell how long requests wait, their own data centre is
        known, and others are not explored: there may be many, and their bytes
        are dear.
        """
        unreported = [
            p for p in eligible if not self._stats_for(p, now).reported_at
        ]
        if not unreported or not self._knows_waits_nearby(eligible):
            return unreported
        return [p for p in unreported if p.data_centre == self.data_centre]

    def _knows_waits_nearby(self, endpoints: Iterable[Presence]) -> bool:
        return any(
            p.data_centre == self.data_centre and self.tells_work(p)
            for p in endpoints
        )

    def _ask_local_target(
        self, sampled: list[Presence], now: float, route: str, body_bytes: int
    ) -> None:
        """Records the load of the local target as it is at the moment."""
        if self.local_report is None:
            return
        for presence in sampled:
            if presence.node != self.node:
                continue
            stats = self._stats_for(presence, now)
            if stats.wait_s is not None:
                report = self.local_report(route, body_bytes)
                self.record_load_report(presence, now, report, route)

    def _is_surely_free(self, presence: Presence, now: float) -> bool:
        stats = self._stats_for(presence, now)
        if now - stats.reported_at > FRESH_REPORT_S:
            return False
        return stats.expected_load(now) < max(1, presence.slots)

    def tells_work(self, presence: Presence) -> bool:
        """Returns whether an endpoint tells how long requests wait there."""
        stats = self.endpoint_stats.get((presence.node, presence.incarnation))
        return stats is not None and stats.wait_s is not None

    def wants_vacancies_of(self, presence: Presence) -> bool:
        """Returns whether an endpoint is to tell this node of free slots."""
        is_near = presence.data_centre == self.data_centre
        return is_near and self.tells_work(presence)

    def _sample(self, eligible: list[Presence]) -> list[Presence]:
        """Samples the endpoints to compare, local ones among them."""
        if len(eligible) <= SAMPLE_SIZE:
            return self.rng.sample(eligible, len(eligible))
        local = [p for p in eligible if p.data_centre == self.data_centre]
        remote = [p for p in eligible if p.data_centre != self.data_centre]
        local_count = min(
            len(local), max(SAMPLE_SIZE // 2 + 1, SAMPLE_SIZE - len(remote))
        )
        picked = self.rng.sample(local, local_count)
        return picked + self.rng.sample(remote, SAMPLE_SIZE - local_count)

    def _eligible(self, endpoints, version, now, excluded) -> list[Presence]:
        usable = []
        ejected = []
        for presence in endpoints:
            if presence.condition is not Condition.READY:
                continue
            if version is not None and presence.target_version != version:
                continue
            if presence.node in excluded:
                continue
            stats = self._stats_for(presence, now)
            if stats.ejected_until > now:
                ejected.append(presence)
                continue
            usable.append(presence)
        return usable or ejected

    def _stats_for(self, presence: Presence, now: float) -> EndpointStats:
        key = (presence.node, presence.incarnation)
        stats = self.endpoint_stats.get(key)
        if stats is None:
            stats = self.endpoint_stats[key] = EndpointStats(now)
        return stats

    def _contact_with(self, data_centre: str) -> DataCentreContact:
        contact = self.contacts.get(data_centre)
        if contact is None:
            contact = self.contacts[data_centre] = DataCentreContact()
        return contact

    def record_answer_bytes(self, route: str, size: int) -> None:
        """Records the size of an answer's body."""
        average = self.answer_bytes.get(route, float(size))
        self.answer_bytes[route] = average + EWMA_WEIGHT * (size - average)

    def shortest_wait(
        self, endpoints: tuple[Presence, ...], now: float, route: str = ""
    ) -> WaitEstimate | None:
        """Returns the shortest wait for a slot among endpoints.

        Args:
            endpoints: The endpoints.
            now: Clock seconds.
            route: Name of the route.

        Returns:
            The wait, or None unless every ready endpoint has a fresh load
            report.
        """
        shortest: WaitEstimate | None = None
        for presence in endpoints:
            if presence.condition is not Condition.READY:
                continue
            stats = self._stats_for(presence, now)
            if now - stats.reported_at > FRESH_REPORT_S:
                return None
            slots = max(1, presence.slots)
            excess = max(0.0, stats.expected_load(now) + 1 - slots)
            wait = WaitEstimate(
                wait_s=excess * stats.service_time_s / slots,
                service_time_s=stats.service_time_of(route),
            )
            if shortest is None or wait.wait_s < shortest.wait_s:
                shortest = wait
        return shortest

    def slot_state(self, presence: Presence, now: float) -> SlotState:
        """Returns whether an endpoint has a free slot, by its last report."""
        stats = self._stats_for(presence, now)
        if stats.wait_s is not None and stats.ejected_until > now:
            return SlotState.FULL
        offers = self.vacancies
        if offers.by_node and offers.offer_of(presence.node, now) is not None:
            return SlotState.FREE
        if now - stats.reported_at > LOAD_REPORT_TTL_S:
            return SlotState.UNKNOWN
        occupied = stats.load_from_others + stats.outstanding
        return (
            SlotState.FREE
            if occupied < max(1, presence.slots)
            else SlotState.FULL
        )

    def record_load_report(
        self,
        presence: Presence,
        now: float,
        report: LoadReport,
        route: str = "",
    ) -> None:
        """Records a load report.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            report: The report, whose load includes requests of this node.
            route: Name of the route of the answer that carried it.
        """
        stats = self._stats_for(presence, now)
        stats.load_from_others = max(0, report.load - stats.outstanding)
        stats.service_time_by_route[route] = report.service_time_s
        weight = EWMA_WEIGHT if stats.reported_at else 1.0
        stats.service_time_s += weight * (
            report.service_time_s - stats.service_time_s
        )
        stats.wait_s = report.wait_s
        stats.slowness = report.slowness
        stats.sent_since = 0
        stats.reported_at = stats.awaiting_since = now
        self._contact_with(presence.data_centre).record_heard()

    def record_sent(self, presence: Presence, now: float) -> None:
        """Records that a request was sent."""
        stats = self._stats_for(presence, now)
        if not stats.outstanding:
            stats.awaiting_since = now
        stats.outstanding += 1
        stats.sent_since += 1
        if presence.data_centre != self.data_centre:
            due_at = now + self.stall_timeout_s(presence, now)
            self._contact_with(presence.data_centre).record_sent(now, due_at)

    def record_finished(
        self,
        presence: Presence,
        now: float,
        latency_s: float | None,
        *,
        failed: bool | None,
        unreachable: bool = False,
        shed: bool = False,
        route: str = "",
    ) -> None:
        """Records that a request was answered, or has ended without an answer.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            latency_s: Seconds until its answer, or None without an answer.
            failed: Whether it counts as a failure of the endpoint; None if
                it was cancelled, which shows neither, or if that depends on
                the rest of its answer, at whose end `record_outcome` is
                called.
            unreachable: Whether there is no target at the endpoint, which
                ejects it at once.
            shed: Whether the target shed the request.
            route: Name of its route.
        """
        stats = self._stats_for(presence, now)
        stats.outstanding = max(0, stats.outstanding - 1)
        if latency_s is not None and not failed:
            stats.record_latency(route, latency_s)
        if failed is None:
            return
        self.record_outcome(
            presence,
            now,
            failed=failed,
            unreachable=unreachable,
            shed=shed,
            route=route,
        )

    def record_outcome(
        self,
        presence: Presence,
        now: float,
        *,
        failed: bool,
        unreachable: bool = False,
        shed: bool = False,
        route: str = "",
    ) -> None:
        """Records whether a request failed; see `record_finished`."""
        stats = self._stats_for(presence, now)
        ejection_s = count_outcome(
            stats, now, failed=failed, unreachable=unreachable, shed=shed
        )
        if not ejection_s:
            return
        self.events.info(
            now,
            "endpoint-ejected",
            peer=presence.node,
            incarnation=presence.incarnation,
            service=presence.service,
            route=route,
            unreachable=unreachable,
            failure_rate=round(stats.failure_rate, 3),
            ejections=stats.consecutive_ejections,
            ejected_ms=int(ejection_s * 1000),
            outstanding=stats.outstanding,
        )

    def stall_timeout_s(
        self, presence: Presence, now: float, route: str = ""
    ) -> float:
        """Returns the seconds without a load report that count as a stall.

        Args:
            presence: The endpoint.
            now: Clock seconds.
            route: Name of the route of the outstanding request.
        """
        stats = self._stats_for(presence, now)
        return max(
            MIN_STALL_TIMEOUT_S,
            STALL_TIMEOUT_FACTOR * stats.unloaded_latency_s(route),
        )

    def reported_at(self, presence: Presence, now: float) -> float:
        """Returns the clock seconds of an endpoint's last load report, or 0."""
        return self._stats_for(presence, now).reported_at

    def is_ejected(self, presence: Presence, now: float) -> bool:
        """Returns whether an endpoint is ejected."""
        stats = self.endpoint_stats.get((presence.node, presence.incarnation))
        return stats is not None and stats.ejected_until > now

    def has_no_report_since(self, presence: Presence, sent_at: float) -> bool:
        """Returns whether no load report has arrived since a request was sent.

        Args:
            presence: The endpoint.
            sent_at: Clock seconds at which the request was sent.
        """
        return self._stats_for(presence, sent_at).reported_at < sent_at

    def retain(self, endpoints: frozenset[tuple[str, int]]) -> None:
        """Drops the statistics of all endpoints but the given ones.

        Endpoints with outstanding requests are kept.

        Args:
            endpoints: Node ids and incarnations.
        """
        for key in tuple(self.endpoint_stats):
            if (
                key not in endpoints
                and not self.endpoint_stats[key].outstanding
            ):
                del self.endpoint_stats[key]
