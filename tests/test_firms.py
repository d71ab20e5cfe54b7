"""Recorded traces of whole firms end as expected and break no promise."""

import pathlib

import pytest

from fulmarrudder.state_machine import Refused
from fulmarrudder_lab.replay import Player, read_trace
from fulmarrudder_lab.replay.promises import apply_log, broken_promises
from fulmarrudder_lab.replay.search import generate_trace

TRACES = sorted(
    (pathlib.Path(__file__).parent / "traces" / "firms").glob("*.jsonl")
)


def result_of(sent):
    """Returns a request's result in the form used by traces."""
    if sent.lost:
        return "lost"
    return f"{sent.status} {sent.ran}".strip()


def refusals_of(player):
    """Returns the reasons of the operator's refused records, in order."""
    _, outcomes = apply_log(player)
    return tuple(
        outcome.reason.value
        for outcome in outcomes
        if isinstance(outcome, Refused) and outcome.id.startswith("operator")
    )


def check_expected(player, expected):
    """Checks versions, refused records, answers, runs and load results."""
    for instance in player.instances.values():
        if instance.running:
            assert instance.versions[-1][-1] == expected.version, instance.name
    assert refusals_of(player) == expected.refused
    answers = {name: result_of(player.sent[name]) for name in expected.answers}
    assert answers == expected.answers
    runs = {name: player.count_runs(name) for name in expected.runs}
    assert runs == expected.runs
    ended = player.count_results()
    assert ended[200] >= expected.loaded * len(player.load), ended
    assert ended[500] + ended[502] <= expected.failures, ended


def check_quiet(player, expected):
    """Checks that leaving targets receive no new requests."""
    if not expected.quiet:
        return
    quiet = {i.name for i in player.matching_instances(expected.quiet)}
    late_runs = [
        run
        for run in player.runs
        if run.node in quiet
        and run.request.startswith("load")
        and run.at > player.ready_s + expected.quiet_from
    ]
    assert late_runs == []


def check_move(player, expected):
    """Checks the move's final phase and its new version's exposure."""
    if not expected.phase:
        return
    state, _ = apply_log(player)
    moves = (*state.moves, *state.history)
    assert [move.phase.value for move in moves] == [expected.phase]
    assert player.new_version_share() < expected.exposure_below


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
    player = Player(generate_trace(seed))
    player.run()
    assert broken_promises(player) == ()


def test_replay_is_the_same_each_time():
    path = TRACES[0]
    runs = []
    for _ in range(2):
        player = Player(read_trace(path))
        player.run()
        runs.append([(run.request, run.node, run.at) for run in player.runs])
    assert runs[0] == runs[1]
