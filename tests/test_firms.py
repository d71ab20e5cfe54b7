"""Recorded traces of whole firms end as they state, and keep the promises."""

import pathlib

import pytest

from fulmarrudder.state_machine import Refused
from fulmarrudder_lab.replay import Player, read_trace
from fulmarrudder_lab.replay.promises import broken_promises, folded
from fulmarrudder_lab.replay.search import draw

TRACES = sorted(
    (pathlib.Path(__file__).parent / "traces" / "firms").glob("*.jsonl")
)


def told(sent):
    """Returns how a request ended, as traces write it."""
    if sent.lost:
        return "lost"
    return f"{sent.status} {sent.ran}".strip()


def refused_by(player):
    """Returns why the fold refuses what operators wrote."""
    _, outcomes = folded(player)
    return tuple(
        outcome.reason.value
        for outcome in outcomes
        if isinstance(outcome, Refused) and outcome.id.startswith("operator")
    )


def check_expected(player, expected):
    """Checks what the trace states."""
    for instance in player.instances.values():
        if instance.running:
            assert instance.versions[-1][-1] == expected.version, instance.name
    assert refused_by(player) == expected.refused
    answers = {name: told(player.sent[name]) for name in expected.answers}
    assert answers == expected.answers
    runs = {name: player.runs_of(name) for name in expected.runs}
    assert runs == expected.runs
    ended = player.endings()
    assert ended[200] >= expected.loaded * len(player.load), ended
    assert ended[500] + ended[502] <= expected.failures, ended


def check_quiet(player, expected):
    """Checks that targets which leave get no new work."""
    if not expected.quiet:
        return
    quiet = {i.name for i in player.fitting(expected.quiet)}
    late = [
        run
        for run in player.runs
        if run.node in quiet
        and run.request.startswith("load")
        and run.at > player.ready_s + expected.quiet_from
    ]
    assert late == []


def check_move(player, expected):
    """Checks how the move ended, and what its new version got."""
    if not expected.phase:
        return
    state, _ = folded(player)
    moves = (*state.moves, *state.history)
    assert [move.phase.value for move in moves] == [expected.phase]
    assert player.exposure() < expected.exposure_below


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_firm_keeps_its_promises(path):
    player = Player(read_trace(path))
    player.run()
    check_expected(player, player.trace.header.expected)
    check_quiet(player, player.trace.header.expected)
    check_move(player, player.trace.header.expected)
    assert broken_promises(player) == ()


@pytest.mark.parametrize("seed", range(8))
def test_faults_drawn_at_random_break_no_promise(seed):
    player = Player(draw(seed))
    player.run()
    assert broken_promises(player) == ()


def test_replay_is_the_same_each_time():
    path = TRACES[0]
    ends = []
    for _ in range(2):
        player = Player(read_trace(path))
        player.run()
        ends.append([(run.request, run.node, run.at) for run in player.runs])
    assert ends[0] == ends[1]
