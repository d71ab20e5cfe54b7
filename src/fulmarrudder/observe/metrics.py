"""Metrics: plain counters on the hot path, rendered on each scrape."""

import bisect
import collections
import dataclasses
import itertools
import operator

from aioprometheus import Counter, Gauge, Histogram, Registry, render


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """The value of a gauge with its labels.

    Attributes:
        labels: Pairs of label name and value.
    """

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Family:
    """Kind and description of a metric."""

    kind: type
    doc: str


FAMILIES = {
    "fulmarrudder_calls_total": _Family(
        Counter, "Calls by role, route and result."
    ),
    "fulmarrudder_attempts_total": _Family(
        Counter, "Attempts of entry nodes by how they ended."
    ),
    "fulmarrudder_refusals_total": _Family(
        Counter, "Refusals by reason and whether the request ran."
    ),
    "fulmarrudder_budget_closes_total": _Family(
        Counter, "Connections closed for lack of memory or descriptors."
    ),
    "fulmarrudder_call_seconds": _Family(
        Histogram, "Time from a call's head to its answer's head, by role."
    ),
    "fulmarrudder_stage_seconds": _Family(
        Histogram,
        "Time of a request by route and stage: from its arrival until it is "
        "first sent to a target's node, in that node's queue, at the target, "
        "and in total at its entry node.",
    ),
    "fulmarrudder_hops_stalled_total": _Family(
        Counter,
        "Requests at nodes that stalled or were lost, by what was decided.",
    ),
    "fulmarrudder_control_bytes_total": _Family(
        Counter, "Bytes of links between nodes, by direction."
    ),
    "fulmarrudder_data_centre_bytes_total": _Family(
        Counter,
        "Bytes between this data centre and others, without heads, by kind.",
    ),
    "fulmarrudder_records_total": _Family(
        Counter, "Records folded, by outcome."
    ),
    "fulmarrudder_resyncs_total": _Family(
        Counter, "Resyncs asked for after a gap."
    ),
    "fulmarrudder_task_faults_total": _Family(
        Counter, "Exceptions of the node's tasks, by task."
    ),
    "fulmarrudder_spans_dropped_total": _Family(
        Counter, "Spans dropped because the queue was full."
    ),
    "fulmarrudder_log_lines_suppressed_total": _Family(
        Counter, "Log lines suppressed by the rate limit, by event."
    ),
    "fulmarrudder_log_lines_dropped_total": _Family(
        Counter, "Log lines dropped because the output was not read."
    ),
    "fulmarrudder_config_version": _Family(
        Gauge, "Configuration version in force."
    ),
    "fulmarrudder_config_offset": _Family(
        Gauge, "Offset of the last record folded."
    ),
    "fulmarrudder_log_available": _Family(
        Gauge, "Whether the log answers this node, if it reads it."
    ),
    "fulmarrudder_duties_held": _Family(Gauge, "Duties that this node holds."),
    "fulmarrudder_children": _Family(Gauge, "Nodes below this one."),
    "fulmarrudder_attached": _Family(
        Gauge, "Whether this node has a source of configuration."
    ),
    "fulmarrudder_in_flight": _Family(Gauge, "Calls under way, by role."),
    "fulmarrudder_endpoints": _Family(Gauge, "Endpoints known."),
    "fulmarrudder_links": _Family(Gauge, "Links to other nodes."),
    "fulmarrudder_evacuations": _Family(
        Gauge, "Data centres that are evacuated."
    ),
    "fulmarrudder_target_cold": _Family(
        Gauge, "1 while the local target is cold and its requests are limited."
    ),
    "fulmarrudder_slots_taken": _Family(
        Gauge, "Requests that the target beside this node runs."
    ),
    "fulmarrudder_slots_queued": _Family(
        Gauge, "Requests that wait for the target beside this node."
    ),
    "fulmarrudder_slots_capacity": _Family(
        Gauge, "Requests that the target beside this node may run at once."
    ),
    "fulmarrudder_endpoints_ready": _Family(
        Gauge, "Endpoints known whose target is ready."
    ),
    "fulmarrudder_endpoints_ejected": _Family(
        Gauge, "Endpoints that this node has ejected."
    ),
    "fulmarrudder_source_era": _Family(
        Gauge, "Highest era of the source of versions that was seen."
    ),
    "fulmarrudder_quota_silent_data_centres": _Family(
        Gauge,
        "Data centres of which this node does not hear what they admit.",
    ),
    "fulmarrudder_quota_refused": _Family(
        Gauge,
        "Requests refused here as beyond the quota of their workspace, for the "
        "workspaces that are refused most.",
    ),
    "fulmarrudder_brakes": _Family(Gauge, "Brakes known."),
    "fulmarrudder_strikes": _Family(
        Gauge, "Deaths of targets, by the requests that they ran, known here."
    ),
}
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0)


