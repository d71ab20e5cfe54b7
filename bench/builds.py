"""Checks this build against an older one: mixed fleets and stored data.

    python bench/builds.py OLD_CHECKOUT

Both front ends are covered: the product's own, with the log stand-in and an
operator's commands, and the platform's, with the store stand-in. Nodes of the
old build first write records, snapshots of the state and leases. Nodes of this
build start from them. Then both builds share one fleet: links, facts, calls in
both directions and one complete move. Prints a line for each check and exits
with 1 when one fails.
"""

import base64
import contextlib
import http.server
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import threading
import time

from fulmarrudder_lab.cluster import (
    Cluster,
    Instance,
    Process,
    free_port,
    send_request,
    wait_for,
)
from fulmarrudder_lab.firms import ESFERA, OPERATOR_TOKEN, arrangement_document
from fulmarrudder_lab.machine import (
    HEARTBEAT_INTERVAL_S,
    SETTINGS_VARIABLE,
    Machine,
    append_record,
    config_document,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
CLOSED_PHASES = ("completed", "taken-back")
IN_FORCE_LINE = re.compile(r'time="[^"]+" .*event=in-force .*version=(\d+)')
LOAD_INTERVAL_S = 0.01
MOVE_TIMEOUT_S = 90.0
HOST = ESFERA.host


class Checks:
    """Prints checks and counts failed ones."""

    def __init__(self):
        self.failed = 0

    def check(self, description: str, holds: bool) -> None:
        """Reports whether a check holds."""
        print(f"{'ok    ' if holds else 'FAILED'} {description}", flush=True)
        self.failed += not holds


@contextlib.contextmanager
def build_at(checkout: pathlib.Path):
    """Makes processes started in the context run a checkout's build."""
    before = os.environ.get("PYTHONPATH")
    os.environ["PYTHONPATH"] = f"{checkout / 'src'}:{checkout / 'lab'}"
    try:
        yield
    finally:
        if before is None:
            del os.environ["PYTHONPATH"]
        else:
            os.environ["PYTHONPATH"] = before


def call(port: int, path: str, **fields: str):
    """Sends a lookup through a node; returns its status and answer."""
    status, _, data = send_request(
        "GET", port, path, headers={"host": HOST, **fields}
    )
    return status, json.loads(data)


class Load(threading.Thread):
    """Sends lookups through nodes in turn until stopped."""

    def __init__(self, ports: list[int], path: str):
        super().__init__(daemon=True)
        self.ports = ports
        self.path = path
        self.stopped = threading.Event()
        self.answered = 0
        self.failed = 0

    def run(self) -> None:
        """Sends lookups until stopped."""
        while not self.stopped.wait(LOAD_INTERVAL_S):
            for number, port in enumerate(self.ports):
                request_id = f"load-{number}-{self.answered}"
                headers = {"host": HOST, "x-request-id": request_id}
                try:
                    status, _, _ = send_request(
                        "GET", port, self.path, headers=headers
                    )
                except OSError:
                    status = 0
                self.answered += status == 200
                self.failed += status != 200


class OwnFrontEnd:
    """A fleet behind the product's own front end."""

    def __init__(
        self, cluster: Cluster, old_checkout: pathlib.Path, checks: Checks
    ):
        self.cluster = cluster
        self.old_checkout = old_checkout
        self.checks = checks
        vitrina, caja, _ = ESFERA.services
        self.vitrina = cluster.add_instance("lima-1", vitrina, "1", 0)
        self.caja = cluster.add_instance("lima-1", caja, "1", 0)
        self.caja_v2 = cluster.add_instance("lima-2", caja, "2", 0)
        self.remote_vitrina = cluster.add_instance("lima-2", vitrina, "1", 0)

    def instances(self) -> list[Instance]:
        """Returns all instances."""
        return list(self.cluster.instances.values())

    def start(self, old_nodes: list[Instance]) -> None:
        """Starts all nodes, some of them of the old build."""
        for instance in self.instances():
            with build_at(self.old_checkout if instance in old_nodes else ROOT):
                self.cluster.start_node(instance)

    def stop(self) -> None:
        """Stops all nodes gracefully."""
        statuses = []
        for instance in self.instances():
            statuses.append(instance.node_process.stop())
        self.checks.check("nodes stop cleanly", not any(statuses))

    def query(self, instance: Instance, text: str) -> dict:
        """Returns a node's answer to an operator's command."""
        return self.cluster.send_command(instance, text)["d"]

    def wait_until_ready(self, version: int) -> None:
        """Waits until all nodes have a version and all endpoints."""
        self.cluster.wait_for_version(version)
        for instance in self.instances():
            wait_for(
                "endpoints",
                lambda instance=instance: (
                    self.cluster.read_metric(instance, "fulmarrudder_endpoints")
                    == len(self.instances())
                ),
            )

    def deposit(self, instance: Instance, key: str):
        """Sends a keyed deposit; returns its status and answer."""
        headers = {"host": HOST, "idempotency-key": key}
        status, _, data = send_request(
            "POST", instance.call_port, "/deposits", b"amount=1", headers
        )
        return status, data

    def write_with_old(self) -> None:
        """Writes records and snapshots with nodes of the old build."""
        self.start(self.instances())
        for instance in self.instances():
            self.cluster.start_target(instance)
        document = arrangement_document(ESFERA, ("1", "2"))
        self.cluster.publish_initial_version(document)
        document["routes"][0]["timeout_ms"] = 9_000
        self.cluster.send_command(self.caja, "publish expecting 1", document)
        self.wait_until_ready(2)
        self.first_answer = self.deposit(self.vitrina, "kept")
        self.checks.check(
            "old build: deposit answered", self.first_answer[0] == 200
        )
        text = "start move kept of caja to 2 within 1 h expecting 2"
        self.cluster.send_command(self.vitrina, text)
        wait_for("a move", lambda: self.query(self.caja, "show moves")["moves"])
        self.cluster.send_command(
            self.vitrina, 'take back move kept because "no"'
        )
        wait_for(
            "the move's end",
            lambda: self.query(self.caja, "show history")["moves"],
        )
        self.history = self.query(self.caja, "show history")
        self.stop()

    def read_with_new(self) -> None:
        """Starts this build on the old one's settings and log."""
        self.start([])
        self.wait_until_ready(2)
        answer = self.query(self.vitrina, "show arrangement")
        self.checks.check(
            "this build has the old one's version in force",
            answer["version"] == 2
            and answer["arrangement"]["routes"][0]["timeout_ms"] == 9_000,
        )
        self.checks.check(
            "this build reads the old one's closed move",
            self.query(self.remote_vitrina, "show history") == self.history,
        )
        self.checks.check(
            "a deposit settled by the old build is not run again",
            self.deposit(self.remote_vitrina, "kept") == self.first_answer,
        )
        self.stop()

    def run_mixed(
        self, old_nodes: list[Instance], name: str, version: int
    ) -> None:
        """Checks a fleet that both builds share."""
        self.start(old_nodes)
        self.wait_until_ready(version)
        self._check_calls(name)
        self._check_deposits(name)
        self._check_move(name, version)
        self._check_clients(name, old_nodes)
        self.stop()

    def _check_calls(self, name: str) -> None:
        for entry, path in (
            (self.vitrina, "/quotes/1"),
            (self.caja, "/"),
            (self.caja_v2, "/"),
            (self.remote_vitrina, "/quotes/1"),
        ):
            answers = [call(entry.call_port, path) for _ in range(20)]
            self.checks.check(
                f"{name}: 20 calls through {entry.node} to {path}",
                all(status == 200 for status, _ in answers),
            )

    def _check_deposits(self, name: str) -> None:
        first = self.deposit(self.vitrina, f"key {name}")
        second = self.deposit(self.remote_vitrina, f"key {name}")
        self.checks.check(
            f"{name}: a deposit through both builds runs once",
            first == second and first[0] == 200,
        )

    def _check_move(self, name: str, version: int) -> None:
        current = self.query(self.caja, "show arrangement")["version"]
        to = "2" if "one" in name else "1"
        load = Load(
            [self.vitrina.call_port, self.remote_vitrina.call_port], "/quotes/1"
        )
        load.start()
        move = f"move-{to}"
        text = (
            f"start move {move} of caja to {to} within 30 s expecting {version}"
        )
        self.checks.check(
            f"{name}: a move starts",
            self.cluster.send_command(self.remote_vitrina, text)["k"] == "done",
        )

        def closed_move():
            moves = self.query(self.vitrina, f"show move {move}")["moves"]
            return (
                moves[0] if moves[0]["move"]["phase"] in CLOSED_PHASES else None
            )

        ended = wait_for("the move", closed_move, MOVE_TIMEOUT_S)
        load.stopped.set()
        load.join()
        self.checks.check(
            f"{name}: the move completes ({ended['verdict']})",
            ended["move"]["phase"] == "completed",
        )
        self.checks.check(
            f"{name}: no call of {load.answered} fails meanwhile",
            load.failed == 0 and current == version,
        )
        answers = [
            self.query(instance, f"show move {move}")["moves"][0]["move"]
            for instance in self.instances()
        ]
        self.checks.check(
            f"{name}: all nodes report the same move",
            all(answer == answers[0] for answer in answers),
        )

    def _check_clients(self, name: str, old_nodes: list[Instance]) -> None:
        for instance in self.instances():
            checkout = ROOT if instance in old_nodes else self.old_checkout
            with build_at(checkout):
                done = subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "fulmarrudder.client",
                        f"--node=127.0.0.1:{instance.admin_port}",
                        f"--token={OPERATOR_TOKEN}",
                        "--json",
                        "show",
                        "status",
                    ],
                    capture_output=True,
                )
            succeeded = "k" if done.returncode == 0 else ""
            self.checks.check(
                f"{name}: the other build's client reads {instance.node}",
                succeeded and json.loads(done.stdout)["k"] == "status",
            )


