"""Runs nodes of this build beside nodes of an older one, and on its data.

    python bench/builds.py OLD_CHECKOUT

Both front ends are tried: the product's own, with the log stand-in and an
operator's commands, and the platform's, with the store stand-in. Nodes of the
old build first write records, snapshots of what is in force and leases; nodes
of this build start from them, and then both builds share one fleet: links,
facts, calls in both directions, one move from start to end. Prints a line for
each check and exits with 1 when one fails.
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
    Process,
    Slot,
    ask,
    free_port,
    wait_for,
)
from fulmarrudder_lab.firms import ESFERA, OPERATOR_TOKEN, arrangement_of

ROOT = pathlib.Path(__file__).resolve().parent.parent
CLOSED = ("completed", "taken-back")
IN_FORCE = re.compile(r'time="[^"]+" .*event=in-force .*version=(\d+)')
SETTINGS_VARIABLE = "FULMARRUDDER_BOOT"
BEAT_S = 0.5
PAUSE_S = 0.01
MOVE_LIMIT_S = 90.0
HOST = ESFERA.host


class Checks:
    """Prints and counts checks."""

    def __init__(self):
        self.failed = 0

    def that(self, what: str, holds: bool) -> None:
        """Notes whether a check holds."""
        print(f"{'ok    ' if holds else 'FAILED'} {what}", flush=True)
        self.failed += not holds


@contextlib.contextmanager
def build_at(checkout: pathlib.Path):
    """Makes processes that start meanwhile run the build of a checkout."""
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
    status, _, data = ask("GET", port, path, headers={"host": HOST, **fields})
    return status, json.loads(data)


class Load(threading.Thread):
    """Sends lookups through nodes in turn until it is stopped."""

    def __init__(self, ports: list[int], path: str):
        super().__init__(daemon=True)
        self.ports = ports
        self.path = path
        self.stopped = threading.Event()
        self.answered = 0
        self.failed = 0

    def run(self) -> None:
        """Sends."""
        while not self.stopped.wait(PAUSE_S):
            for number, port in enumerate(self.ports):
                request_id = f"load-{number}-{self.answered}"
                headers = {"host": HOST, "x-request-id": request_id}
                try:
                    status, _, _ = ask("GET", port, self.path, headers=headers)
                except OSError:
                    status = 0
                self.answered += status == 200
                self.failed += status != 200


class OwnFrontEnd:
    """A fleet behind the product's own front end."""

    def __init__(self, cluster: Cluster, old: pathlib.Path, checks: Checks):
        self.cluster = cluster
        self.old = old
        self.checks = checks
        vitrina, caja, _ = ESFERA.services
        self.vitrina = cluster.add("lima-1", vitrina, "1", 0)
        self.caja = cluster.add("lima-1", caja, "1", 0)
        self.next = cluster.add("lima-2", caja, "2", 0)
        self.far = cluster.add("lima-2", vitrina, "1", 0)

    def slots(self) -> list[Slot]:
        """Returns all instances."""
        return list(self.cluster.slots.values())

    def start(self, old_nodes: list[Slot]) -> None:
        """Starts all nodes, some of them of the old build."""
        for slot in self.slots():
            with build_at(self.old if slot in old_nodes else ROOT):
                self.cluster.start_node(slot)

    def stop(self) -> None:
        """Stops all nodes gracefully."""
        statuses = []
        for slot in self.slots():
            statuses.append(slot.node_process.stop())
        self.checks.that("nodes stop cleanly", not any(statuses))

    def told(self, slot: Slot, text: str) -> dict:
        """Returns a node's answer to an operator's command."""
        return self.cluster.command(slot, text)["d"]

    def ready(self, version: int) -> None:
        """Waits until all nodes hold a version and know all endpoints."""
        self.cluster.wait_version(version)
        for slot in self.slots():
            wait_for(
                "endpoints",
                lambda slot=slot: (
                    self.cluster.gauge(slot, "fulmarrudder_endpoints")
                    == len(self.slots())
                ),
            )

    def deposit(self, slot: Slot, key: str):
        """Sends a keyed deposit; returns its status and answer."""
        headers = {"host": HOST, "idempotency-key": key}
        status, _, data = ask(
            "POST", slot.call, "/deposits", b"amount=1", headers
        )
        return status, data

    def write_with_old(self) -> None:
        """Lets nodes of the old build write what this build reads."""
        self.start(self.slots())
        for slot in self.slots():
            self.cluster.start_target(slot)
        document = arrangement_of(ESFERA, ("1", "2"))
        self.cluster.publish_first(document)
        document["routes"][0]["timeout_ms"] = 9_000
        self.cluster.command(self.caja, "publish expecting 1", document)
        self.ready(2)
        self.first_answer = self.deposit(self.vitrina, "kept")
        self.checks.that(
            "old build: deposit answered", self.first_answer[0] == 200
        )
        text = "start move kept of caja to 2 within 1 h expecting 2"
        self.cluster.command(self.vitrina, text)
        wait_for("a move", lambda: self.told(self.caja, "show moves")["moves"])
        self.cluster.command(self.vitrina, 'take back move kept because "no"')
        wait_for(
            "the move's end",
            lambda: self.told(self.caja, "show history")["moves"],
        )
        self.history = self.told(self.caja, "show history")
        self.stop()

    def read_with_new(self) -> None:
        """Starts this build on the old one's settings and log."""
        self.start([])
        self.ready(2)
        told = self.told(self.vitrina, "show arrangement")
        self.checks.that(
            "this build has the old one's version in force",
            told["version"] == 2
            and told["arrangement"]["routes"][0]["timeout_ms"] == 9_000,
        )
        self.checks.that(
            "this build reads the old one's closed move",
            self.told(self.far, "show history") == self.history,
        )
        self.checks.that(
            "a deposit settled by the old build is not run again",
            self.deposit(self.far, "kept") == self.first_answer,
        )
        self.stop()

    def share(self, old_nodes: list[Slot], name: str, version: int) -> None:
        """Lets both builds share the fleet."""
        self.start(old_nodes)
        self.ready(version)
        self._calls(name)
        self._deposits(name)
        self._move(name, version)
        self._clients(name, old_nodes)
        self.stop()

    def _calls(self, name: str) -> None:
        for entry, path in (
            (self.vitrina, "/quotes/1"),
            (self.caja, "/"),
            (self.next, "/"),
            (self.far, "/quotes/1"),
        ):
            answers = [call(entry.call, path) for _ in range(20)]
            self.checks.that(
                f"{name}: 20 calls through {entry.node} to {path}",
                all(status == 200 for status, _ in answers),
            )

    def _deposits(self, name: str) -> None:
        one = self.deposit(self.vitrina, f"key {name}")
        other = self.deposit(self.far, f"key {name}")
        self.checks.that(
            f"{name}: a deposit through both builds runs once",
            one == other and one[0] == 200,
        )

    def _move(self, name: str, version: int) -> None:
        current = self.told(self.caja, "show arrangement")["version"]
        to = "2" if "one" in name else "1"
        load = Load([self.vitrina.call, self.far.call], "/quotes/1")
        load.start()
        move = f"move-{to}"
        text = (
            f"start move {move} of caja to {to} within 30 s expecting {version}"
        )
        self.checks.that(
            f"{name}: a move starts",
            self.cluster.command(self.far, text)["k"] == "done",
        )

        def closed():
            moves = self.told(self.vitrina, f"show move {move}")["moves"]
            return moves[0] if moves[0]["move"]["phase"] in CLOSED else None

        ended = wait_for("the move", closed, MOVE_LIMIT_S)
        load.stopped.set()
        load.join()
        self.checks.that(
            f"{name}: the move completes ({ended['verdict']})",
            ended["move"]["phase"] == "completed",
        )
        self.checks.that(
            f"{name}: no call of {load.answered} fails meanwhile",
            load.failed == 0 and current == version,
        )
        told = [
            self.told(slot, f"show move {move}")["moves"][0]["move"]
            for slot in self.slots()
        ]
        self.checks.that(
            f"{name}: all nodes tell the same of it",
            all(one == told[0] for one in told),
        )

    def _clients(self, name: str, old_nodes: list[Slot]) -> None:
        for slot in self.slots():
            checkout = ROOT if slot in old_nodes else self.old
            with build_at(checkout):
                done = subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "fulmarrudder.client",
                        f"--node=127.0.0.1:{slot.admin}",
                        f"--token={OPERATOR_TOKEN}",
                        "--json",
                        "show",
                        "status",
                    ],
                    capture_output=True,
                )
            kind = "k" if done.returncode == 0 else ""
            self.checks.that(
                f"{name}: the other build's client reads {slot.node}",
                kind and json.loads(done.stdout)["k"] == "status",
            )


