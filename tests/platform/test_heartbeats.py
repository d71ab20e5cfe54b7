"""What targets say of themselves, and what others forge in their name."""

import json

import pytest

from fulmarrudder.model import Condition
from fulmarrudder.platform.heartbeats import INSTANCE_PATH, parse_heartbeat

BEAT = {
    "address": "10.128.0.9:8080",
    "born": 1785000000000,
    "info": {"service": "caja", "version": "v1", "zone": "z", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "coldLeft": "0ms"},
}


def test_heartbeat_is_an_announcement():
    found = parse_heartbeat("i-1", json.dumps(BEAT).encode()).ok
    assert (found.id, found.service, found.target_version) == (
        "i-1",
        "caja",
        "v1",
    )
    assert (found.incarnation, found.sequence) == (1785000000000, 4)
    assert found.condition is Condition.READY
    assert found.slots == 6


def test_draining_target_is_leaving():
    beat = {**BEAT, "status": {**BEAT["status"], "state": "draining"}}
    found = parse_heartbeat("i-1", json.dumps(beat).encode()).ok
    assert found.condition is Condition.LEAVING


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe",
        b"[]",
        json.dumps({**BEAT, "address": 7}).encode(),
        json.dumps({**BEAT, "info": {}}).encode(),
        json.dumps({**BEAT, "born": "soon"}).encode(),
        json.dumps(
            {**BEAT, "status": {**BEAT["status"], "state": "asleep"}}
        ).encode(),
        json.dumps(
            {**BEAT, "status": {**BEAT["status"], "sequence": "4"}}
        ).encode(),
    ],
)
def test_forged_or_unreadable_heartbeat_is_refused(data):
    assert parse_heartbeat("i-1", data).is_error()


def test_path_names_the_target():
    found = INSTANCE_PATH.match(b"/-/instances/i-7f3a/deregister")
    assert found.groups() == (b"i-7f3a", b"deregister")
    assert INSTANCE_PATH.match(b"/-/instances/a/b/heartbeat") is None
