"""Measures convergence time and control bytes with real nodes.

    python bench/converge.py [--nodes 100] [--changes 30]

Nodes are processes on loopback in the data centres of Esfera Dorada. A change
is timed from the operator's command to the moment at which the last node
holds it, as each node's own log line says.
"""

import json
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


def polling_bytes(count: int) -> None:
    """Prints what polling the whole configuration each second would take."""
    size = len(json.dumps(arrangement_of(ESFERA)))
    print(
        f"polling baseline: {size} bytes of configuration a node and second,"
        f" {count} reads a second at the log",
        flush=True,
    )


def relays_in(cluster: Cluster) -> list[Slot]:
    """Returns the running nodes that hold a duty."""
    return [
        slot
        for slot in cluster.running_slots()
        if cluster.gauge(slot, "fulmarrudder_duties_held") > 0
    ]


@click.command()
@click.option("--nodes", type=int, default=100)
@click.option("--changes", type=int, default=30)
def main(nodes: int, changes: int) -> None:
    """Measures convergence and control bytes."""
    cluster = start(nodes, pathlib.Path(tempfile.mkdtemp()))
    rng = random.Random(1)
    try:
        slots = list(cluster.slots.values())
        first = slots[0]
        version = 0
        publish(cluster, first, version)
        version += 1
        cluster.wait_version(version, 120)
        wait_for("relays", lambda: len(relays_in(cluster)) >= 8, 60)
        time.sleep(5.0)

        before = control_bytes(cluster)
        time.sleep(QUIET_S)
        bytes_between(cluster, "nothing changes", before, QUIET_S)
        polling_bytes(nodes)
        rss = [s.node_process.resident_bytes() / 2**20 for s in slots]
        print(
            f"resident MB: median {statistics.median(rss):.0f},"
            f" most {max(rss):.0f}",
            flush=True,
        )

        began = {}
        before = control_bytes(cluster)
        start_s = time.monotonic()
        for _ in range(changes):
            began[version + 1] = publish(cluster, first, version)
            version += 1
            time.sleep(rng.uniform(0.2, 0.6))
        took = time.monotonic() - start_s
        cluster.wait_version(version, 60)
        report("whole", began, slots)
        bytes_between(
            cluster, f"{changes / took:.1f} changes a second", before, took
        )

        victim = next(s for s in relays_in(cluster) if s is not first)
        victim.node_process.kill()
        began = {version + 1: publish(cluster, first, version)}
        version += 1
        cluster.wait_version(version, 60)
        report("a relay killed just before", began, cluster.running_slots())

        back = rng.sample(
            [s for s in slots if s not in (first, victim)], nodes // 4
        )
        for slot in back:
            slot.node_process.send(signal.SIGKILL)
        for slot in back:
            slot.node_process.popen.wait()
        stayed = cluster.running_slots()
        began = {version + 1: publish(cluster, first, version)}
        version += 1
        returned = time.monotonic()
        for slot in back:
            cluster.start_node(slot)
        cluster.wait_version(version, 120)
        report("a quarter killed and returning", began, stayed)
        print(
            f"a quarter returning: all hold the version"
            f" {time.monotonic() - returned:.1f} s after their start",
            flush=True,
        )
    finally:
        cluster.kill_all()


if __name__ == "__main__":
    main()
