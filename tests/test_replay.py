"""Recorded traces of moves end as expected."""

import pathlib

import pytest

from fulmarrudder.state_machine import Phase
from fulmarrudder_lab.replay import Replay

TRACES = sorted(
    (pathlib.Path(__file__).parent / "traces" / "moves").glob("*.jsonl")
)


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_ends_as_expected(path):
    replay = Replay(path)
    replay.run()
    expected, move = replay.header.expected, replay.simulation.move
    assert (move.phase, move.by) == (expected.phase, expected.by)
    assert replay.refused == expected.refused
    service = replay.simulation.service
    assert (
        service.new_requests / max(1, service.total_requests)
        < expected.exposure_below
    )


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_share_never_rises_after_a_take_back(path):
    replay = Replay(path)
    replay.run()
    if replay.simulation.move.phase is not Phase.TAKEN_BACK:
        return
    peak = replay.shares.index(max(replay.shares))
    after = replay.shares[peak:]
    assert after == sorted(after, reverse=True)
    assert after[-1] == 0
