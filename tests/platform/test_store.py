"""Every call of the store client ends with a result or an error."""

import base64
import json

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.call import CallError, Framing, Headers
from fulmarrudder.call.message import BodyEnd, BodyPart, ResponseHead
from fulmarrudder.platform.errors import (
    ExpiredError,
    StoreRejectedError,
    StoreUnavailableError,
)
from fulmarrudder.platform.store import (
    BODY_TIMEOUT_S,
    CALL_TIMEOUT_S,
    LENGTH_PREFIX,
    READ_HEADER,
    READ_TIMEOUT_SLACK_S,
    KeyedRecord,
    StoreClient,
)
from tests.call.fakes import result_of
from tests.call.test_host import FakeConnection, FakePool


class Harness:
    """A store client whose responses are sent by the test."""

    def __init__(self):
        self.clock = Clock()
        self.pool = FakePool(self.clock)
        self.store = StoreClient(self.clock, self.pool, "10.0.0.1:80")

    def call(self, coroutine):
        return ensureDeferred(coroutine)

    def answer(self, body, status=200):
        exchange = self.pool.made[-1].exchange
        exchange.receive(
            ResponseHead(
                status=status,
                reason=b"",
                headers=Headers(),
                framing=Framing.LENGTH,
                length=len(body),
            )
        )
        exchange.receive(BodyPart(body))
        exchange.receive(BodyEnd())


@pytest.fixture
def harness():
    return Harness()


def record(key, value):
    data = bytes([len(key)]) + key + value
    return LENGTH_PREFIX.pack(len(data)) + data


def test_read_decodes_records_and_the_next_offset(harness):
    reading = harness.call(harness.store.read("t", 7, 1.0))
    body = READ_HEADER.pack(9, 0) + record(b"config", b"{}") + record(b"x", b"")
    harness.answer(body)
    batch = result_of(reading)
    assert batch.next_offset == 9
    assert batch.records == (
        KeyedRecord(key="config", value=b"{}", offset=7),
        KeyedRecord(key="x", value=None, offset=8),
    )


def test_read_latest_reads_all_pages(harness):
    reading = harness.call(harness.store.read_latest("t"))
    item = {"key": "a", "value": base64.b64encode(b"1").decode(), "offset": 3}
    page = {"items": [item], "hasMore": True, "endOffset": 5}
    harness.answer(json.dumps(page).encode())
    last = {"items": [{**item, "key": "b"}], "hasMore": False, "endOffset": 6}
    harness.answer(json.dumps(last).encode())
    batch = result_of(reading)
    assert [r.key for r in batch.records] == ["a", "b"]
    assert batch.next_offset == 5


# Guards against pages without end, which fill the memory of a node.
@pytest.mark.parametrize("keys", [["a", "a"], ["a", "b", "a"], ["a", None]])
def test_pages_that_make_no_progress_are_rejected(harness, keys):
    reading = harness.call(harness.store.read_latest("t"))
    for key in keys:
        item = {"key": key, "value": "", "offset": 3}
        items = [item] if key else []
        page = {"items": items, "hasMore": True, "endOffset": 5}
        harness.answer(json.dumps(page).encode())
    with pytest.raises(StoreRejectedError, match="progress"):
        result_of(reading)


# Guards against a body without end, in blocks or in drops.
@pytest.mark.parametrize("size", [1, 1 << 20])
def test_body_without_end_is_cut_off(harness, size):
    reading = harness.call(harness.store.read("t", 0, 1.0))
    exchange = harness.pool.made[-1].exchange
    exchange.receive(
        ResponseHead(
            status=200, reason=b"", headers=Headers(), framing=Framing.CLOSE
        )
    )
    exchange.deliver_head()
    for _ in range(30):
        exchange.receive(BodyPart(b"a" * size))
        harness.clock.advance(0.1)
    assert harness.pool.made[-1].transport.aborted
    with pytest.raises(StoreUnavailableError):
        result_of(reading)


class StrictClock(Clock):
    """A clock that rejects negative delays, as a reactor does."""

    def callLater(self, when, *args, **kwargs):  # noqa: N802
        assert when >= 0
        return super().callLater(when, *args, **kwargs)


# Guards against a reader that ends for good, because its process was frozen
# while a connection opened, until after the deadline of the call.
def test_deadline_that_passes_while_connecting_means_unavailable(harness):
    clock = harness.clock = harness.pool.clock = StrictClock()
    harness.store.clock = clock
    acquire = harness.pool.acquire

    async def acquire_late(address):
        clock.advance(CALL_TIMEOUT_S + 1.0)
        return await acquire(address)

    harness.pool.acquire = acquire_late
    appending = harness.call(
        harness.store.append("t", KeyedRecord(key="k", value=b"v"))
    )
    clock.advance(0.1)
    with pytest.raises(StoreUnavailableError):
        result_of(appending)


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (503, StoreUnavailableError),
        (429, StoreUnavailableError),
        (410, ExpiredError),
        (409, StoreRejectedError),
        (403, StoreRejectedError),
    ],
)
def test_error_statuses_are_mapped_to_errors(harness, status, error):
    reading = harness.call(harness.store.read("t", 0, 1.0))
    harness.answer(b"{}", status)
    with pytest.raises(error):
        result_of(reading)


