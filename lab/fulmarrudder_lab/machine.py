"""A machine of the platform on loopback: a node's settings and heartbeats."""

import contextlib
import http.client
import json
from collections.abc import Iterable

from fulmarrudder_lab.cluster import free_port, send_request

SETTINGS_VARIABLE = "FULMARRUDDER_BOOT"
HEARTBEAT_INTERVAL_S = 0.5
DATA_CENTRE = "lima-1"
CONFIG_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeout": "3000ms",
    "idleTimeout": "15s",
}
BOUNDS = {
    "drain": "2000ms",
    "grace": "6s",
    "retryBudgetRatio": 0.2,
    "budgetSlack": 58,
}


class Machine:
    """A node of the platform and its target, which sends heartbeats.

    Attributes:
        settings: Settings of the node.
        sequence: Number of the latest heartbeat.
    """

    def __init__(
        self,
        name: str,
        service: str,
        version: str,
        *,
        target_port: int,
        store_port: int,
    ):
        self.name = name
        self.service = service
        self.version = version
        self.target_address = f"127.0.0.1:{target_port}"
        self.call_port, self.host_port, self.ready_port, self.control_port = (
            free_port() for _ in range(4)
        )
        self.first_port = _two_free_ports()
        self.sequence = 0
        self.settings = {
            "nodeId": name,
            "zone": DATA_CENTRE,
            "ip": "127.0.0.1",
            "listen": {
                "inbound": f"127.0.0.1:{self.host_port}",
                "outbound": f"127.0.0.1:{self.call_port}",
                "readinessAddr": f"127.0.0.1:{self.ready_port}",
                "control": f"127.0.0.1:{self.control_port}",
            },
            "portRange": [self.first_port, self.first_port + 1],
            "appAddr": self.target_address,
            "service": service,
            "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{store_port}", "form": "log"},
        }

    def send_heartbeat(self) -> None:
        """Sends one heartbeat for the target."""
        self.sequence += 1
        document = {
            "address": self.target_address,
            "born": 1785000000000,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": DATA_CENTRE,
                "slots": 8,
            },
            "status": {
                "state": "ready",
                "sequence": self.sequence,
                "coldLeft": "0ms",
            },
        }
        path = f"/-/instances/i-{self.name}/heartbeat"
        with contextlib.suppress(OSError, http.client.HTTPException):
            send_request("POST", self.control_port, path, json.dumps(document))

    def is_ready(self) -> bool:
        """Returns whether the node's readiness probe succeeds."""
        return send_request("GET", self.ready_port, "/-/readiness")[0] == 200


def _two_free_ports() -> int:
    while True:
        first = free_port()
        if free_port() == first + 1:
            return first


def config_document(
    version: int,
    host: str,
    routes: Iterable[dict],
    *,
    max_connections: int,
) -> dict:
    """Returns a configuration of the services that its routes lead to.

    Args:
        version: Its version.
        host: Host of the routes.
        routes: Fields of the routes that differ from the usual ones; `name`,
            `pathPrefix` and `service` at least.
        max_connections: Connections that each target takes.
    """
    usual = {
        "routeType": "idempotent",
        "timeout": "2000ms",
        "targetLatency": "250ms",
        "priority": 0,
        "maxAttempts": 2,
    }
    paths = [{**usual, **route} for route in routes]
    names = dict.fromkeys(path["service"] for path in paths)
    return {
        "version": f"{version:08x}",
        "services": [
            {"name": name, "maxConnections": max_connections} for name in names
        ],
        "limits": CONFIG_LIMITS,
        "virtualHosts": [{"hostname": host, "paths": paths}],
    }


def append_record(store_port: int, key: str, value: bytes) -> None:
    """Writes an operator's record to the store stand-in."""
    content = bytes([len(key)]) + key.encode() + value
    data = len(content).to_bytes(4, "big") + content
    path = "/-/log-append?topic=keyed.op&part=0"
    send_request("POST", store_port, path, data)
