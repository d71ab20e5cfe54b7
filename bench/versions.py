"""What a configuration version costs a node: processor time and bytes.

    python bench/versions.py [--rounds 20]

For documents of several sizes: the first version, a version with one route changed
that comes as a whole document, the same that comes as a change, and the storm of
versions of a fleet. Before and after are measured in one run: `whole` is what each
node did when all of them read the store, `change` is what most nodes do.
"""

import json
import statistics
import time

import click
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from fulmarrudder.call import RouteTable
from fulmarrudder.distribution.codec import decode, encode
from fulmarrudder.distribution.entries import change_between
from fulmarrudder.node.gossip_node import VersionSource
from fulmarrudder.platform import loader
from fulmarrudder.platform.config import parse_config
from fulmarrudder.platform.loader import ConfigLoader, WholeConfig

ROUTES = (15, 800, 3000)
NODES = (13, 85, 300)
DATA_CENTRES = 4
# Versions of a storm.
STORM_VERSIONS = 12


def document(version: int, routes: int) -> bytes:
    """Returns a configuration; its first route differs in each version."""
    paths = [
        {
            "name": f"r-{index}",
            "pathPrefix": f"/path{index}/x{index % 7}/",
            "routeType": "idempotent",
            "timeout": "800ms",
            "targetLatency": "478ms",
            "priority": 2,
            "service": "vitrina",
            "maxAttempts": 2,
        }
        for index in range(routes)
    ]
    paths[0]["timeout"] = f"{800 + version}ms"
    return json.dumps(
        {
            "version": f"{version:08x}",
            "services": [
                {"name": "vitrina", "healthPath": "/h", "maxConnections": 540}
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
            "virtualHosts": [{"hostname": "a.example", "paths": paths}],
        },
        separators=(",", ":"),
    ).encode()


class Node:
    """Takes versions in as a node does, without links and callers.

    Attributes:
        slices_ms: Processor time of each turn of the loop, in milliseconds.
        changes: What led from each version to the next.
    """

    def __init__(self):
        self.waiting: list[Deferred] = []
        self.slices_ms, self.changes = [], []
        self.table: RouteTable | None = None
        self.loader = ConfigLoader(
            Clock(), on_loaded=self._loaded, on_fault=print
        )

    def _loaded(self, config, before, source) -> None:
        if self.table is None:
            self.table = RouteTable(config.arrangement)
        else:
            self.table = self.table.changed(config.change)
        if source is VersionSource.STORE and before.version:
            self.changes.append((before, config))

    def _wait(self, clock, delay_s: float) -> Deferred:
        self.waiting.append(Deferred())
        return self.waiting[-1]

    def take(self, received) -> float:
        """Takes a version in; returns its processor time in milliseconds."""
        loader.deferLater = self._wait
        self.slices_ms.clear()
        self._measure(self.loader.offer, received)
        while self.waiting:
            self._measure(self.waiting.pop().callback, None)
        return sum(self.slices_ms)

    def _measure(self, function, *args, **kwargs) -> None:
        started_s = time.process_time()
        function(*args, **kwargs)
        self.slices_ms.append((time.process_time() - started_s) * 1000)


def measure(routes: int, rounds: int) -> dict:
    """Measures one size; returns figures in milliseconds and bytes."""
    figures: dict[str, list[float]] = {}

    def note(name: str, value: float) -> None:
        figures.setdefault(name, []).append(value)

    for _ in range(rounds):
        reader, other = Node(), Node()
        first, second = document(1, routes), document(2, routes)
        note(
            "first",
            reader.take(WholeConfig(data=first, source=VersionSource.STORE)),
        )
        note("longest turn", max(reader.slices_ms))
        other.take(WholeConfig(data=first, source=VersionSource.STORE))
        note(
            "reader",
            reader.take(WholeConfig(data=second, source=VersionSource.STORE)),
        )
        before, after = reader.changes[-1]
        started_s = time.process_time()
        data = encode(
            change_between(before.entries, after.entries, base=1, version=2)
        )
        note("told", (time.process_time() - started_s) * 1000)
        change = decode(data).ok
        note("change", other.take(change))
        note("change bytes", len(data))
        note("whole bytes", len(second))
        started_s = time.process_time()
        RouteTable(parse_config(second).ok[1])
        note("whole", (time.process_time() - started_s) * 1000)
    return {name: statistics.median(of) for name, of in figures.items()}


@click.command(help=__doc__)
@click.option("--rounds", default=5, show_default=True)
def main(rounds: int) -> None:
    """Prints the tables."""
    sizes = {routes: measure(routes, rounds) for routes in ROUTES}
    print("processor time of a version, ms; bytes on the wire")
    for routes, figures in sizes.items():
        values = "  ".join(f"{k} {v:.2f}" for k, v in figures.items())
        print(f"{routes:5} routes: {values}")
    print(f"\na storm of {STORM_VERSIONS} versions: a node on average")
    for routes, figures in sizes.items():
        for nodes in NODES:
            # Both a change and the record of the read come from the reader.
            readers = DATA_CENTRES / nodes
            spent = (
                readers * (figures["reader"] + figures["told"])
                + (1 - readers) * figures["change"]
            )
            size = readers * figures["whole bytes"] + figures["change bytes"]
            print(
                f"{routes:5} routes, {nodes:3} nodes: before"
                f" {STORM_VERSIONS * figures['whole']:8.1f} ms"
                f" {STORM_VERSIONS * figures['whole bytes'] / 1e3:8.1f} KB,"
                f" after {STORM_VERSIONS * spent:6.1f} ms"
                f" {STORM_VERSIONS * size / 1e3:7.1f} KB"
            )


if __name__ == "__main__":
    main()
