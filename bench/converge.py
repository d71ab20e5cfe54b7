"""Measures convergence time and control bytes with real nodes.

    python bench/converge.py [--nodes 100] [--changes 30]

Nodes are processes on loopback in the data centres of Esfera Dorada. A change
is timed from the operator's command to the moment at which the last node
holds it, as each node's own log line says.
"""

import pathlib
import random
import re
import signal
import statistics
import tempfile
import time

import click

from fulmarrudder_lab.cluster import Cluster, Slot, wait_for
from fulmarrudder_lab.firms import ESFERA, ServiceSize, arrangement_of

QUIET_S = 15.0
SETTLE_S = 5.0
CHANGES_WHILE_BACK = 4
TIMED = re.compile(r'time="([^"]+)" .*event=in-force .*version=(\d+)')
SMALL = ServiceSize(
    name="vitrina", prefix="/", targets=1, slots=6, connections=110
)


def start(count: int, folder: pathlib.Path) -> Cluster:
    """Starts nodes without targets, spread over four data centres."""
    cluster = Cluster(folder, relays=2)
    cluster.start_log()
    for index in range(count):
        place = ESFERA.data_centres[index % 4]
        cluster.add(place, SMALL, "1", index)
    for number, slot in enumerate(cluster.slots.values()):
        cluster.start_node(slot)
        if number % 10 == 9:
            time.sleep(1.0)
    return cluster


def publish(cluster: Cluster, slot: Slot, expected: int) -> float:
    """Publishes; returns the wall-clock seconds of the command."""
    began = time.time()
    document = arrangement_of(ESFERA)
    answer = wait_for(
        f"version {expected + 1}",
        lambda: _published(cluster, slot, expected, document),
    )
    assert answer
    return began


def _published(cluster, slot, expected, document) -> bool:
    answer = cluster.command(slot, f"publish expecting {expected}", document)
    return answer["k"] == "done" or (
        answer["k"] == "denied" and f"version {expected + 1}" in str(answer)
    )


def in_force_at(slot: Slot) -> dict[int, float]:
    """Returns when a node put each version in force, wall-clock seconds."""
    found = {}
    for line in slot.node_process.log.read_text().splitlines():
        match = TIMED.match(line)
        if match is None:
            continue
        moment = time.strptime(match[1][:19], "%Y-%m-%d %H:%M:%S")
        found[int(match[2])] = time.mktime(moment) + int(match[1][20:]) / 1000
    return found


def report(name: str, began: dict[int, float], slots: list[Slot]) -> None:
    """Prints quantiles over nodes and changes, and the worst change."""
    samples = []
    worst = []
    for slot in slots:
        at = in_force_at(slot)
        for version, moment in began.items():
            if version in at:
                samples.append(at[version] - moment)
    for version, moment in began.items():
        times = [
            in_force_at(s)[version] - moment
            for s in slots
            if version in in_force_at(s)
        ]
        worst.append(max(times))
    samples.sort()
    print(
        f"{name}: {len(began)} changes on {len(slots)} nodes: p50"
        f" {samples[len(samples) // 2]:.3f} s, p99"
        f" {samples[int(len(samples) * 0.99)]:.3f} s, worst"
        f" {samples[-1]:.3f} s; last node, median"
        f" {statistics.median(worst):.3f} s",
        flush=True,
    )


def control_bytes(cluster: Cluster) -> dict[str, float]:
    """Returns the control bytes of every node, in and out."""
    return {
        slot.node: cluster.gauge(slot, "fulmarrudder_control_bytes_total")
        for slot in cluster.running_slots()
    }


def bytes_between(
    cluster: Cluster, name: str, before: dict, seconds: float
) -> None:
    """Prints control bytes a node and second since an earlier reading."""
    after = control_bytes(cluster)
    rates = sorted((after[n] - before[n]) / seconds for n in before)
    print(
        f"control bytes a node and second, {name}: mean"
        f" {statistics.mean(rates):.0f}, median {statistics.median(rates):.0f},"
        f" most {rates[-1]:.0f}",
        flush=True,
    )