class SealedTarget(http.server.BaseHTTPRequestHandler):
    """A target of the platform: names the request and seals the answer."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802
        """Answers."""
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
        """Writes nothing."""


class Machine:
    """A machine of the platform: a node, and a target that sends heartbeats."""

    def __init__(self, name: str, service: str, version: str, store: int):
        self.name = name
        self.service = service
        self.version = version
        self.call, self.host, self.ready = (free_port() for _ in range(3))
        self.control = free_port()
        self.range = _two_ports()
        self.server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), SealedTarget
        )
        self.server.daemon_threads = True
        self.server.version = version
        self.server.callers = []
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.sequence = 0
        self.process: Process | None = None
        self.settings = {
            "nodeId": name,
            "zone": "lima-1",
            "ip": "127.0.0.1",
            "listen": {
                "inbound": f"127.0.0.1:{self.host}",
                "outbound": f"127.0.0.1:{self.call}",
                "readinessAddr": f"127.0.0.1:{self.ready}",
                "control": f"127.0.0.1:{self.control}",
            },
            "portRange": [self.range, self.range + 1],
            "appAddr": f"127.0.0.1:{self.server.server_port}",
            "service": service,
            "bounds": {
                "drain": "2000ms",
                "grace": "6s",
                "retryBudgetRatio": 0.2,
                "budgetSlack": 58,
            },
            "platform": {"address": f"127.0.0.1:{store}", "form": "log"},
        }

    def start(self, checkout: pathlib.Path, folder: pathlib.Path) -> None:
        """Starts the node of a build."""
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        os.environ[SETTINGS_VARIABLE] = str(path)
        with build_at(checkout):
            self.process = Process(
                ["fulmarrudder.platform.daemon"], folder / f"{self.name}.txt"
            )

    def beat(self) -> None:
        """Sends a heartbeat of the target."""
        self.sequence += 1
        document = {
            "address": f"127.0.0.1:{self.server.server_port}",
            "born": 1785000000000,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": "lima-1",
                "slots": 8,
            },
            "status": {
                "state": "ready",
                "sequence": self.sequence,
                "coldLeft": "0ms",
            },
        }
        path = f"/-/instances/i-{self.name}/heartbeat"
        with contextlib.suppress(OSError):
            ask("POST", self.control, path, json.dumps(document))

    def is_ready(self) -> bool:
        """Tells whether the node answers readiness."""
        return ask("GET", self.ready, "/-/readiness")[0] == 200

    def gauge(self, name: str) -> float:
        """Returns a metric's value."""
        text = ask("GET", self.range + 1, "/metrics")[2].decode()
        rows = [r for r in text.splitlines() if r.startswith(name)]
        return sum(float(row.rpartition(" ")[2]) for row in rows)


