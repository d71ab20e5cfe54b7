"""The operator's configuration is taken whole or not at all."""

import copy
import json

import pytest

from fulmarrudder.model import Limits, WeightedService
from fulmarrudder.platform.config import parse_config

CONFIG = {
    "version": "0000000c",
    "services": [
        {"name": "caja", "maxConnections": 110, "protocol": "h1"},
        {"name": "vitrina", "maxConnections": 110},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15s",
    },
    "virtualHosts": [
        {
            "hostname": "A.example",
            "paths": [
                {
                    "name": "r1",
                    "pathPrefix": "/pay/",
                    "routeType": "non_idempotent",
                    "timeout": "1000ms",
                    "targetLatency": "250ms",
                    "priority": 1,
                    "trafficSplit": [
                        {"service": "caja", "weight": 90},
                        {"service": "vitrina", "weight": 10},
                    ],
                    "maxAttempts": 2,
                }
            ],
        }
    ],
}


def changed(path, value):
    config = copy.deepcopy(CONFIG)
    place = config
    for step in path[:-1]:
        place = place[step]
    if value is None:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return json.dumps(config).encode()


def test_every_field_is_decoded_into_what_it_holds():
    version, arrangement = parse_config(json.dumps(CONFIG).encode()).ok
    route = arrangement.routes[0]
    assert version == 12
    assert (route.host, route.prefix) == ("a.example", "/pay/")
    assert not route.idempotent
    assert not route.by_method
    assert (route.timeout_ms, route.latency_objective_ms) == (1000, 250)
    assert (route.rank, route.attempts) == (1, 2)
    assert route.split == (
        WeightedService(service="caja", weight=90),
        WeightedService(service="vitrina", weight=10),
    )
    assert arrangement.limits == Limits(
        header_bytes=16384, body_bytes=67108864, header_ms=3000, idle_ms=15000
    )


ROUTE = ("virtualHosts", 0, "paths", 0)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), "12"),
        (("services",), None),
        (("limits",), None),
        ((*ROUTE, "timeout"), None),
        ((*ROUTE, "timeout"), 1000),
        ((*ROUTE, "maxAttempts"), None),
        ((*ROUTE, "pathPrefix"), "/pay"),
        ((*ROUTE, "routeType"), "often"),
        ((*ROUTE, "service"), "caja"),
        ((*ROUTE, "trafficSplit"), None),
        ((*ROUTE, "trafficSplit", 0, "weight"), None),
        ((*ROUTE, "trafficSplit", 0, "service"), "nobody"),
    ],
)
def test_version_with_one_fault_is_refused_whole(path, value):
    assert parse_config(changed(path, value)).is_error()


def test_two_routes_in_one_place_are_refused():
    route = CONFIG["virtualHosts"][0]["paths"][0]
    again = changed(("virtualHosts", 0, "paths"), [route, route])
    assert parse_config(again).is_error()


def test_bytes_cut_short_are_refused():
    assert parse_config(json.dumps(CONFIG).encode()[:-9]).is_error()
