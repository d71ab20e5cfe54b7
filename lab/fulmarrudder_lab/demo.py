"""Demonstrates both firms at reduced size: a good move and a bad move."""

import concurrent.futures
import json
import pathlib
import sys
import tempfile
import time

from fulmarrudder_lab.cluster import Cluster, Process, send_request, wait_for
from fulmarrudder_lab.firms import (
    ESFERA,
    POZARNIK,
    Firm,
    ServiceSpec,
    arrangement_document,
)

CALLS_PER_SECOND = 150
MOVE_DURATION = "30 s"
CLOSED_PHASES = ("completed", "taken-back")


def find_service(firm: Firm, name: str) -> ServiceSpec:
    """Returns a service of a firm by name."""
    return next(service for service in firm.services if service.name == name)


def start_cluster(
    firm: Firm, moved_service: str, folder: pathlib.Path
) -> Cluster:
    """Starts a reduced firm: two data centres, two targets per service."""
    cluster = Cluster(folder / firm.name, relays=2)
    cluster.start_log()
    cluster.add_firm(firm, ("1",), targets=2, data_centres=2)
    service = find_service(firm, moved_service)
    for index in range(2):
        cluster.add_instance(firm.data_centres[index], service, "2", index)
    cluster.start_all()
    return cluster


def measure_convergence(cluster: Cluster, firm: Firm) -> float:
    """Publishes two versions; returns the time to the second, in s."""
    document = arrangement_document(firm)

    first = cluster.publish_initial_version(document)
    began = time.monotonic()
    cluster.send_command(first, "publish expecting 1", document)
    cluster.wait_for_version(2)
    return time.monotonic() - began


def run_move(
    cluster: Cluster, firm: Firm, moved_service: str, *, bad: bool
) -> dict:
    """Moves a service under load and returns the move's status."""
    instances = list(cluster.instances.values())
    if bad:
        for instance in instances:
            if instance.target_version == "2":
                behaviour = json.dumps({"fail_permille": 400})
                send_request("POST", instance.target_port, "/behave", behaviour)
    service = find_service(firm, moved_service)
    first = instances[0]
    load = Process(
        [
            "fulmarrudder_lab.load",
            f"--rate={CALLS_PER_SECOND}",
            "--seconds=40",
            f"--host={firm.host}",
            f"--path={service.prefix}",
            *[f"--port={instance.call_port}" for instance in instances[:4]],
        ],
        cluster.folder / "load.txt",
    )
    cluster.send_command(
        first,
        f"start move spring of {moved_service} to 2 within {MOVE_DURATION}"
        " expecting 2",
    )

    def closed_status():
        answer = cluster.send_command(first, "show move spring")
        status = answer["d"]["moves"][0]
        return status if status["move"]["phase"] in CLOSED_PHASES else None

    try:
        return wait_for(
            f"the end of the move of {moved_service}", closed_status
        )
    finally:
        load.kill()


def run_firm(
    firm: Firm, moved_service: str, folder: pathlib.Path, *, bad: bool
) -> list[str]:
    """Runs one firm's part of the demonstration.

    Returns:
        The lines to print.
    """
    began = time.monotonic()
    cluster = start_cluster(firm, moved_service, folder)
    try:
        convergence_s = measure_convergence(cluster, firm)
        instance = next(iter(cluster.instances.values()))
        status, _, data = send_request(
            "GET",
            instance.call_port,
            find_service(firm, moved_service).prefix,
            headers={"host": firm.host},
        )
        move_status = run_move(cluster, firm, moved_service, bad=bad)
        statuses = cluster.stop_all()
    finally:
        cluster.kill_all()
    kind = "bad" if bad else "good"
    return [
        f"{firm.name}: {len(cluster.instances)} nodes, a call answered {status}"
        f" by version {json.loads(data)['version']}",
        f"{firm.name}: version 2 in force on every node after"
        f" {convergence_s:.2f} s",
        f"{firm.name}: {kind} move of {moved_service}:"
        f" {move_status['verdict']}",
        f"{firm.name}: graceful stop of all nodes: "
        f"{'clean' if not any(statuses) else statuses}",
        f"{firm.name}: took {time.monotonic() - began:.1f} s",
    ]


def main() -> int:
    """Runs both firms concurrently and prints the results."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fulmarrudder-demo-"))
    print(f"logs of all processes: {folder}")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        futures = [
            pool.submit(run_firm, ESFERA, "caja", folder, bad=False),
            pool.submit(run_firm, POZARNIK, "tecaji", folder, bad=True),
        ]
        lines = [line for future in futures for line in future.result()]
    print("\n".join(lines))
    text = "\n".join(lines)
    as_expected = "caja: completed" in text and "tecaji: taken back" in text
    return 0 if as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
