"""Decides which duty a node claims. All functions are pure."""

import dataclasses
from collections.abc import Callable

from fulmarrudder.state_machine import (
    CONTROLLER,
    Duty,
    State,
    duty_named,
    is_relay_of,
    relay_duty,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """The node should claim a duty itself.

    Attributes:
        duty: Name of the duty.
        expected_term: Latest term of the duty; 0 if never claimed.
    """

    duty: str
    expected_term: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelegateClaim:
    """The node should request that one of its children claim a duty.

    Attributes:
        duty: Name of the duty.
        expected_term: Latest term of the duty; 0 if never claimed.
    """

    duty: str
    expected_term: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A node that may claim duties.

    Attributes:
        holder: Name of the node as a holder of duties: its id and
            incarnation.
        data_centre: Data centre of the node.
        relays: Number of relay duties in each data centre.
        orphaned: Whether the node has had no parent in its own data centre's
            tree for longer than its time limit.
        has_children: Whether the node has children that could claim a duty.
    """

    holder: str
    data_centre: str
    relays: int
    orphaned: bool
    has_children: bool


def duties_of(state: State, holder: str) -> tuple[Duty, ...]:
    """Returns the duties of a holder."""
    return tuple(duty for duty in state.duties if duty.holder == holder)


def relays_of(state: State, data_centre: str) -> tuple[Duty, ...]:
    """Returns the relay duties of a data centre."""
    return tuple(d for d in state.duties if is_relay_of(d, data_centre))


def all_relays(state: State) -> tuple[Duty, ...]:
    """Returns the relay duties of all data centres."""
    return tuple(d for d in state.duties if d.name != CONTROLLER)


def decide_claim(
    state: State, candidate: Candidate, is_expired: Callable[[str], bool]
) -> Claim | DelegateClaim | None:
    """Decides whether a node should claim a duty that nobody holds.

    A relay holds one relay duty, so it delegates the others to its children.
    An orphaned node claims a relay duty itself. Any relay may claim the
    controller's duty.

    Args:
        state: The replicated state.
        candidate: The node.
        is_expired: Returns whether the lease on a duty has expired.

    Returns:
        At most one claim to make or to delegate.
    """
    own_duties = duties_of(state, candidate.holder)
    is_relay = any(duty.name != CONTROLLER for duty in own_duties)
    for slot in range(candidate.relays):
        name = relay_duty(candidate.data_centre, slot)
        if not is_expired(name):
            continue
        if is_relay and not any(duty.name == name for duty in own_duties):
            if candidate.has_children:
                return DelegateClaim(
                    duty=name, expected_term=_term(state, name)
                )
            continue
        if candidate.orphaned and not is_relay:
            return Claim(duty=name, expected_term=_term(state, name))
    if is_relay and is_expired(CONTROLLER):
        return Claim(duty=CONTROLLER, expected_term=_term(state, CONTROLLER))
    return None


def _term(state: State, name: str) -> int:
    duty = duty_named(state, name)
    return duty.term if duty else 0