def relays_in(cluster: Cluster) -> list[Slot]:
    """Returns the running nodes that hold a duty."""
    return [
        slot
        for slot in cluster.running_slots()
        if cluster.gauge(slot, "fulmarrudder_duties_held") > 0
    ]


class Bench:
    """A cluster and the versions that it was told.

    Attributes:
        version: The latest version published.
        began: When each version of the present phase was published.
    """

    def __init__(self, nodes: int, rng: random.Random):
        self.cluster = start(nodes, pathlib.Path(tempfile.mkdtemp()))
        self.rng = rng
        self.slots = list(self.cluster.slots.values())
        self.version = 0
        self.began: dict[int, float] = {}

    def publish(self) -> None:
        """Publishes the next version."""
        first = self.slots[0]
        self.began[self.version + 1] = publish(
            self.cluster, first, self.version
        )
        self.version += 1

    def settle(self) -> None:
        """Waits until all hold the version and relays are complete."""
        self.cluster.wait_version(self.version, 120)
        wait_for("relays", lambda: len(relays_in(self.cluster)) >= 8, 60)
        time.sleep(SETTLE_S)

    def quiet(self) -> None:
        """Measures control bytes while nothing changes."""
        before = control_bytes(self.cluster)
        time.sleep(QUIET_S)
        bytes_between(self.cluster, "nothing changes", before, QUIET_S)
        rss = [s.node_process.resident_bytes() / 2**20 for s in self.slots]
        print(
            f"resident MB: median {statistics.median(rss):.0f},"
            f" most {max(rss):.0f}",
            flush=True,
        )

    def whole(self, changes: int) -> None:
        """Publishes changes to nodes that all run."""
        self.began = {}
        before = control_bytes(self.cluster)
        start_s = time.monotonic()
        for _ in range(changes):
            self.publish()
            time.sleep(self.rng.uniform(0.2, 0.6))
        took = time.monotonic() - start_s
        self.cluster.wait_version(self.version, 60)
        report("whole", self.began, self.slots)
        name = f"{changes / took:.1f} changes a second"
        bytes_between(self.cluster, name, before, took)

    def relays_lost(self, kills: int) -> None:
        """Kills a relay just before each change."""
        self.began = {}
        victims = []
        for _ in range(kills):
            relays = [s for s in relays_in(self.cluster)]
            victim = self.rng.choice(
                [s for s in relays if s is not self.slots[0]]
            )
            victim.node_process.kill()
            victims.append(victim)
            self.publish()
            self.cluster.wait_version(self.version, 60)
            self.cluster.start_node(victim)
            self.settle()
        stayed = [s for s in self.slots if s not in victims]
        report("a relay killed just before", self.began, stayed)

    def quarter_back(self, rounds: int) -> None:
        """Kills a quarter of the nodes and publishes as they return."""
        for _ in range(rounds):
            self.began = {}
            back = self.rng.sample(self.slots[1:], len(self.slots) // 4)
            for slot in back:
                slot.node_process.send(signal.SIGKILL)
            for slot in back:
                slot.node_process.popen.wait()
            stayed = self.cluster.running_slots()
            self.publish()
            returned = time.monotonic()
            for slot in back:
                self.cluster.start_node(slot)
            for _ in range(CHANGES_WHILE_BACK):
                self.publish()
                time.sleep(1.0)
            self.cluster.wait_version(self.version, 120)
            report("a quarter killed and returning", self.began, stayed)
            print(
                f"a quarter returning: all hold the version"
                f" {time.monotonic() - returned:.1f} s after their start",
                flush=True,
            )
            self.settle()


@click.command()
@click.option("--nodes", type=int, default=100)
@click.option("--changes", type=int, default=30)
@click.option("--kills", type=int, default=3)
@click.option("--rounds", type=int, default=2)
def main(nodes: int, changes: int, kills: int, rounds: int) -> None:
    """Measures convergence and control bytes."""
    bench = Bench(nodes, random.Random(1))
    try:
        bench.publish()
        bench.settle()
        bench.quiet()
        bench.whole(changes)
        bench.relays_lost(kills)
        bench.quarter_back(rounds)
    finally:
        bench.cluster.kill_all()


if __name__ == "__main__":
    main()
