"""Measures convergence time and control bytes with real nodes.

    python bench/converge.py [--nodes 100] [--changes 30]

Nodes are processes on loopback in the data centres of Esfera Dorada. A change
is timed from the operator's command until the last node has it active, as
logged by each node.
"""

import pathlib
import random
import re
import signal
import statistics
import tempfile
import time

import click

from fulmarrudder_lab.cluster import Cluster, Instance, wait_for
from fulmarrudder_lab.firms import ESFERA, ServiceSpec, arrangement_document

IDLE_PERIOD_S = 15.0
SETTLE_S = 5.0
CHANGES_DURING_RESTART = 4
IN_FORCE_LINE = re.compile(r'time="([^"]+)" .*event=in-force .*version=(\d+)')
SERVICE = ServiceSpec(
    name="vitrina", prefix="/", targets=1, slots=6, connections=110
)


def start_cluster(count: int, folder: pathlib.Path) -> Cluster:
    """Starts nodes without targets in four data centres."""
    cluster = Cluster(folder, relays=2)
    cluster.start_log()
    for index in range(count):
        data_centre = ESFERA.data_centres[index % 4]
        cluster.add_instance(data_centre, SERVICE, "1", index)
    for number, instance in enumerate(cluster.instances.values()):
        cluster.start_node(instance)
        if number % 10 == 9:
            time.sleep(1.0)
    return cluster


def publish(cluster: Cluster, instance: Instance, expected: int) -> float:
    """Publishes; returns the wall-clock time of the command, in seconds."""
    began = time.time()
    document = arrangement_document(ESFERA)
    answer = wait_for(
        f"version {expected + 1}",
        lambda: _is_published(cluster, instance, expected, document),
    )
    assert answer
    return began


def _is_published(cluster, instance, expected, document) -> bool:
    answer = cluster.send_command(
        instance, f"publish expecting {expected}", document
    )
    return answer["k"] == "done" or (
        answer["k"] == "denied" and f"version {expected + 1}" in str(answer)
    )


def activation_times(instance: Instance) -> dict[int, float]:
    """Returns the wall-clock time at which each version became active."""
    found = {}
    for line in instance.node_process.log_path.read_text().splitlines():
        match = IN_FORCE_LINE.match(line)
        if match is None:
            continue
        moment = time.strptime(match[1][:19], "%Y-%m-%d %H:%M:%S")
        found[int(match[2])] = time.mktime(moment) + int(match[1][20:]) / 1000
    return found


def report(
    name: str, published_at: dict[int, float], instances: list[Instance]
) -> None:
    """Prints quantiles over nodes and changes, and the last node's median."""
    samples = []
    slowest = []
    for instance in instances:
        at = activation_times(instance)
        for version, moment in published_at.items():
            if version in at:
                samples.append(at[version] - moment)
    for version, moment in published_at.items():
        times = [
            activation_times(instance)[version] - moment
            for instance in instances
            if version in activation_times(instance)
        ]
        slowest.append(max(times))
    samples.sort()
    print(
        f"{name}: {len(published_at)} changes on {len(instances)} nodes: p50"
        f" {samples[len(samples) // 2]:.3f} s, p99"
        f" {samples[int(len(samples) * 0.99)]:.3f} s, worst"
        f" {samples[-1]:.3f} s; last node, median"
        f" {statistics.median(slowest):.3f} s",
        flush=True,
    )


def read_control_bytes(cluster: Cluster) -> dict[str, float]:
    """Returns the control bytes of every node, sent and received."""
    return {
        instance.node: cluster.read_metric(
            instance, "fulmarrudder_control_bytes_total"
        )
        for instance in cluster.running_instances()
    }


def print_control_bytes(
    cluster: Cluster, name: str, before: dict, seconds: float
) -> None:
    """Prints control bytes per node and second since an earlier reading."""
    after = read_control_bytes(cluster)
    rates = sorted((after[n] - before[n]) / seconds for n in before)
    print(
        f"control bytes a node and second, {name}: mean"
        f" {statistics.mean(rates):.0f}, median {statistics.median(rates):.0f},"
        f" most {rates[-1]:.0f}",
        flush=True,
    )


