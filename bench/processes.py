"""Measures slopes of processes on loopback for docs/CAPACITY.md.

    python bench/processes.py

An entry node, a host node and its target; the load tool calls them.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import time

import click

from calls import prepare
from fulmarrudder_lab.cluster import Cluster
from slopes import row

LOAD_S = 5


def load(port: int, rate: int, path: str) -> dict:
    """Runs the load tool against a node."""
    command = [
        sys.executable,
        "-m",
        "fulmarrudder_lab.load",
        "--rate",
        str(rate),
        "--seconds",
        str(LOAD_S),
        "--path",
        path,
        "--port",
        str(port),
    ]
    done = subprocess.run(command, capture_output=True, check=True, text=True)
    return json.loads(done.stdout)


def by_calls(cluster: Cluster) -> None:
    """Grows the calls a second through two nodes."""
    rates = (25, 50, 100, 200)
    entry, host = cluster.slots.values()
    used = {"entry": [], "host": []}
    for rate in rates:
        before = [s.node_process.cpu_seconds() for s in (entry, host)]
        load(entry.call, rate, "GET:/quotes/1")
        after = [s.node_process.cpu_seconds() for s in (entry, host)]
        for role, b, a in zip(used, before, after, strict=True):
            used[role].append((a - b) / LOAD_S)
    for role, values in used.items():
        row(
            f"{role} node, by calls a second",
            "% of a core a call",
            rates,
            values,
            100,
        )
    resident = [s.node_process.resident_bytes() / 2**20 for s in (entry, host)]
    print(f"resident after load, MB: {resident[0]:.0f}, {resident[1]:.0f}")


def idle(cluster: Cluster) -> None:
    """Measures nodes that nobody calls: a relay and the node below it."""
    slots = list(cluster.slots.values())
    before = [s.node_process.cpu_seconds() for s in slots]
    time.sleep(10.0)
    after = [s.node_process.cpu_seconds() for s in slots]
    for slot, b, a in zip(slots, before, after, strict=True):
        duties = cluster.gauge(slot, "fulmarrudder_duties_held")
        print(
            f"idle node with {duties:.0f} duties: {(a - b) * 10:.1f}% of a"
            f" core, {slot.node_process.resident_bytes() / 2**20:.0f} MB"
        )


def by_keyed(cluster: Cluster) -> None:
    """Grows the keyed requests a second through two nodes."""
    rates = (10, 20, 40, 80)
    entry, host = cluster.slots.values()
    used, appends, latencies = [], [], []
    for rate in rates:
        before = host.node_process.cpu_seconds()
        kept = records_in(cluster)
        found = load(entry.call, rate, "POST:/deposits")
        assert found["by_status"] == {"200": found["sent"]}
        used.append((host.node_process.cpu_seconds() - before) / LOAD_S)
        appends.append((records_in(cluster) - kept) / LOAD_S)
        latencies.append(found["p50_ms"])
    row(
        "host node, by keyed requests a second",
        "% of a core a request",
        rates,
        used,
        100,
    )
    row("records of claims a second", "a request", rates, appends)
    shown = ", ".join(f"{value:.1f}" for value in latencies)
    print(f"keyed requests, p50 ms at those rates: {shown}", flush=True)


def records_in(cluster: Cluster) -> int:
    """Returns how many records the claims' stream has had."""
    streams = cluster.log_status()["streams"]
    return streams["claims.caja"]["next"] if "claims.caja" in streams else 0


@click.command()
def main() -> None:
    """Measures slopes of processes."""
    cluster = prepare(pathlib.Path(tempfile.mkdtemp()), 0.01)
    try:
        idle(cluster)
        by_calls(cluster)
        by_keyed(cluster)
    finally:
        cluster.kill_all()


if __name__ == "__main__":
    main()
