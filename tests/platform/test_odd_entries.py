"""An entry of another writer is refused, and the others hold.

Nested deeply, with numbers that are too large, or with a port out of range, as other
operators have met them.
"""

import base64
import json

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.distribution import Peer
from fulmarrudder.platform.config import parse_config
from fulmarrudder.platform.directory import Directory
from fulmarrudder.platform.errors import StoreRejectedError
from fulmarrudder.platform.heartbeats import parse_heartbeat
from fulmarrudder.platform.rollout import parse_move_request, parse_status
from fulmarrudder.platform.settings import parse_machine_settings
from fulmarrudder.platform.store import KeyedRecord, RecordBatch
from tests.call.fakes import result_of
from tests.platform.test_config import CONFIG
from tests.platform.test_heartbeats import HEARTBEAT
from tests.platform.test_store import Harness as StoreHarness

DEEP = "[" * 200_000 + "]" * 200_000
DIGITS = "9" * 400
MANY_DIGITS = "9" * 20_000
ADDRESSES = (
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:123456",
    "10.0.0.1:-1",
    "10.0.0.1",
    "10.0.0:80",
    "999.0.0.1:80",
    "...:80",
    "10.0.0.1.5:80",
    "host:80",
)
ENTRY = {"mesh": "10.0.0.2:80", "data_centre": "lima-1"}


class FakeStore:
    """A store that holds the entries of a list."""

    def __init__(self, values):
        self.values = values

    async def append(self, topic, record, **_):
        pass

    async def read_latest(self, topic):
        records = tuple(
            KeyedRecord(key=f"n{index}", value=value, offset=index)
            for index, value in enumerate(self.values)
        )
        return RecordBatch(records=records, next_offset=len(records))


def peers_of(*values):
    own = Peer(node="me", data_centre="lima-1", mesh_address="10.0.0.9:80")
    store = FakeStore((json.dumps(ENTRY).encode(), *values))
    peers = result_of(ensureDeferred(Directory(store, own).fetch_peers()))
    return [peer.node for peer in peers]


def with_field(document, **fields):
    return json.dumps({**document, **fields})


def replaced(document, field, text):
    """Returns JSON in which a field's value is replaced by text as it is."""
    return with_field(document, **{field: "?"}).replace('"?"', text)


@pytest.mark.parametrize("address", ADDRESSES)
def test_entry_with_an_address_that_is_none_names_no_node(address):
    odd = with_field(ENTRY, mesh=address).encode()
    assert peers_of(odd) == ["n0"]


@pytest.mark.parametrize(
    "odd",
    [
        DEEP,
        replaced(ENTRY, "mesh", DEEP),
        replaced(ENTRY, "mesh", DIGITS),
        replaced(ENTRY, "mesh", MANY_DIGITS),
        "{}",
        "[]",
        "null",
        "\x00",
        "{",
    ],
)
def test_odd_entry_names_no_node(odd):
    assert peers_of(odd.encode()) == ["n0"]


@pytest.mark.parametrize("text", [DEEP, DIGITS, MANY_DIGITS, '"x"'])
def test_fields_of_later_versions_do_not_hide_a_node(text):
    known = replaced(ENTRY, "more", text).encode()
    assert peers_of(known) in (["n0"], ["n0", "n1"])


@pytest.mark.parametrize("address", ADDRESSES)
def test_announcement_with_an_address_that_is_none_is_refused(address):
    odd = with_field(HEARTBEAT, address=address).encode()
    assert parse_heartbeat("i-1", odd).is_error()


@pytest.mark.parametrize("text", [DEEP, DIGITS, MANY_DIGITS, "-1", "1e99"])
@pytest.mark.parametrize("field", ["born", "sequence"])
def test_announcement_with_an_odd_number_is_refused(field, text):
    if field == "born":
        odd = replaced(HEARTBEAT, "born", text)
    else:
        status = {**HEARTBEAT["status"], "sequence": "?"}
        odd = with_field(HEARTBEAT, status=status).replace('"?"', text)
    assert parse_heartbeat("i-1", odd.encode()).is_error()


# Its sequence would be above that of each later announcement.
def test_announcement_above_the_final_sequence_is_refused():
    status = {**HEARTBEAT["status"], "sequence": 1 << 61}
    odd = with_field(HEARTBEAT, status=status)
    assert parse_heartbeat("i-1", odd.encode()).is_error()


@pytest.mark.parametrize("duration", [DIGITS + "s", MANY_DIGITS + "ms"])
def test_duration_that_is_too_long_is_refused(duration):
    rollout = {"service": "caja", "targetVersion": "2", "duration": duration}
    data = json.dumps(rollout).encode()
    assert parse_move_request(data, offset=1, now=0.0).is_error()
    limits = {**CONFIG["limits"], "idleTimeout": duration}
    config = with_field(CONFIG, limits=limits).encode()
    assert parse_config(config).is_error()


@pytest.mark.parametrize("odd", [DEEP, "[]", DIGITS, "\x00"])
def test_odd_record_of_the_operator_is_refused(odd):
    assert parse_config(odd.encode()).is_error()
    assert parse_move_request(odd.encode(), offset=1, now=0.0).is_error()
    assert parse_status("caja", odd.encode()).is_error()


def test_settings_that_are_nested_deeply_are_refused():
    assert parse_machine_settings(DEEP).is_error()


@pytest.mark.parametrize(
    "page",
    [
        DEEP,
        '{"items": [], "hasMore": false, "endOffset": ' + MANY_DIGITS + "}",
        '{"hasMore": false, "endOffset": 1, "items": ' + DEEP + "}",
        '{"items": [[]], "hasMore": false, "endOffset": 1}',
        '{"items": [{"key": 1, "value": "", "offset": 0}],'
        ' "hasMore": false, "endOffset": 1}',
        '{"items": [{"key": "a", "value": "", "offset": "0"}],'
        ' "hasMore": false, "endOffset": 1}',
        '{"items": [], "hasMore": false, "endOffset": "1"}',
    ],
)
def test_odd_page_of_the_store_is_an_error_of_the_store(page):
    harness = StoreHarness()
    harness.clock = Clock()
    reading = harness.call(harness.store.read_latest("t"))
    harness.answer(page.encode())
    with pytest.raises(StoreRejectedError):
        result_of(reading)


def test_value_of_a_page_is_read():
    harness = StoreHarness()
    reading = harness.call(harness.store.read_latest("t"))
    value = base64.b64encode(b"1").decode()
    item = {"key": "a", "value": value, "offset": 3}
    page = {"items": [item], "hasMore": False, "endOffset": 5}
    harness.answer(json.dumps(page).encode())
    assert result_of(reading).records[0].value == b"1"
