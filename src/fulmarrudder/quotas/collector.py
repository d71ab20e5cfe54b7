"""Filter: reports of many nodes to the sums that all nodes are told."""

import dataclasses

from fulmarrudder.quotas.counts import add_counts, flat_counts
from fulmarrudder.quotas.fleet import CATCH_UP_S, SILENCE_S
from fulmarrudder.quotas.message import QuotaReport, QuotaSum, QuotaUse

# Time after which a node that is not heard is taken to be gone. What is cut off for
# longer has a small part of the rate, which the slack of the quotas covers.
FORGET_S = 12.0


@dataclasses.dataclass(slots=True)
class _Sum:
    """Counts of one data centre since they were last told."""

    counts: dict[int, tuple[int, int]] = dataclasses.field(default_factory=dict)
    missing: float = 0.0

    def take(self, data_centre: str) -> QuotaSum:
        taken = QuotaSum(
            data_centre=data_centre,
            counts=flat_counts(self.counts),
            missing=self.missing,
        )
        self.counts = {}
        return taken


class QuotaCollector:
    """Adds up the reports of nodes, and what is heard of other data centres.

    Attributes:
        data_centre: Data centre of the collector.
        own: Counts of the nodes that report to it.
        afar: Counts of each other data centre that it was told since the last
            message.
        included: Latest report of each node since the last message.
        heard_at: Clock seconds of the latest report of each node.
        counted_from: Clock seconds until which the reports of a node may tell
            what it admitted while it was silent. The others left its part of
            the rate to it meanwhile.
        pressing: Whether what it has heard since is pressing.
    """

    def __init__(self, data_centre: str):
        self.data_centre = data_centre
        self.own = _Sum()
        self.afar: dict[str, _Sum] = {}
        self.included: dict[str, int] = {}
        self.heard_at: dict[str, float] = {}
        self.counted_from: dict[str, float] = {}
        self.pressing = False

    def add(
        self,
        node: str,
        report: QuotaReport,
        now: float,
        *,
        silence_s: float = SILENCE_S,
    ) -> None:
        """Adds the report of a node of this data centre.

        Args:
            node: Id of the node.
            report: Its report.
            now: Clock seconds.
            silence_s: Time after which a node that is not heard is missing.
        """
        if now - self.heard_at.get(node, now) > silence_s:
            self.counted_from[node] = now + CATCH_UP_S
        self.heard_at[node] = now
        if report.is_last:
            # It uses no part of a rate that would have to be left to it.
            del self.heard_at[node]
        if not report.counts:
            return
        self.included[node] = report.number
        if now < self.counted_from.get(node, 0.0):
            return
        self.counted_from.pop(node, None)
        add_counts(self.own.counts, report.counts)
        self.pressing |= report.pressing

    def add_afar(self, use: QuotaUse) -> None:
        """Adds what a collector of another data centre tells of it."""
        for told in use.sums:
            total = self.afar.setdefault(told.data_centre, _Sum())
            add_counts(total.counts, told.counts)
            total.missing = told.missing
        self.pressing |= use.pressing

    def take_afar(self) -> tuple[QuotaSum, ...]:
        """Returns what was told of other data centres, and begins anew."""
        afar, self.afar = self.afar, {}
        return tuple(total.take(name) for name, total in afar.items())

    def discard(self, node: str) -> None:
        """Forgets a node that reports to another collector."""
        self.heard_at.pop(node, None)
        self.counted_from.pop(node, None)

    def take(
        self, now: float, nodes: int, *, silence_s: float, is_alone: bool
    ) -> QuotaUse:
        """Returns what is to be told, and begins anew.

        Args:
            now: Clock seconds.
            nodes: Number of known nodes of this data centre.
            silence_s: Time after which a node that is not heard is missing.
            is_alone: Whether it hears no other collector there, so that all
                nodes should report to it.
        """
        heard, missing = self._count_nodes(now, silence_s)
        if is_alone:
            missing = max(0, nodes - heard)
        self.own.missing = round(min(1.0, missing / max(1, nodes)), 3)
        use = QuotaUse(
            sums=(self.own.take(self.data_centre), *self.take_afar()),
            included=tuple(self.included.items()),
            pressing=self.pressing,
        )
        self.included = {}
        self.pressing = False
        return use

    def _count_nodes(self, now: float, silence_s: float) -> tuple[int, int]:
        """Returns how many nodes are heard, and how many no longer are."""
        heard = missing = 0
        for node, heard_at in tuple(self.heard_at.items()):
            age_s = now - heard_at
            heard += age_s <= silence_s
            missing += silence_s < age_s <= FORGET_S
            if age_s > FORGET_S:
                del self.heard_at[node]
        return heard, missing