class TargetHandler(http.server.BaseHTTPRequestHandler):
    """Answers as a platform target, with request id and response seal."""

    protocol_version = "HTTP/1.1"
    server: "TargetServer"

    def do_GET(self) -> None:  # noqa: N802
        """Answers with the target version."""
        server = self.server
        server.callers.append(self.headers["x-caller-service"])
        data = json.dumps({"version": server.version}).encode()
        self.send_response(200)
        self.send_header("x-request-id", self.headers["x-request-id"])
        self.send_header("x-response-seal", "seal")
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_) -> None:
        """Does nothing: requests are not logged."""


class TargetServer(http.server.ThreadingHTTPServer):
    """Serves one target on a free port.

    Attributes:
        version: Target version that answers report.
        callers: Calling service of each request, in order of arrival.
    """

    def __init__(self, version: str):
        super().__init__(("127.0.0.1", 0), TargetHandler)
        self.daemon_threads = True
        self.version = version
        self.callers: list[str] = []


class BuiltMachine(Machine):
    """A machine whose node runs the build of a checkout."""

    def __init__(self, name: str, service: str, version: str, store_port: int):
        self.server = TargetServer(version)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.process: Process | None = None
        super().__init__(
            name,
            service,
            version,
            target_port=self.server.server_port,
            store_port=store_port,
        )

    def start(self, checkout: pathlib.Path, folder: pathlib.Path) -> None:
        """Starts the node with the build of a checkout."""
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        os.environ[SETTINGS_VARIABLE] = str(path)
        with build_at(checkout):
            self.process = Process(
                ["fulmarrudder.platform.daemon"], folder / f"{self.name}.txt"
            )

    def read_metric(self, name: str) -> float:
        """Returns a metric's value."""
        text = send_request("GET", self.first_port + 1, "/metrics")[2].decode()
        # Other metrics may begin with the same name.
        lines = [r for r in text.splitlines() if re.match(rf"{name}[ {{]", r)]
        return sum(float(line.rpartition(" ")[2]) for line in lines)