def running_relays(cluster: Cluster) -> list[Instance]:
    """Returns the running nodes that hold a duty."""
    return [
        instance
        for instance in cluster.running_instances()
        if cluster.read_metric(instance, "fulmarrudder_duties_held") > 0
    ]


class ConvergenceBench:
    """A cluster and the versions published to it.

    Attributes:
        version: The latest version published.
        published_at: Wall-clock time at which each version of the current
            measurement was published.
    """

    def __init__(self, nodes: int, rng: random.Random):
        self.cluster = start_cluster(nodes, pathlib.Path(tempfile.mkdtemp()))
        self.rng = rng
        self.instances = list(self.cluster.instances.values())
        self.version = 0
        self.published_at: dict[int, float] = {}

    def publish(self) -> None:
        """Publishes the next version."""
        first = self.instances[0]
        self.published_at[self.version + 1] = publish(
            self.cluster, first, self.version
        )
        self.version += 1

    def settle(self) -> None:
        """Waits until all nodes have the version and all relays are elected."""
        self.cluster.wait_for_version(self.version, 120)
        wait_for("relays", lambda: len(running_relays(self.cluster)) >= 8, 60)
        time.sleep(SETTLE_S)

    def measure_idle(self) -> None:
        """Measures control bytes and memory while nothing changes."""
        before = read_control_bytes(self.cluster)
        time.sleep(IDLE_PERIOD_S)
        print_control_bytes(
            self.cluster, "nothing changes", before, IDLE_PERIOD_S
        )
        rss = [
            instance.node_process.resident_bytes() / 2**20
            for instance in self.instances
        ]
        print(
            f"resident MB: median {statistics.median(rss):.0f},"
            f" most {max(rss):.0f}",
            flush=True,
        )

    def measure_changes(self, changes: int) -> None:
        """Measures changes while all nodes run."""
        self.published_at = {}
        before = read_control_bytes(self.cluster)
        started_at = time.monotonic()
        for _ in range(changes):
            self.publish()
            time.sleep(self.rng.uniform(0.2, 0.6))
        duration_s = time.monotonic() - started_at
        self.cluster.wait_for_version(self.version, 60)
        report("whole", self.published_at, self.instances)
        name = f"{changes / duration_s:.1f} changes a second"
        print_control_bytes(self.cluster, name, before, duration_s)

    def measure_relay_loss(self, kills: int) -> None:
        """Measures changes, with a relay killed just before each."""
        self.published_at = {}
        victims = []
        for _ in range(kills):
            relays = [instance for instance in running_relays(self.cluster)]
            victim = self.rng.choice(
                [
                    instance
                    for instance in relays
                    if instance is not self.instances[0]
                ]
            )
            victim.node_process.kill()
            victims.append(victim)
            self.publish()
            self.cluster.wait_for_version(self.version, 60)
            self.cluster.start_node(victim)
            self.settle()
        survivors = [
            instance for instance in self.instances if instance not in victims
        ]
        report("a relay killed just before", self.published_at, survivors)

    def measure_restart(self, rounds: int) -> None:
        """Measures changes while a killed quarter of the nodes restarts."""
        for _ in range(rounds):
            self.published_at = {}
            restarted = self.rng.sample(
                self.instances[1:], len(self.instances) // 4
            )
            for instance in restarted:
                instance.node_process.send_signal(signal.SIGKILL)
            for instance in restarted:
                instance.node_process.popen.wait()
            survivors = self.cluster.running_instances()
            self.publish()
            restarted_at = time.monotonic()
            for instance in restarted:
                self.cluster.start_node(instance)
            for _ in range(CHANGES_DURING_RESTART):
                self.publish()
                time.sleep(1.0)
            self.cluster.wait_for_version(self.version, 120)
            report(
                "a quarter killed and returning", self.published_at, survivors
            )
            print(
                f"a quarter returning: all hold the version"
                f" {time.monotonic() - restarted_at:.1f} s after their start",
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
    bench = ConvergenceBench(nodes, random.Random(1))
    try:
        bench.publish()
        bench.settle()
        bench.measure_idle()
        bench.measure_changes(changes)
        bench.measure_relay_loss(kills)
        bench.measure_restart(rounds)
    finally:
        bench.cluster.kill_all()


if __name__ == "__main__":
    main()
