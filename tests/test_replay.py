"""Recorded traces of moves end as they state."""

import pathlib

import pytest

from fulmarrudder.state_machine import Phase
from fulmarrudder_lab.replay import Replay

TRACES = sorted(
    (pathlib.Path(__file__).parent / "traces" / "moves").glob("*.jsonl")
)


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_ends_as_it_states(path):
    replay = Replay(path)
    replay.run()
    expected, move = replay.header.expected, replay.stage.move
    assert (move.phase, move.by) == (expected.phase, expected.by)
    assert replay.refused == expected.refused
    service = replay.stage.service
    assert service.new / max(1, service.total) < expected.exposure_below


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_share_never_rises_after_a_take_back(path):
    replay = Replay(path)
    replay.run()
    if replay.stage.move.phase is not Phase.TAKEN_BACK:
        return
    peak = replay.shares.index(max(replay.shares))
    after = replay.shares[peak:]
    assert after == sorted(after, reverse=True)
    assert after[-1] == 0
