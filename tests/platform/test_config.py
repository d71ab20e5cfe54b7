"""A configuration is decoded completely or refused."""

import copy
import json

import pytest

from fulmarrudder.distribution.entries import Entries, entries_of
from fulmarrudder.model import Limits, WeightedService
from fulmarrudder.platform.config import Config, build_config, parse_config
from fulmarrudder.platform.document import (
    join_config,
    read_version,
    split_config,
)
from fulmarrudder.platform.entry import parse_entries

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


def changed_config(path, value):
    config = copy.deepcopy(CONFIG)
    parent = config
    for step in path[:-1]:
        parent = parent[step]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return json.dumps(config).encode()


def test_every_field_is_decoded():
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


ROUTE_PATH = ("virtualHosts", 0, "paths", 0)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), "12"),
        (("services",), None),
        (("limits",), None),
        ((*ROUTE_PATH, "timeout"), None),
        ((*ROUTE_PATH, "timeout"), 1000),
        ((*ROUTE_PATH, "maxAttempts"), None),
        ((*ROUTE_PATH, "pathPrefix"), "/pay"),
        ((*ROUTE_PATH, "routeType"), "often"),
        ((*ROUTE_PATH, "service"), "caja"),
        ((*ROUTE_PATH, "trafficSplit"), None),
        ((*ROUTE_PATH, "trafficSplit", 0, "weight"), None),
        ((*ROUTE_PATH, "trafficSplit", 0, "service"), "nobody"),
    ],
)
def test_config_with_one_invalid_field_is_refused(path, value):
    assert parse_config(changed_config(path, value)).is_error()


def test_two_routes_with_the_same_match_are_refused():
    route = CONFIG["virtualHosts"][0]["paths"][0]
    duplicated = changed_config(("virtualHosts", 0, "paths"), [route, route])
    assert parse_config(duplicated).is_error()


def test_truncated_document_is_refused():
    assert parse_config(json.dumps(CONFIG).encode()[:-9]).is_error()


def test_every_fault_is_named_with_its_place():
    config = copy.deepcopy(CONFIG)
    route = config["virtualHosts"][0]["paths"][0]
    del route["maxAttempts"]
    route["timeout"] = "0ms"
    config["limits"]["idleTimeout"] = "soon"
    text = str(parse_config(json.dumps(config).encode()).error)
    for fault in ("maxAttempts: missing", "timeout: ", "idleTimeout: "):
        assert fault in text
    del config["services"]
    config["version"] = "12"
    text = str(parse_config(json.dumps(config).encode()).error)
    assert ".version: not eight hexadecimal digits" in text
    assert ".services: missing" in text


def test_document_put_together_again_has_the_same_entries():
    split = split_config(json.dumps(CONFIG).encode()).ok
    entries = entries_of(split.texts, Entries())
    joined = join_config(split.version, entries).encode()
    assert read_version(joined).ok == 12
    assert entries_of(split_config(joined).ok.texts, Entries()) == entries
    assert parse_config(joined) == parse_config(json.dumps(CONFIG).encode())


@pytest.mark.parametrize(
    "text",
    ["", "5", "[]", "{}", '{"type":[]}', '{"type":"host"}', "[" * 5_000],
)
def test_text_that_is_no_entry_is_refused(text):
    assert parse_entries([text]).is_error()


WORKSPACES = [
    {"name": "acme", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 2.5},
    {"name": "beta", "apiKeys": ["k3"], "burstSize": 7},
]


def with_workspaces(*workspaces):
    return json.dumps(CONFIG | {"tenants": list(workspaces)}).encode()


def test_workspaces_are_read_and_put_together_again():
    data = with_workspaces(*WORKSPACES)
    acme, beta = parse_config(data).ok[1].workspaces
    assert (acme.keys, acme.rank, acme.requests_per_s) == (("k1", "k2"), 1, 2.5)
    assert (beta.keys, beta.rank, beta.burst) == (("k3",), None, 7.0)
    entries = entries_of(split_config(data).ok.texts, Entries())
    assert json.loads(join_config(12, entries))["tenants"] == WORKSPACES


@pytest.mark.parametrize(("workspaces", "expected"), [(None, None), ([], ())])
def test_a_list_without_workspaces_is_not_the_same_as_no_list(
    workspaces, expected
):
    config = CONFIG if workspaces is None else CONFIG | {"tenants": workspaces}
    data = json.dumps(config).encode()
    assert parse_config(data).ok[1].workspaces == expected
    entries = entries_of(split_config(data).ok.texts, Entries())
    assert json.loads(join_config(12, entries)).get("tenants") == workspaces


@pytest.mark.parametrize(
    "workspaces",
    [
        [WORKSPACES[0], WORKSPACES[0]],
        [WORKSPACES[0], {"name": "other", "apiKeys": ["k2"]}],
        [WORKSPACES[0], {"name": "acme", "apiKeys": ["k9"]}],
        [{"name": "acme", "apiKeys": ["a b"]}],
        [{"name": "acme"}],
        [{"name": "acme", "apiKeys": ["k1"], "ratePerS": -1}],
    ],
)
def test_configurations_with_unfit_workspaces_are_refused_whole(workspaces):
    refused = parse_config(with_workspaces(*workspaces))
    assert refused.is_error()
    assert "k2" not in str(refused.error)


def test_a_version_that_moves_a_key_changes_two_workspaces():
    first = _built(Config(), with_workspaces(*WORKSPACES))
    moved = [
        WORKSPACES[0] | {"apiKeys": ["k1"]},
        WORKSPACES[1] | {"apiKeys": ["k2", "k3"]},
    ]
    second = _built(first, with_workspaces(*moved))
    names = {k: t.name for k, t in second.keys.by_key.items()}
    assert names == {b"k1": "acme", b"k2": "beta", b"k3": "beta"}
    same = _built(second, with_workspaces(*moved))
    assert same.arrangement.workspaces is second.arrangement.workspaces
    assert _built(same, json.dumps(CONFIG).encode()).keys is None


def _built(base, data):
    split = split_config(data).ok
    entries = entries_of(split.texts, Entries())
    new = [t for t in split.texts if t not in base.entries.ids]
    parts = parse_entries(new).ok
    ids = [entries.ids[text] for text in new]
    new_parts = dict(zip(ids, parts, strict=True))
    return build_config(base, split.version, entries, new_parts).ok