def _two_ports() -> int:
    while True:
        first = free_port()
        if free_port() == first + 1:
            return first


class PlatformFrontEnd:
    """A fleet on the platform's store stand-in."""

    def __init__(self, folder: pathlib.Path, old: pathlib.Path, checks: Checks):
        self.folder = folder
        self.old = old
        self.checks = checks
        self.port = free_port()
        self.version = 11
        self.store = Process(
            ["fulmarrudder_lab.storeserver", "--port", str(self.port)],
            folder / "store.txt",
        )
        wait_for("the store", lambda: self.newest("keyed.op") is not None)
        self.machines = [
            Machine("vitrina-1", "vitrina", "v1", self.port),
            Machine("caja-1", "caja", "v1", self.port),
            Machine("caja-2", "caja", "v2", self.port),
            Machine("vitrina-2", "vitrina", "v1", self.port),
        ]
        self.beating = threading.Thread(target=self._beat, daemon=True)
        self.ended = threading.Event()
        self.beating.start()

    def _beat(self) -> None:
        while not self.ended.wait(BEAT_S):
            for machine in self.machines:
                if machine.process is not None and machine.process.running:
                    machine.beat()

    def newest(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key."""
        path = f"/-/log-newest?topic={topic}&part=0"
        page = json.loads(ask("GET", self.port, path)[2])
        return {
            item["key"]: base64.b64decode(item["value"])
            for item in page["items"]
        }

    def write(self, key: str, document: dict | None) -> None:
        """Writes an operator's record."""
        value = json.dumps(document).encode() if document else b""
        content = bytes([len(key)]) + key.encode() + value
        data = len(content).to_bytes(4, "big") + content
        ask("POST", self.port, "/-/log-append?topic=keyed.op&part=0", data)

    def configure(self) -> None:
        """Writes the next configuration."""
        self.version += 1
        routes = [
            {
                "name": f"r-{service}",
                "pathPrefix": prefix,
                "service": service,
                "routeType": "idempotent",
                "timeout": "2000ms",
                "targetLatency": "250ms",
                "priority": 0,
                "maxAttempts": 2,
            }
            for service, prefix in (("vitrina", "/"), ("caja", "/quotes/"))
        ]
        self.write(
            "config",
            {
                "version": f"{self.version:08x}",
                "services": [
                    {"name": name, "maxConnections": 110}
                    for name in ("vitrina", "caja")
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 67108864,
                    "headerTimeout": "3000ms",
                    "idleTimeout": "15s",
                },
                "virtualHosts": [{"hostname": HOST, "paths": routes}],
            },
        )

    def start(self, old_nodes: list[Machine]) -> None:
        """Starts all nodes and waits until they serve."""
        for machine in self.machines:
            checkout = self.old if machine in old_nodes else ROOT
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
                    lambda m=machine, n=name, v=value: m.gauge(n) >= v,
                )

    def stop(self) -> None:
        """Stops all nodes gracefully."""
        statuses = [machine.process.stop() for machine in self.machines]
        self.checks.that("platform nodes stop cleanly", not any(statuses))

    def calls(self, name: str) -> None:
        """Calls in both directions."""
        vitrina, caja, second, other = self.machines
        for entry, path in (
            (vitrina, "/quotes/1"),
            (caja, "/1"),
            (second, "/1"),
            (other, "/quotes/1"),
        ):
            fields = {"x-deadline-remaining": "2000"}
            answers = [
                call(entry.call, path, **fields, **{"x-request-id": f"r-{n}"})
                for n in range(20)
            ]
            self.checks.that(
                f"{name}: 20 calls through {entry.name} to {path}",
                all(status == 200 for status, _ in answers),
            )
        callers = set(caja.server.callers + second.server.callers)
        self.checks.that(
            f"{name}: targets are told the calling service",
            bool(callers) and callers <= {"vitrina", "caja"},
        )

    def move(self, name: str, to: str) -> None:
        """Moves a service from start to end."""
        vitrina, _, _, other = self.machines
        load = Load([vitrina.call, other.call], "/quotes/1")
        load.start()
        self.write(
            "rollout/caja",
            {"service": "caja", "targetVersion": to, "duration": "30s"},
        )

        def ended():
            status = self.newest("keyed.status").get("rollout/caja")
            if status is None:
                return None
            found = json.loads(status)
            if found["targetVersion"] != to or found["state"] == "active":
                return None
            return found

        status = wait_for("the rollout", ended, MOVE_LIMIT_S)
        load.stopped.set()
        load.join()
        self.checks.that(
            f"{name}: the rollout to {to} is {status['state']}",
            status["state"] == "completed",
        )
        self.checks.that(
            f"{name}: no call of {load.answered} fails meanwhile",
            load.failed == 0,
        )
        time.sleep(BEAT_S)
        answers = [
            call(m.call, "/quotes/1", **{"x-request-id": "after"})
            for m in (vitrina, other)
        ]
        self.checks.that(
            f"{name}: all calls go to {to} then",
            all(answer["version"] == to for _, answer in answers),
        )

    def logged(self, name: str) -> None:
        """Reads the log lines as `bench/converge.py` does."""
        for machine in self.machines:
            text = machine.process.log.read_text()
            found = [int(row) for row in IN_FORCE.findall(text)]
            self.checks.that(
                f"{name}: {machine.name} logs version {self.version}",
                self.version in found,
            )

    def close(self) -> None:
        """Ends what is left."""
        self.ended.set()
        for machine in self.machines:
            machine.server.shutdown()
            if machine.process is not None and machine.process.running:
                machine.process.kill()
        self.store.kill()


