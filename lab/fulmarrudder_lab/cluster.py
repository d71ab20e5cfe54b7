"""Starts and stops processes on loopback: stand-ins, nodes and targets."""

import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from fulmarrudder_lab.firms import MESH_TOKEN, OPERATOR_TOKEN, Firm

OPERATOR = "lab"
WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
FIRST_PORT = 11_000
PORT_COUNT = 20_000
_PORTS = itertools.count(os.getpid() * 97)


def free_port() -> int:
    """Returns a loopback port that nothing listens on.

    The port lies below the ephemeral range: an outgoing connection could
    otherwise occupy it before its process listens.
    """
    while True:
        port = FIRST_PORT + next(_PORTS) % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def send_request(
    method: str,
    port: int,
    path: str,
    body=None,
    headers: dict | None = None,
    timeout_s: float = 30.0,
):
    """Sends one HTTP request to loopback.

    Returns:
        Status, header fields and body.
    """
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_for(description: str, check, timeout_s: float = WAIT_TIMEOUT_S):
    """Polls a check until it returns a true value.

    Args:
        description: Name of the awaited event, for the error.
        check: Called repeatedly; a network or value error counts as false.
        timeout_s: Seconds; generous, as it only guards against hanging.

    Returns:
        The value that the check returned.

    Raises:
        TimeoutError: The check returned no true value in time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            result = check()
        except (OSError, http.client.HTTPException, ValueError):
            result = None
        if result:
            return result
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(
        f"timed out after {timeout_s} s waiting for {description}"
    )


class Process:
    """A Python module that runs as a child process.

    Attributes:
        log_path: File that its standard output and error are written to.
    """

    def __init__(self, arguments: list[str], log_path: pathlib.Path):
        self.log_path = log_path
        self.arguments = arguments
        self.log_file = log_path.open("ab")
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=self.log_file,
            stderr=self.log_file,
            stdin=subprocess.DEVNULL,
        )

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.popen.poll() is None

    def send_signal(self, signal_number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.running:
            os.kill(self.popen.pid, signal_number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send_signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout_s: float = 30.0) -> int:
        """Stops the process gracefully, resuming it first if it is paused.

        Returns:
            Its exit status.

        Raises:
            subprocess.TimeoutExpired: It did not stop in time and was killed.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def resident_bytes(self) -> int:
        """Returns the resident set size, or 0 if none is reported."""
        status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    def cpu_seconds(self) -> float:
        """Returns the user and system CPU time used so far."""
        text = pathlib.Path(f"/proc/{self.popen.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(slots=True, kw_only=True)
class Instance:
    """An instance: a node and its local target."""

    node: str
    data_centre: str
    service: str
    target_version: str
    call_port: int
    mesh_port: int
    admin_port: int
    target_port: int
    slots: int
    connections: int
    node_process: Process | None = None
    target_process: Process | None = None


class Cluster:
    """A firm's instances and the log stand-in, as processes.

    Attributes:
        settings: Settings that all nodes are started with, by JSON name.
        instances: All instances by node id.
        log_port: Port of the log stand-in.
    """

    def __init__(self, folder: pathlib.Path | None = None, **settings):
        self.folder = folder or pathlib.Path(tempfile.mkdtemp())
        self.folder.mkdir(parents=True, exist_ok=True)
        self.settings = settings
        self.instances: dict[str, Instance] = {}
        self.log_port = free_port()
        self.log_process: Process | None = None

    def __enter__(self):
        self.start_log()
        return self

    def __exit__(self, *_):
        self.kill_all()

    def start_log(self) -> None:
        """Starts the log stand-in."""
        self.log_process = Process(
            ["fulmarrudder_lab.logserver", "--port", str(self.log_port)],
            self.folder / "log.txt",
        )
        wait_for("the log", lambda: self.log_status() is not None)

    def log_status(self) -> dict:
        """Returns the log stand-in's offsets and counters."""
        return json.loads(send_request("GET", self.log_port, "/status")[2])

    def set_log_faults(self, **faults) -> None:
        """Replaces the log stand-in's faults."""
        send_request("POST", self.log_port, "/faults", json.dumps(faults))

    def add_instance(
        self, data_centre: str, service, version: str, index: int
    ) -> Instance:
        """Adds an instance without starting it.

        Args:
            data_centre: Its data centre.
            service: The `ServiceSpec` of its target.
            version: Version of its target.
            index: Number that makes the node id unique.
        """
        name = f"{data_centre}-{service.name}-{version}-{index}"
        instance = Instance(
            node=name,
            data_centre=data_centre,
            service=service.name,
            target_version=version,
            call_port=free_port(),
            mesh_port=free_port(),
            admin_port=free_port(),
            target_port=free_port(),
            slots=service.slots,
            connections=service.connections,
        )
        self.instances[name] = instance
        return instance

    def add_firm(
        self,
        firm: Firm,
        versions: tuple[str, ...],
        *,
        targets: int | None = None,
        data_centres: int | None = None,
    ) -> list[Instance]:
        """Adds a firm's instances, distributed over its data centres.

        Args:
            firm: The firm.
            versions: Target versions; each gets all instances.
            targets: Instances of each service and version; the service's own
                number by default.
            data_centres: Number of data centres to use; all by default.

        Returns:
            The added instances.
        """
        data_centres = firm.data_centres[:data_centres]
        added = []
        for version in versions:
            for service in firm.services:
                for index in range(targets or service.targets):
                    data_centre = data_centres[index % len(data_centres)]
                    added.append(
                        self.add_instance(data_centre, service, version, index)
                    )
        return added

    def start_node(self, instance: Instance, **settings) -> None:
        """Starts an instance's node."""
        document = {
            "node": instance.node,
            "data_centre": instance.data_centre,
            "addresses": {
                "call": f"127.0.0.1:{instance.call_port}",
                "mesh": f"127.0.0.1:{instance.mesh_port}",
                "admin": f"127.0.0.1:{instance.admin_port}",
            },
            "log_url": f"http://127.0.0.1:{self.log_port}",
            "tokens": {
                "mesh": MESH_TOKEN,
                "operators": {OPERATOR: OPERATOR_TOKEN},
            },
            **self.settings,
            **settings,
        }
        path = self.folder / f"{instance.node}.json"
        path.write_text(json.dumps(document))
        instance.node_process = Process(
            ["fulmarrudder.node.daemon", "--settings", str(path)],
            self.folder / f"{instance.node}.txt",
        )

    def start_target(self, instance: Instance) -> None:
        """Starts an instance's target."""
        instance.target_process = Process(
            [
                "fulmarrudder_lab.target",
                f"--port={instance.target_port}",
                f"--node-admin={instance.admin_port}",
                f"--service={instance.service}",
                f"--target-version={instance.target_version}",
                f"--slots={instance.slots}",
                f"--connections={instance.connections}",
            ],
            self.folder / f"{instance.node}-target.txt",
        )

    def start_all(self) -> None:
        """Starts every instance."""
        for instance in self.instances.values():
            self.start_node(instance)
            self.start_target(instance)

    def send_command(
        self, instance: Instance, text: str, document: dict | None = None
    ):
        """Sends an operator's command to a node.

        Returns:
            The decoded answer.
        """
        body = {"command": text}
        if document is not None:
            body["document"] = document
        _, _, data = send_request(
            "POST",
            instance.admin_port,
            "/v1/command",
            json.dumps(body),
            {"authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        return json.loads(data)

    def read_metric(self, instance: Instance, name: str) -> float:
        """Returns a metric's value, summed over its labels."""
        text = send_request("GET", instance.admin_port, "/metrics")[2].decode()
        values = [
            float(line.rpartition(" ")[2])
            for line in text.splitlines()
            if line.startswith(name)
        ]
        return sum(values)

    def running_instances(self) -> list[Instance]:
        """Returns the instances whose node is running."""
        return [
            instance
            for instance in self.instances.values()
            if instance.node_process is not None
            and instance.node_process.running
        ]

    def wait_for_version(
        self, version: int, timeout_s: float = WAIT_TIMEOUT_S
    ) -> None:
        """Waits until every running node has a version or a newer one."""
        for instance in self.running_instances():
            wait_for(
                f"{instance.node} at version {version}",
                lambda instance=instance: (
                    self.read_metric(instance, "fulmarrudder_config_version")
                    >= version
                ),
                timeout_s,
            )

    def publish_initial_version(self, document: dict) -> Instance:
        """Publishes version 1; waits until nodes have it and all endpoints.

        Args:
            document: The arrangement.

        Returns:
            The first instance.
        """
        first = next(iter(self.instances.values()))
        wait_for(
            "the first version",
            lambda: (
                self.send_command(first, "publish expecting 0", document)["k"]
                == "done"
            ),
        )
        self.wait_for_version(1)
        for instance in self.running_instances():
            wait_for(
                "endpoints",
                lambda instance=instance: (
                    self.read_metric(instance, "fulmarrudder_endpoints")
                    == len(self.instances)
                ),
            )
        return first

    def stop_all(self) -> list[int]:
        """Stops every node gracefully, then kills targets and log.

        Returns:
            The nodes' exit statuses.
        """
        running = [
            instance.node_process for instance in self.running_instances()
        ]
        for process in running:
            process.send_signal(signal.SIGTERM)
        statuses = [process.stop() for process in running]
        self.kill_all()
        return statuses

    def kill_all(self) -> None:
        """Kills all processes that are still running."""
        processes = [self.log_process]
        for instance in self.instances.values():
            processes += [instance.node_process, instance.target_process]
        for process in processes:
            if process is not None and process.running:
                process.kill()
