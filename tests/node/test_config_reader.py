"""A node finds its way after records have expired under it."""

import random

import pytest
from twisted.internet.task import Clock

from fulmarrudder.distribution import StateStore
from fulmarrudder.log import (
    CONFIG_STREAM,
    SNAPSHOTS_STREAM,
    Envelope,
    RawRecord,
    encode_envelope,
    encode_state,
)
from fulmarrudder.node.config_reader import ConfigReader
from tests.call.fakes import FakeLog
from tests.conftest import publish

COUNT = 10
EXPIRED_TO = 6


def state_store():
    return StateStore(on_outcome=lambda o: None, on_advance=lambda b: None)


@pytest.fixture
def log():
    """A log whose first records are gone and whose state was kept."""
    made = FakeLog()
    texts = [
        encode_envelope(Envelope(id=f"r{i}", body=publish(expected=i)))
        for i in range(COUNT)
    ]
    made.append(CONFIG_STREAM, tuple(texts))
    whole = state_store()
    whole.apply_records(
        RawRecord(offset=i, body=texts[i]) for i in range(EXPIRED_TO + 1)
    )
    made.append(SNAPSHOTS_STREAM, (encode_state(whole.state),))
    return made


def run(log, held, seconds=5.0):
    clock = Clock()
    config_reader = ConfigReader(log, clock, random.Random(1), held)
    config_reader.start()
    for _ in range(round(seconds / 0.05)):
        clock.advance(0.05)
    return config_reader


def test_new_node_starts_from_the_snapshot_and_the_tail(log):
    log.expire(CONFIG_STREAM, EXPIRED_TO)
    held = state_store()
    run(log, held)
    assert held.state.version == COUNT
    assert held.synced


def test_node_that_was_away_jumps_ahead_and_never_back(log):
    held = state_store()
    held.apply_records(
        RawRecord(offset=i, body=log.streams[CONFIG_STREAM][i])
        for i in range(3)
    )
    log.expire(CONFIG_STREAM, EXPIRED_TO)
    run(log, held)
    assert held.state.version == COUNT


def test_without_a_snapshot_a_node_keeps_what_it_holds(log):
    held = state_store()
    held.apply_records(
        RawRecord(offset=i, body=log.streams[CONFIG_STREAM][i])
        for i in range(3)
    )
    log.streams[SNAPSHOTS_STREAM] = ["not a state"]
    log.expire(CONFIG_STREAM, EXPIRED_TO)
    run(log, held)
    assert held.state.version == 3


def test_log_that_is_away_at_the_start_is_asked_again(log):
    held, clock = state_store(), Clock()
    log.away = True
    config_reader = ConfigReader(log, clock, random.Random(1), held)
    config_reader.start()
    for _ in range(40):
        clock.advance(0.05)
    assert not held.synced
    log.away = False
    for _ in range(80):
        clock.advance(0.05)
    assert held.state.version == COUNT
    config_reader.stop()
