"""Guards the metrics page against a changed metric name or label.

Some labels are class names and would change with a rename of the class, so the
pages of complete nodes are compared as well.
"""

import pathlib
import typing

from fulmarrudder.call.ending import Ending
from fulmarrudder.call.message import Ran, RefusalReason
from fulmarrudder.call.retry import RetryDecision
from fulmarrudder.node.admin import collect_gauges
from fulmarrudder.observe import Metrics, Sample
from fulmarrudder.observe.metrics import FAMILIES
from fulmarrudder.state_machine import Outcome
from fulmarrudder_lab.replay import Player, read_trace

TRACES = pathlib.Path(__file__).parent.parent / "traces" / "firms"
PLAYED = (
    "drawn-33-not-run-after-a-retry",
    "esfera-targets-cold-shedding-and-slow",
    "esfera-append-answer-lost",
    "esfera-deposit-again-host-node-dead",
    "esfera-updates-crossing",
    "pozarnik-bad-move-while-the-log-goes-away",
)


def names_and_labels(page: bytes) -> set[str]:
    """Returns the lines of a page without their values."""
    lines = set()
    for line in page.decode().splitlines():
        lines.add(line if line.startswith("#") else line.rpartition(" ")[0])
    return lines


def test_page_stays(snapshot):
    metrics = Metrics()
    metrics.count("fulmarrudder_calls_total", ("role", "entry"), by=3)
    metrics.observe("fulmarrudder_call_seconds", 0.03, ("role", "host"))
    gauge = Sample(
        name="fulmarrudder_in_flight", labels=(("role", "entry"),), value=2
    )
    assert metrics.render((gauge,)).decode() == snapshot(name="page")
    help_texts = {name: family.doc for name, family in FAMILIES.items()}
    assert help_texts == snapshot(name="families")


def test_names_and_labels_of_whole_nodes_stay(snapshot):
    lines = set()
    for name in PLAYED:
        player = Player(read_trace(TRACES / f"{name}.jsonl"))
        player.run()
        for instance in player.instances.values():
            node = instance.daemon.node
            lines |= names_and_labels(node.metrics.render(collect_gauges(node)))
    assert sorted(lines) == snapshot(name="lines")


def test_labels_taken_from_class_names_stay(snapshot):
    for name, union in (("ending", Ending), ("outcome", Outcome)):
        labels = [kind.__name__.lower() for kind in typing.get_args(union)]
        assert sorted(labels) == snapshot(name=name)


def test_labels_of_refusals_stay(snapshot):
    for name, kind in (("reason", RefusalReason), ("ran", Ran)):
        assert [label.value for label in kind] == snapshot(name=name)


def test_labels_of_decisions_stay(snapshot):
    labels = [decision.value for decision in RetryDecision]
    assert labels == snapshot(name="next")
