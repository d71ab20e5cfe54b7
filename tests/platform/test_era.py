"""Answers of the store count in the era that they tell, and in no other."""

import pytest
from twisted.internet.defer import ensureDeferred

from fulmarrudder.call import Framing, Headers
from fulmarrudder.call.message import BodyEnd, BodyPart, ResponseHead
from fulmarrudder.model.position import position_of
from fulmarrudder.platform.era import MAX_ERA, parse_era
from fulmarrudder.platform.errors import EraError
from fulmarrudder.platform.store import READ_HEADER, KeyedRecord
from tests.call.fakes import result_of
from tests.platform.test_store import Harness

RECORD = KeyedRecord(key="n1", value=b"{}")
CALLS = {
    "read": lambda store: store.read("t", position_of(1, 7), 1.0),
    "latest": lambda store: store.read_latest("t"),
    "end": lambda store: store.read_end("t"),
    "append": lambda store: store.append("t", RECORD),
    "join": lambda store: store.join_group(
        "g", "n1", "t", ttl_s=2.0, generation=0
    ),
    "leave": lambda store: store.leave_group("g", "n1"),
}


def answer(exchange, era, status=200, body=b"{}"):
    exchange.receive(
        ResponseHead(
            status=status,
            reason=b"",
            headers=Headers(((b"store-era", str(era).encode()),)),
            framing=Framing.LENGTH,
            length=len(body),
        )
    )
    exchange.receive(BodyPart(body))
    exchange.receive(BodyEnd())


@pytest.fixture
def harness():
    harness = Harness()
    harness.seen = []
    harness.store.era.note(1)
    harness.store.era.listeners.append(
        lambda before, era: harness.seen.append((before, era))
    )
    return harness


@pytest.mark.parametrize("status", [200, 410, 412, 429, 503])
@pytest.mark.parametrize("name", CALLS)
def test_answer_of_a_later_era_is_told_and_void(harness, name, status):
    call = ensureDeferred(CALLS[name](harness.store))
    answer(harness.pool.made[-1].exchange, 2, status)
    assert harness.seen == [(1, 2)]
    with pytest.raises(EraError):
        result_of(call)


@pytest.mark.parametrize("status", [200, 410, 412, 429, 503])
@pytest.mark.parametrize("name", CALLS)
def test_answer_of_an_earlier_era_is_void(harness, name, status):
    call = ensureDeferred(CALLS[name](harness.store))
    harness.store.era.note(2)
    answer(harness.pool.made[-1].exchange, 1, status)
    assert harness.store.era.number == 2
    with pytest.raises(EraError):
        result_of(call)


def test_late_first_answer_of_an_earlier_era_is_void():
    harness = Harness()
    call = ensureDeferred(harness.store.read_end("t"))
    harness.store.era.note(2)
    answer(harness.pool.made[-1].exchange, 1, body=b'{"endOffset": 3}')
    with pytest.raises(EraError):
        result_of(call)


def test_position_of_an_earlier_era_is_not_sent(harness):
    harness.store.era.note(2)
    for call in (
        harness.store.read("t", position_of(1, 7), 1.0),
        harness.store.append("t", RECORD, expected_end=position_of(1, 7)),
    ):
        with pytest.raises(EraError):
            result_of(ensureDeferred(call))
    assert not harness.pool.made


def test_records_are_told_with_positions_of_their_era(harness):
    reading = ensureDeferred(harness.store.read("t", position_of(1, 7), 1.0))
    body = READ_HEADER.pack(8, 0) + b"\0\0\0\x02\x01n"
    answer(harness.pool.made[-1].exchange, 1, body=body)
    assert result_of(reading).records[0].offset == position_of(1, 7)


def test_term_rises_with_the_era_though_the_generation_goes_back(harness):
    terms = []
    for era, generation in ((1, 9), (2, 4)):
        harness.store.era.note(era)
        join = ensureDeferred(CALLS["join"](harness.store))
        body = b'{"generation": %d, "parts": []}' % generation
        answer(harness.pool.made[-1].exchange, era, body=body)
        terms.append(result_of(join).generation)
    assert terms == [position_of(1, 9), position_of(2, 4)]
    assert terms == sorted(terms)


@pytest.mark.parametrize("value", [None, b"", b"-1", b"x", b"9" * 40, b"1.0"])
def test_what_is_no_era_tells_none(value):
    assert parse_era(value) is None


@pytest.mark.parametrize("number", [0, 1, MAX_ERA])
def test_era_is_read(number):
    assert parse_era(str(number).encode()) == number