def try_own(folder: pathlib.Path, old: pathlib.Path, checks: Checks) -> None:
    """Tries the product's own front end."""
    with Cluster(folder / "own", relays=1) as cluster:
        fleet = OwnFrontEnd(cluster, old, checks)
        fleet.write_with_old()
        fleet.read_with_new()
        fleet.share([fleet.vitrina, fleet.next], "own, one way", 2)
        fleet.share([fleet.caja, fleet.far], "own, other way", 2)


def try_platform(
    folder: pathlib.Path, old: pathlib.Path, checks: Checks
) -> None:
    """Tries the platform's front end."""
    place = folder / "platform"
    place.mkdir()
    fleet = PlatformFrontEnd(place, old, checks)
    try:
        vitrina, caja, second, other = fleet.machines
        fleet.configure()
        fleet.start(fleet.machines)
        fleet.calls("platform, old build")
        fleet.move("platform, old build", "v2")
        fleet.stop()
        fleet.start([])
        fleet.calls("platform, this build on the old one's records")
        fleet.stop()
        fleet.start([vitrina, second])
        fleet.calls("platform, both builds")
        fleet.configure()
        fleet.move("platform, both builds", "v1")
        fleet.logged("platform, both builds")
        fleet.stop()
        fleet.start([caja, other])
        fleet.calls("platform, the other way")
        fleet.move("platform, the other way", "v2")
        fleet.stop()
    finally:
        fleet.close()


def main() -> int:
    """Runs all checks."""
    old = pathlib.Path(sys.argv[1]).resolve()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="fulmarrudder-builds-"))
    print(f"logs of all processes: {folder}")
    checks = Checks()
    try_own(folder, old, checks)
    try_platform(folder, old, checks)
    print(f"{checks.failed} checks failed")
    return 1 if checks.failed else 0


if __name__ == "__main__":
    sys.exit(main())