def test_call_without_a_response_times_out_and_aborts_the_connection(harness):
    appending = harness.call(
        harness.store.append("t", KeyedRecord(key="k", value=b"v"))
    )
    harness.clock.advance(CALL_TIMEOUT_S + 0.1)
    with pytest.raises(StoreUnavailableError):
        result_of(appending)
    assert harness.pool.made[-1].transport.aborted


def test_lost_connection_means_unavailable(harness):
    reading = harness.call(harness.store.read("t", 0, 1.0))
    harness.pool.made[-1].exchange.connection_lost()
    with pytest.raises(StoreUnavailableError):
        result_of(reading)


def test_refused_connection_means_unavailable(harness):
    harness.pool.refuse = True
    with pytest.raises(StoreUnavailableError):
        result_of(harness.call(harness.store.read_latest("t")))


def test_invalid_response_is_an_error(harness):
    reading = harness.call(harness.store.read_latest("t"))
    harness.answer(b'{"items": 3}')
    with pytest.raises(StoreRejectedError):
        result_of(reading)


def test_lease_requires_the_partition(harness):
    joining = harness.call(
        harness.store.join_group("g", "me", "t", ttl_s=2.0, generation=0)
    )
    answer = {"generation": 7, "parts": [["t", 0, 0]]}
    harness.answer(json.dumps(answer).encode())
    assert result_of(joining).holds_partition
    again = harness.call(
        harness.store.join_group("g", "me", "t", ttl_s=2.0, generation=7)
    )
    harness.answer(b'{"generation": 8, "parts": []}')
    assert not result_of(again).holds_partition


def test_lease_requires_the_first_partition(harness):
    """Guards against several holders of one lease at once.

    The topic has several partitions, assigned to different members. When any
    of them counted as the lease, four nodes held a move's lease at once.
    """
    joining = harness.call(
        harness.store.join_group("g", "me", "t", ttl_s=2.0, generation=0)
    )
    answer = {"generation": 7, "parts": [["t", 3, 0], ["t", 1, 0]]}
    harness.answer(json.dumps(answer).encode())
    assert not result_of(joining).holds_partition


def test_store_errors_are_not_errors_of_the_call_path():
    assert not issubclass(StoreUnavailableError, CallError)


def test_fake_connection_has_no_exchange_before_a_call():
    assert FakeConnection(Clock()).exchange is None


# Guards against a record that is never read: it was written between two pages,
# to a key of the first one, and reading went on behind it.
def test_record_written_between_two_pages_is_read_next(harness):
    reading = harness.call(harness.store.read_latest("t"))
    for key, end, more in (("a", 5, True), ("b", 6, False)):
        item = {"key": key, "value": "", "offset": 3}
        page = {"items": [item], "hasMore": more, "endOffset": end}
        harness.answer(json.dumps(page).encode())
    assert result_of(reading).next_offset == 5


def test_end_of_a_topic_is_read_without_its_records(harness):
    reading = harness.call(harness.store.read_end("t"))
    page = {"items": [], "hasMore": False, "endOffset": 5}
    harness.answer(json.dumps(page).encode())
    assert result_of(reading) == 5


@pytest.mark.parametrize("page", [{}, {"endOffset": None}, {"endOffset": "5"}])
def test_page_without_an_end_is_refused(harness, page):
    reading = harness.call(harness.store.read_end("t"))
    harness.answer(json.dumps(page).encode())
    with pytest.raises(StoreRejectedError):
        result_of(reading)


# Reads of a large configuration on a slow link were given up while it arrived,
# and begun again.
def test_response_that_has_begun_to_arrive_is_awaited(harness):
    heads = []
    reading = harness.call(
        harness.store.read("t", 7, 0.0, on_head=lambda: heads.append(1))
    )
    body = READ_HEADER.pack(8, 0) + record(b"config", b"{}")
    exchange = harness.pool.made[-1].exchange
    exchange.receive(
        ResponseHead(
            status=200,
            reason=b"",
            headers=Headers(),
            framing=Framing.LENGTH,
            length=len(body),
        )
    )
    exchange.deliver_head()
    exchange.receive(BodyPart(body[:9]))
    assert heads
    harness.clock.advance(READ_TIMEOUT_SLACK_S + 1.0)
    exchange.receive(BodyPart(body[9:]))
    exchange.receive(BodyEnd())
    assert result_of(reading).next_offset == 8


def test_response_that_never_ends_is_given_up(harness):
    reading = harness.call(harness.store.read("t", 7, 0.0))
    exchange = harness.pool.made[-1].exchange
    exchange.receive(
        ResponseHead(
            status=200,
            reason=b"",
            headers=Headers(),
            framing=Framing.LENGTH,
            length=99,
        )
    )
    exchange.deliver_head()
    exchange.receive(BodyPart(b"x"))
    harness.clock.advance(BODY_TIMEOUT_S + 0.1)
    with pytest.raises(StoreUnavailableError):
        result_of(reading)
