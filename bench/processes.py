"""Measures slopes of processes on loopback for docs/CAPACITY.md.

    python bench/processes.py

An entry node, a host node and its target, called by the load generator.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import time

import click

from calls import start_cluster
from fulmarrudder_lab.cluster import Cluster
from slopes import print_fit

LOAD_DURATION_S = 5


def run_load(port: int, rate: int, path: str) -> dict:
    """Runs the load generator against a node; returns its summary."""
    command = [
        sys.executable,
        "-m",
        "fulmarrudder_lab.load",
        "--rate",
        str(rate),
        "--seconds",
        str(LOAD_DURATION_S),
        "--path",
        path,
        "--port",
        str(port),
    ]
    done = subprocess.run(command, capture_output=True, check=True, text=True)
    return json.loads(done.stdout)


def by_calls(cluster: Cluster) -> None:
    """Varies the calls a second through two nodes."""
    rates = (25, 50, 100, 200)
    entry, host = cluster.instances.values()
    cpu_shares = {"entry": [], "host": []}
    for rate in rates:
        before = [
            instance.node_process.cpu_seconds() for instance in (entry, host)
        ]
        run_load(entry.call_port, rate, "GET:/quotes/1")
        after = [
            instance.node_process.cpu_seconds() for instance in (entry, host)
        ]
        for role, b, a in zip(cpu_shares, before, after, strict=True):
            cpu_shares[role].append((a - b) / LOAD_DURATION_S)
    for role, values in cpu_shares.items():
        print_fit(
            f"{role} node, by calls a second",
            "% of a core a call",
            rates,
            values,
            100,
        )
    resident = [
        instance.node_process.resident_bytes() / 2**20
        for instance in (entry, host)
    ]
    print(f"resident after load, MB: {resident[0]:.0f}, {resident[1]:.0f}")


def idle(cluster: Cluster) -> None:
    """Measures nodes without calls: a relay and its child."""
    instances = list(cluster.instances.values())
    before = [instance.node_process.cpu_seconds() for instance in instances]
    time.sleep(10.0)
    after = [instance.node_process.cpu_seconds() for instance in instances]
    for instance, b, a in zip(instances, before, after, strict=True):
        duties = cluster.read_metric(instance, "fulmarrudder_duties_held")
        print(
            f"idle node with {duties:.0f} duties: {(a - b) * 10:.1f}% of a"
            f" core, {instance.node_process.resident_bytes() / 2**20:.0f} MB"
        )


def by_keyed_requests(cluster: Cluster) -> None:
    """Varies the keyed requests a second through two nodes."""
    rates = (10, 20, 40, 80)
    entry, host = cluster.instances.values()
    cpu_shares, appends, latencies = [], [], []
    for rate in rates:
        before = host.node_process.cpu_seconds()
        records_before = count_claim_records(cluster)
        summary = run_load(entry.call_port, rate, "POST:/deposits")
        assert summary["by_status"] == {"200": summary["sent"]}
        cpu_shares.append(
            (host.node_process.cpu_seconds() - before) / LOAD_DURATION_S
        )
        appends.append(
            (count_claim_records(cluster) - records_before) / LOAD_DURATION_S
        )
        latencies.append(summary["p50_ms"])
    print_fit(
        "host node, by keyed requests a second",
        "% of a core a request",
        rates,
        cpu_shares,
        100,
    )
    print_fit("records of claims a second", "a request", rates, appends)
    formatted = ", ".join(f"{value:.1f}" for value in latencies)
    print(f"keyed requests, p50 ms at those rates: {formatted}", flush=True)


def count_claim_records(cluster: Cluster) -> int:
    """Returns the number of records appended to the claims stream."""
    streams = cluster.log_status()["streams"]
    return streams["claims.caja"]["next"] if "claims.caja" in streams else 0


@click.command()
def main() -> None:
    """Measures slopes of processes."""
    cluster = start_cluster(pathlib.Path(tempfile.mkdtemp()), 0.01)
    try:
        idle(cluster)
        by_calls(cluster)
        by_keyed_requests(cluster)
    finally:
        cluster.kill_all()


if __name__ == "__main__":
    main()
