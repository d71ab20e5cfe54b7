"""Decisions on which node claims which duty; pure."""

import dataclasses
from collections.abc import Callable

from fulmarrudder.fold import (
    CONTROLLER,
    Duty,
    State,
    duty_named,
    is_relay_of,
    relay_duty,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """The node should claim a duty itself."""

    duty: str
    expected_term: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelegateClaim:
    """The node should ask one below it to claim a duty."""

    duty: str
    expected_term: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """What a node is, for deciding on duties.

    Attributes:
        holder: How the node is named as a holder.
        relays: Relay duties that a data centre has.
        orphaned: Whether the node has had no parent for long enough.
        has_children: Whether nodes hang below it that could take a duty.
    """

    holder: str
    data_centre: str
    relays: int
    orphaned: bool
    has_children: bool


def duties_of(state: State, holder: str) -> tuple[Duty, ...]:
    """Returns the duties that a holder has."""
    return tuple(duty for duty in state.duties if duty.holder == holder)


def relays_of(state: State, data_centre: str) -> tuple[Duty, ...]:
    """Returns the relay duties of a data centre."""
    return tuple(d for d in state.duties if is_relay_of(d, data_centre))


def all_relays(state: State) -> tuple[Duty, ...]:
    """Returns the relay duties of all data centres."""
    return tuple(d for d in state.duties if d.name != CONTROLLER)


def decide_claim(
    state: State, standing: Candidate, is_expired: Callable[[str], bool]
) -> Claim | DelegateClaim | None:
    """Decides what a node should do about duties that nobody holds.

    Args:
        state: The folded state.
        standing: What the node is.
        is_expired: Tells whether nobody holds a duty.

    Returns:
        One thing to do, or None.
    """
    mine = duties_of(state, standing.holder)
    is_relay = any(duty.name != CONTROLLER for duty in mine)
    for slot in range(standing.relays):
        name = relay_duty(standing.data_centre, slot)
        if not is_expired(name):
            continue
        if is_relay and not any(duty.name == name for duty in mine):
            if standing.has_children:
                return DelegateClaim(
                    duty=name, expected_term=_term(state, name)
                )
            continue
        if standing.orphaned and not is_relay:
            return Claim(duty=name, expected_term=_term(state, name))
    if is_relay and is_expired(CONTROLLER):
        return Claim(duty=CONTROLLER, expected_term=_term(state, CONTROLLER))
    return None


def _term(state: State, name: str) -> int:
    duty = duty_named(state, name)
    return duty.term if duty else 0