class PlatformFrontEnd:
    """A fleet on the platform's store stand-in."""

    def __init__(
        self, folder: pathlib.Path, old_checkout: pathlib.Path, checks: Checks
    ):
        self.folder = folder
        self.old_checkout = old_checkout
        self.checks = checks
        self.store_port = free_port()
        self.version = 11
        self.store = Process(
            ["fulmarrudder_lab.storeserver", "--port", str(self.store_port)],
            folder / "store.txt",
        )
        wait_for(
            "the store", lambda: self.latest_values("keyed.op") is not None
        )
        self.machines = [
            BuiltMachine("vitrina-1", "vitrina", "v1", self.store_port),
            BuiltMachine("caja-1", "caja", "v1", self.store_port),
            BuiltMachine("caja-2", "caja", "v2", self.store_port),
            BuiltMachine("vitrina-2", "vitrina", "v1", self.store_port),
        ]
        self.heartbeat_thread = threading.Thread(
            target=self._send_heartbeats, daemon=True
        )
        self.closed = threading.Event()
        self.heartbeat_thread.start()

    def _send_heartbeats(self) -> None:
        while not self.closed.wait(HEARTBEAT_INTERVAL_S):
            for machine in self.machines:
                if machine.process is not None and machine.process.running:
                    machine.send_heartbeat()

    def latest_values(self, topic: str) -> dict[str, bytes]:
        """Returns the latest value of each key."""
        path = f"/-/log-newest?topic={topic}&part=0"
        page = json.loads(send_request("GET", self.store_port, path)[2])
        return {
            item["key"]: base64.b64decode(item["value"])
            for item in page["items"]
        }

    def write_record(self, key: str, document: dict | None) -> None:
        """Writes an operator's record."""
        value = json.dumps(document).encode() if document else b""
        append_record(self.store_port, key, value)

    def write_config(self) -> None:
        """Writes the next configuration."""
        self.version += 1
        routes = [
            {
                "name": f"r-{service}",
                "pathPrefix": prefix,
                "service": service,
            }
            for service, prefix in (("vitrina", "/"), ("caja", "/quotes/"))
        ]
        self.write_record(
            "config",
            config_document(self.version, HOST, routes, max_connections=110),
        )

    def start(self, old_nodes: list[BuiltMachine]) -> None:
        """Starts all nodes and waits until they are ready."""
        for machine in self.machines:
            checkout = self.old_checkout if machine in old_nodes else ROOT
            machine.start(checkout, self.folder)
        for machine in self.machines:
            wait_for(f"{machine.name} to be ready", machine.is_ready)
            for name, value in (
                ("fulmarrudder_config_version", self.version),
                ("fulmarrudder_endpoints", len(self.machines)),
                ("fulmarrudder_links", len(self.machines) - 1),
            ):
                wait_for(
                    f"{name} of {machine.name}",
                    lambda m=machine, n=name, v=value: m.read_metric(n) >= v,
                )

    def stop(self) -> None:
        """Stops all nodes gracefully."""
        statuses = [machine.process.stop() for machine in self.machines]
        self.checks.check("platform nodes stop cleanly", not any(statuses))

    def check_calls(self, name: str) -> None:
        """Checks calls in both directions."""
        vitrina, caja, caja_v2, second_vitrina = self.machines
        for entry, path in (
            (vitrina, "/quotes/1"),
            (caja, "/1"),
            (caja_v2, "/1"),
            (second_vitrina, "/quotes/1"),
        ):
            fields = {"x-deadline-remaining": "2000"}
            answers = [
                call(
                    entry.call_port,
                    path,
                    **fields,
                    **{"x-request-id": f"r-{n}"},
                )
                for n in range(20)
            ]
            self.checks.check(
                f"{name}: 20 calls through {entry.name} to {path}",
                all(status == 200 for status, _ in answers),
            )
        callers = set(caja.server.callers + caja_v2.server.callers)
        self.checks.check(
            f"{name}: targets receive the calling service",
            bool(callers) and callers <= {"vitrina", "caja"},
        )

    def check_move(self, name: str, to: str) -> None:
        """Checks a complete move of a service."""
        vitrina, _, _, second_vitrina = self.machines
        load = Load([vitrina.call_port, second_vitrina.call_port], "/quotes/1")
        load.start()
        self.write_record(
            "rollout/caja",
            {"service": "caja", "targetVersion": to, "duration": "30s"},
        )

        def closed_status():
            status = self.latest_values("keyed.status").get("rollout/caja")
            if status is None:
                return None
            found = json.loads(status)
            if found["targetVersion"] != to or found["state"] == "active":
                return None
            return found

        status = wait_for("the rollout", closed_status, MOVE_TIMEOUT_S)
        load.stopped.set()
        load.join()
        self.checks.check(
            f"{name}: the rollout to {to} is {status['state']}",
            status["state"] == "completed",
        )
        self.checks.check(
            f"{name}: no call of {load.answered} fails meanwhile",
            load.failed == 0,
        )
        time.sleep(HEARTBEAT_INTERVAL_S)
        answers = [
            call(m.call_port, "/quotes/1", **{"x-request-id": "after"})
            for m in (vitrina, second_vitrina)
        ]
        self.checks.check(
            f"{name}: all calls go to {to} afterwards",
            all(answer["version"] == to for _, answer in answers),
        )

    def check_logs(self, name: str) -> None:
        """Checks the log lines that `bench/converge.py` reads."""
        for machine in self.machines:
            text = machine.process.log_path.read_text()
            found = [int(line) for line in IN_FORCE_LINE.findall(text)]
            self.checks.check(
                f"{name}: {machine.name} logs version {self.version}",
                self.version in found,
            )

    def close(self) -> None:
        """Ends heartbeats, targets and all remaining processes."""
        self.closed.set()
        for machine in self.machines:
            machine.server.shutdown()
            if machine.process is not None and machine.process.running:
                machine.process.kill()
        self.store.kill()


