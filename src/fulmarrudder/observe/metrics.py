"""Metrics: plain counters on the hot path, rendered when scraped."""

import collections
import dataclasses

from aioprometheus import Counter, Gauge, Histogram, Registry, render


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """A value with its labels.

    Attributes:
        labels: Pairs of label name and value.
    """

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Family:
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
    "fulmarrudder_call_seconds": _Family(
        Histogram, "Time from a call's head to its answer's head, by role."
    ),
    "fulmarrudder_control_bytes_total": _Family(
        Counter, "Bytes of links between nodes, by direction."
    ),
    "fulmarrudder_records_total": _Family(
        Counter, "Records folded, by outcome."
    ),
    "fulmarrudder_resyncs_total": _Family(
        Counter, "Resyncs asked for after a gap."
    ),
    "fulmarrudder_spans_dropped_total": _Family(
        Counter, "Spans dropped because the queue was full."
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
    "fulmarrudder_slots_taken": _Family(
        Gauge, "Requests that the target beside this node runs."
    ),
    "fulmarrudder_slots_queued": _Family(
        Gauge, "Requests that wait for the target beside this node."
    ),
    "fulmarrudder_brakes": _Family(Gauge, "Brakes known."),
    "fulmarrudder_strikes": _Family(
        Gauge, "Deaths of targets, by the requests that they ran, known here."
    ),
}
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0)


class Metrics:
    """Counts events of one node.

    Attributes:
        counts: Totals by name and labels.
        histograms: Counts by bucket, sum and total, by name and labels.
    """

    def __init__(self):
        self.counts: collections.Counter = collections.Counter()
        self.histograms: dict[tuple, list] = {}

    def count(self, name: str, *labels: tuple[str, str], by: int = 1) -> None:
        """Adds to a counter.

        Args:
            name: Name of a family.
            *labels: Pairs of label name and value, always in one order.
            by: How much to add.
        """
        self.counts[(name, labels)] += by

    def observe(
        self, name: str, seconds: float, *labels: tuple[str, str]
    ) -> None:
        """Adds an observation to a histogram."""
        key = (name, labels)
        timing = self.histograms.get(key)
        if timing is None:
            timing = self.histograms[key] = [[0] * len(BUCKETS_S), 0.0, 0]
        timing[1] += seconds
        timing[2] += 1
        for index, bound in enumerate(BUCKETS_S):
            if seconds <= bound:
                timing[0][index] += 1
                break

    def render(self, gauges: tuple[Sample, ...]) -> bytes:
        """Renders everything in the Prometheus text format.

        Args:
            gauges: Present values of gauges.
        """
        registry = Registry()
        made = {}
        for (name, labels), value in sorted(self.counts.items()):
            family = self._family(made, registry, name)
            family.set(dict(labels), value)
        for sample in gauges:
            family = self._family(made, registry, sample.name)
            family.set(dict(sample.labels), sample.value)
        text, _ = render(registry, ["text/plain"])
        return text + self._histograms()

    def _family(self, made: dict, registry: Registry, name: str):
        if name not in made:
            kind, doc = FAMILIES[name].kind, FAMILIES[name].doc
            made[name] = kind(name, doc, registry=registry)
        return made[name]

    def _histograms(self) -> bytes:
        lines = []
        for (name, labels), timing in sorted(self.histograms.items()):
            lines += _histogram_lines(name, labels, timing)
        return "".join(lines).encode()


def _histogram_lines(name: str, labels, timing) -> list[str]:
    buckets, total, count = timing
    told = "".join(f'{key}="{value}",' for key, value in labels)
    lines = [f"# HELP {name} {FAMILIES[name].doc}\n"]
    lines.append(f"# TYPE {name} histogram\n")
    running = 0
    for bound, number in zip(BUCKETS_S, buckets, strict=True):
        running += number
        lines.append(f'{name}_bucket{{{told}le="{bound}"}} {running}\n')
    lines.append(f'{name}_bucket{{{told}le="+Inf"}} {count}\n')
    bare = told.rstrip(",")
    lines.append(f"{name}_sum{{{bare}}} {total}\n")
    lines.append(f"{name}_count{{{bare}}} {count}\n")
    return lines
