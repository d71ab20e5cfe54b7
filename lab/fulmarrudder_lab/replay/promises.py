"""What must hold in every trace of a firm, checked when it has been played."""

from collections.abc import Iterator

from fulmarrudder.log import CONFIG_STREAM, RawRecord, decode_record
from fulmarrudder.state_machine import (
    EMPTY,
    Outcome,
    State,
    apply,
    duty_named,
    relay_duty,
)
from fulmarrudder_lab.replay.instance import RELAYS
from fulmarrudder_lab.replay.player import Player
from fulmarrudder_lab.replay.target import Sent


def folded(player: Player) -> tuple[State, tuple[Outcome, ...]]:
    """Returns what the records of the log amount to, and each one's outcome."""
    state, outcomes = EMPTY, []
    for offset, body in enumerate(player.platform.streams[CONFIG_STREAM]):
        step = apply(state, decode_record(RawRecord(offset=offset, body=body)))
        state = step.state
        outcomes.append(step.outcome)
    return state, tuple(outcomes)


def broken_promises(player: Player) -> tuple[str, ...]:
    """Returns which promises were broken, and where."""
    found = [*_versions(player), *_relays(player), *_keys(player)]
    for sent in (*player.sent.values(), *player.load):
        found += _answer(player, sent)
    return tuple(found)


def _versions(player: Player) -> Iterator[str]:
    state, _ = folded(player)
    for instance in player.instances.values():
        for versions in instance.versions:
            if versions != sorted(versions):
                yield f"{instance.name} went back a version: {versions}"
        held = instance.versions[-1][-1:]
        if instance.running and held != [state.version]:
            yield f"{instance.name} holds {held}, not {state.version}"


def _relays(player: Player) -> Iterator[str]:
    state, _ = folded(player)
    running = [one for one in player.instances.values() if one.running]
    for place in sorted({one.place for one in running}):
        for slot in range(RELAYS):
            duty = duty_named(state, relay_duty(place, slot))
            if duty is None:
                yield f"{place} lacks relay {slot}"
                continue
            holder = player.instances[duty.holder.partition("/")[0]]
            if holder.place != place or not holder.running:
                yield f"{place} has {holder.name} for relay {slot}"


def _keys(player: Player) -> Iterator[str]:
    for key, names in player.names_by_key().items():
        runs = sum(player.runs_of(name) for name in names)
        if runs > 1:
            yield f"key {key} ran {runs} times"


def _answer(player: Player, sent: Sent) -> Iterator[str]:
    if not sent.whole and not sent.lost:
        yield f"{sent.name} was never answered"
    if sent.ran == "no" and player.runs_of(sent.name):
        yield f"{sent.name} ran, and was refused as not run"
    if not sent.whole or sent.reason:
        return
    if sent.told_size != sent.size:
        yield f"{sent.name} reached its target cut"
    if not player.same_request(sent.request, sent.name):
        yield f"{sent.name} got the answer to {sent.request}"
