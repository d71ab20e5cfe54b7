"""Nodes of the platform on loopback, with a store and targets as stand-ins."""

import contextlib
import http.server
import json
import os
import pathlib
import threading
import time

from fulmarrudder_lab.cluster import Process, free_port, send_request, wait_for
from fulmarrudder_lab.machine import (
    HEARTBEAT_INTERVAL_S,
    SETTINGS_VARIABLE,
    Machine,
    append_record,
    config_document,
)

HOST = "esfera.example"
LARGE_ANSWER_BYTES = 262_144


class TargetHandler(http.server.BaseHTTPRequestHandler):
    """Answers as a platform target, with request id and response seal."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802
        """Answers after the target's work; at /large with a large body."""
        time.sleep(self.server.work_s)
        size = LARGE_ANSWER_BYTES if "/large" in self.path else 2
        self._answer(b"a" * size)

    def do_POST(self) -> None:  # noqa: N802
        """Reads the body in chunks, then answers."""
        while size := int(self.rfile.readline().split(b";")[0], 16):
            self.rfile.read(size + 2)
        while self.rfile.readline().strip():
            pass
        self._answer(b"ok")

    def _answer(self, data: bytes) -> None:
        self.send_response(200)
        self.send_header("x-request-id", self.headers["x-request-id"])
        self.send_header("x-response-seal", "seal")
        for line in range(self.server.odd_lines):
            self.send_header(f"{line:x}", "")
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def parse_request(self) -> bool:
        """Reads a head, of any number of lines."""
        http.client._MAXHEADERS = 100_000
        return super().parse_request()

    def handle(self) -> None:
        """Serves a connection until its other side is gone."""
        with contextlib.suppress(OSError):
            super().handle()

    def log_message(self, *_) -> None:
        """Does nothing: requests are not logged."""


class Target(http.server.ThreadingHTTPServer):
    """A target on a free port.

    Attributes:
        work_s: Seconds that it works on a request.
        odd_lines: Header lines of each answer that mean nothing.
    """

    daemon_threads = True
    request_queue_size = 512

    def __init__(self):
        super().__init__(("127.0.0.1", 0), TargetHandler)
        self.work_s = 0.0
        self.odd_lines = 0
        threading.Thread(target=self.serve_forever, daemon=True).start()


class CrowdedMachine(Machine):
    """A machine whose node is to meet a crowd.

    Attributes:
        target: Its target.
        process: Its node.
    """

    def __init__(
        self, service: str, store_port: int, folder: pathlib.Path, limits: dict
    ):
        self.target = Target()
        super().__init__(
            f"{service}-1",
            service,
            "v1",
            target_port=self.target.server_port,
            store_port=store_port,
        )
        path = folder / f"{service}.json"
        path.write_text(json.dumps({**self.settings, "limits": limits}))
        os.environ[SETTINGS_VARIABLE] = str(path)
        self.process = Process(
            ["fulmarrudder.platform"], folder / f"{service}.txt"
        )

    def get(self, path: str) -> int:
        """Sends an ordinary request; returns the status of its answer."""
        fields = {"host": HOST, "x-request-id": "ordinary"}
        return send_request("GET", self.call_port, path, headers=fields)[0]

    def peak_bytes(self) -> int:
        """Returns the largest resident set size of the node so far."""
        status = pathlib.Path(f"/proc/{self.process.popen.pid}/status")
        for line in status.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    def descriptors(self) -> int:
        """Returns the number of descriptors that the node has open."""
        return len(os.listdir(f"/proc/{self.process.popen.pid}/fd"))


class Fleet:
    """Two machines, `vitrina` at / and `caja` at /quotes/, and a store."""

    def __init__(self, folder: pathlib.Path, limits: dict):
        store_port = free_port()
        self.store = Process(
            ["fulmarrudder_lab.storeserver", "--port", str(store_port)],
            folder / "store.txt",
        )
        probe = "/-/log-newest?topic=keyed.op&part=0"
        wait_for("the store", lambda: send_request("GET", store_port, probe))
        append_record(store_port, "config", json.dumps(_config()).encode())
        self.machines = tuple(
            CrowdedMachine(service, store_port, folder, limits)
            for service in ("vitrina", "caja")
        )
        self.closed = threading.Event()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()
        vitrina, caja = self.machines
        for machine, path in ((vitrina, "/quotes/1"), (caja, "/1")):
            wait_for("calls", lambda m=machine, p=path: m.get(p) == 200)

    def _send_heartbeats(self) -> None:
        while not self.closed.wait(HEARTBEAT_INTERVAL_S):
            for machine in self.machines:
                if machine.process.running:
                    machine.send_heartbeat()

    def close(self) -> None:
        """Ends all processes of the fleet."""
        self.closed.set()
        for machine in self.machines:
            machine.process.kill()
            machine.target.shutdown()
            machine.target.server_close()
        self.store.kill()


def _config() -> dict:
    routes = [
        {
            "name": f"r-{service}-{number}",
            "pathPrefix": prefix,
            "service": service,
            "routeType": kind,
            "timeout": "20s",
        }
        for number, (service, prefix, kind) in enumerate(
            (
                ("vitrina", "/", "idempotent"),
                ("caja", "/quotes/", "idempotent"),
                ("caja", "/uploads/", "upload"),
            )
        )
    ]
    return config_document(12, HOST, routes, max_connections=550)
