"""Heartbeats are decoded into announcements; invalid ones are refused."""

import json

import pytest

from fulmarrudder.model import Condition
from fulmarrudder.platform.heartbeats import INSTANCE_PATH, parse_heartbeat

HEARTBEAT = {
    "address": "10.128.0.9:8080",
    "born": 1785000000000,
    "info": {"service": "caja", "version": "v1", "zone": "z", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "coldLeft": "0ms"},
}


def test_heartbeat_becomes_an_announcement():
    announcement = parse_heartbeat("i-1", json.dumps(HEARTBEAT).encode()).ok
    assert (
        announcement.id,
        announcement.service,
        announcement.target_version,
    ) == (
        "i-1",
        "caja",
        "v1",
    )
    assert (announcement.incarnation, announcement.sequence) == (
        1785000000000,
        4,
    )
    assert announcement.condition is Condition.READY
    assert announcement.slots == 6


def test_draining_target_is_leaving():
    heartbeat = {
        **HEARTBEAT,
        "status": {**HEARTBEAT["status"], "state": "draining"},
    }
    announcement = parse_heartbeat("i-1", json.dumps(heartbeat).encode()).ok
    assert announcement.condition is Condition.LEAVING


@pytest.mark.parametrize(
    ("cold_left", "cold_until"),
    [("0ms", 0.0), ("1600ms", 101.6), ("2.5s", 102.5)],
)
def test_cold_target_tells_how_long_it_stays_cold(cold_left, cold_until):
    status = {**HEARTBEAT["status"], "coldLeft": cold_left}
    data = json.dumps({**HEARTBEAT, "status": status}).encode()
    announcement = parse_heartbeat("i-1", data, now=100.0).ok
    assert announcement.cold_until == cold_until


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe",
        b"[]",
        json.dumps({**HEARTBEAT, "address": 7}).encode(),
        json.dumps({**HEARTBEAT, "info": {}}).encode(),
        json.dumps({**HEARTBEAT, "born": "soon"}).encode(),
        json.dumps(
            {**HEARTBEAT, "status": {**HEARTBEAT["status"], "state": "asleep"}}
        ).encode(),
        json.dumps(
            {**HEARTBEAT, "status": {**HEARTBEAT["status"], "sequence": "4"}}
        ).encode(),
    ],
)
def test_invalid_heartbeat_is_refused(data):
    assert parse_heartbeat("i-1", data).is_error()


def test_path_contains_the_target_id():
    match = INSTANCE_PATH.match(b"/-/instances/i-7f3a/deregister")
    assert match.groups() == (b"i-7f3a", b"deregister")
    assert INSTANCE_PATH.match(b"/-/instances/a/b/heartbeat") is None