class HistogramData:
    """Observations of one histogram with its labels.

    Attributes:
        buckets: Number of observations per bound in `BUCKETS_S`, and of those
            above the last one.
        total_s: Sum of all observations.
    """

    __slots__ = ("buckets", "total_s")

    def __init__(self):
        self.buckets = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        """Adds an observation."""
        self.buckets[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds


class Metrics:
    """Counters and histograms of one node.

    Attributes:
        counts: Values of counters by name and labels.
        histograms: Observations of histograms by name and labels.
    """

    def __init__(self):
        self.counts: collections.Counter = collections.Counter()
        self.histograms: dict[tuple, HistogramData] = {}

    def count(self, name: str, *labels: tuple[str, str], by: int = 1) -> None:
        """Adds to a counter.

        Args:
            name: Name of a family.
            *labels: Pairs of label name and value, in the same order at each
                call.
            by: Increment.
        """
        self.counts[(name, labels)] += by

    def observe(
        self, name: str, seconds: float, *labels: tuple[str, str]
    ) -> None:
        """Adds an observation to a histogram."""
        self.histogram(name, *labels).add(seconds)

    def histogram(self, name: str, *labels: tuple[str, str]) -> HistogramData:
        """Returns a histogram, to which observations can be added directly.

        Args:
            name: Name of a family.
            *labels: Pairs of label name and value.
        """
        key = (name, labels)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = self.histograms[key] = HistogramData()
        return histogram

    def render(self, gauges: tuple[Sample, ...]) -> bytes:
        """Renders all metrics in the Prometheus text format.

        Args:
            gauges: Current values of the gauges.
        """
        registry = Registry()
        families = {}
        for (name, labels), value in sorted(self.counts.items()):
            family = self._family(families, registry, name)
            family.set(dict(labels), value)
        for sample in gauges:
            family = self._family(families, registry, sample.name)
            family.set(dict(sample.labels), sample.value)
        text, _ = render(registry, ["text/plain"])
        return text + self._histograms()

    def _family(self, families: dict, registry: Registry, name: str):
        if name not in families:
            kind, doc = FAMILIES[name].kind, FAMILIES[name].doc
            families[name] = kind(name, doc, registry=registry)
        return families[name]

    def _histograms(self) -> bytes:
        lines = []
        by_name = itertools.groupby(
            sorted(self.histograms), key=operator.itemgetter(0)
        )
        for name, keys in by_name:
            lines.append(f"# HELP {name} {FAMILIES[name].doc}\n")
            lines.append(f"# TYPE {name} histogram\n")
            for key in keys:
                lines += _histogram_lines(name, key[1], self.histograms[key])
        return "".join(lines).encode()


def _histogram_lines(name: str, labels, histogram: HistogramData) -> list[str]:
    label_text = "".join(f'{key}="{value}",' for key, value in labels)
    lines = []
    cumulative = 0
    for bound, number in zip(BUCKETS_S, histogram.buckets, strict=False):
        cumulative += number
        lines.append(
            f'{name}_bucket{{{label_text}le="{bound}"}} {cumulative}\n'
        )
    count = sum(histogram.buckets)
    lines.append(f'{name}_bucket{{{label_text}le="+Inf"}} {count}\n')
    bare_label_text = label_text.rstrip(",")
    lines.append(f"{name}_sum{{{bare_label_text}}} {histogram.total_s}\n")
    lines.append(f"{name}_count{{{bare_label_text}}} {count}\n")
    return lines