def check_own_front_end(
    folder: pathlib.Path, old_checkout: pathlib.Path, checks: Checks
) -> None:
    """Checks the product's own front end."""
    with Cluster(folder / "own", relays=1) as cluster:
        fleet = OwnFrontEnd(cluster, old_checkout, checks)
        fleet.write_with_old()
        fleet.read_with_new()
        fleet.run_mixed([fleet.vitrina, fleet.caja_v2], "own, one way", 2)
        fleet.run_mixed([fleet.caja, fleet.remote_vitrina], "own, other way", 2)


def check_platform_front_end(
    folder: pathlib.Path, old_checkout: pathlib.Path, checks: Checks
) -> None:
    """Checks the platform's front end."""
    platform_folder = folder / "platform"
    platform_folder.mkdir()
    fleet = PlatformFrontEnd(platform_folder, old_checkout, checks)
    try:
        vitrina, caja, caja_v2, second_vitrina = fleet.machines
        fleet.write_config()
        fleet.start(fleet.machines)
        fleet.check_calls("platform, old build")
        fleet.check_move("platform, old build", "v2")
        fleet.stop()
        fleet.start([])
        fleet.check_calls("platform, this build on the old one's records")
        fleet.stop()
        fleet.start([vitrina, caja_v2])
        fleet.check_calls("platform, both builds")
        fleet.write_config()
        fleet.check_move("platform, both builds", "v1")
        fleet.check_logs("platform, both builds")
        fleet.stop()
        fleet.start([caja, second_vitrina])
        fleet.check_calls("platform, the other way")
        fleet.check_move("platform, the other way", "v2")
        fleet.stop()
    finally:
        fleet.close()


def main() -> int:
    """Runs all checks."""
    old_checkout = pathlib.Path(sys.argv[1]).resolve()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fulmarrudder-builds-"))
    print(f"logs of all processes: {folder}")
    checks = Checks()
    check_own_front_end(folder, old_checkout, checks)
    check_platform_front_end(folder, old_checkout, checks)
    print(f"{checks.failed} checks failed")
    return 1 if checks.failed else 0


if __name__ == "__main__":
    sys.exit(main())
