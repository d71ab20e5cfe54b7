"""A state is swapped whole, and only for a newer one."""

import pytest

from fulmarrudder.distribution import DivergedError, StateStore
from fulmarrudder.distribution.message import Delta, Snapshot, UpToDate
from fulmarrudder.fold import GapError
from fulmarrudder.log import Envelope, RawRecord, encode
from tests.conftest import publish, replace


def raw(offset, expected):
    text = encode(Envelope(id=f"r{offset}", body=publish(expected=expected)))
    return RawRecord(offset=offset, body=text)


LOG = [raw(i, i) for i in range(4)]


def holder(*records):
    made = StateStore(
        on_outcome=lambda outcome: None, on_advance=lambda before: None
    )
    made.apply_records(records)
    return made


def test_older_state_is_never_taken():
    ahead, behind = holder(*LOG), holder(*LOG[:2])
    assert not ahead.apply_snapshot(behind.state)
    assert ahead.state.version == 4
    assert behind.apply_snapshot(ahead.state)
    assert behind.state.version == 4


def test_records_already_held_are_skipped():
    held = holder(*LOG)
    held.apply_records(LOG[:3])
    assert held.state.version == 4


def test_gap_is_told_and_changes_nothing():
    held = holder(*LOG[:1])
    with pytest.raises(GapError):
        held.apply_records(LOG[2:])
    assert held.state.version == 1


def test_answer_to_a_node_is_as_small_as_will_do():
    held = holder(*LOG)
    assert isinstance(held.updates_since(3), UpToDate)
    assert isinstance(held.updates_since(9), UpToDate)
    assert [r.offset for r in held.updates_since(1).records] == [2, 3]
    held.recent_records.clear()
    assert isinstance(held.updates_since(1), Snapshot)


def test_difference_at_one_offset_is_told():
    held = holder(*LOG[:2])
    good = holder(*LOG).updates_since(1)
    bad = replace(good, digest="0" * 32)
    assert isinstance(bad, Delta)
    with pytest.raises(DivergedError):
        held.apply_delta(bad)
