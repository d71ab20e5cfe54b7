"""Promises that hold in every trace of a firm, checked after its replay."""

from collections.abc import Iterator

from fulmarrudder.log import CONFIG_STREAM, RawRecord, decode_record
from fulmarrudder.state_machine import (
    EMPTY_STATE,
    Outcome,
    State,
    apply,
    duty_named,
    relay_duty,
)
from fulmarrudder_lab.replay.instance import RELAYS_PER_DATA_CENTRE
from fulmarrudder_lab.replay.player import Player
from fulmarrudder_lab.replay.target import SentRequest


def apply_log(player: Player) -> tuple[State, tuple[Outcome, ...]]:
    """Applies the log; returns the final state and each record's outcome."""
    state, outcomes = EMPTY_STATE, []
    for offset, body in enumerate(player.platform.streams[CONFIG_STREAM]):
        result = apply(
            state, decode_record(RawRecord(offset=offset, body=body))
        )
        state = result.state
        outcomes.append(result.outcome)
    return state, tuple(outcomes)


def broken_promises(player: Player) -> tuple[str, ...]:
    """Returns a description of each broken promise."""
    broken = [
        *_check_versions(player),
        *_check_relays(player),
        *_check_keys(player),
    ]
    for sent in (*player.sent.values(), *player.load):
        broken += _check_answer(player, sent)
    return tuple(broken)


def _check_versions(player: Player) -> Iterator[str]:
    state, _ = apply_log(player)
    for instance in player.instances.values():
        for versions in instance.versions:
            if versions != sorted(versions):
                yield (
                    f"{instance.name} returned to an older version: {versions}"
                )
        last_version = instance.versions[-1][-1:]
        if instance.running and last_version != [state.version]:
            yield (
                f"{instance.name} has version {last_version},"
                f" not {state.version}"
            )


def _check_relays(player: Player) -> Iterator[str]:
    state, _ = apply_log(player)
    running = [
        instance for instance in player.instances.values() if instance.running
    ]
    for data_centre in sorted({instance.data_centre for instance in running}):
        for slot in range(RELAYS_PER_DATA_CENTRE):
            duty = duty_named(state, relay_duty(data_centre, slot))
            if duty is None:
                yield f"{data_centre} lacks relay {slot}"
                continue
            holder = player.instances[duty.holder.partition("/")[0]]
            if holder.data_centre != data_centre or not holder.running:
                yield f"{data_centre} has {holder.name} for relay {slot}"


def _check_keys(player: Player) -> Iterator[str]:
    for key, names in player.request_names_by_key().items():
        runs = sum(player.count_runs(name) for name in names)
        if runs > 1:
            yield f"key {key} ran {runs} times"


def _check_answer(player: Player, sent: SentRequest) -> Iterator[str]:
    if not sent.complete and not sent.lost:
        yield f"{sent.name} was never answered"
    if sent.ran == "no" and player.count_runs(sent.name):
        yield f"{sent.name} ran, but was refused as not run"
    if not sent.complete or sent.reason:
        return
    if sent.received_size != sent.size:
        yield f"{sent.name} reached its target truncated"
    if not player.is_same_request(sent.request, sent.name):
        yield f"{sent.name} received the answer to {sent.request}"
