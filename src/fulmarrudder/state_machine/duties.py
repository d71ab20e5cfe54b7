"""Transition rules for duties, whose terms act as fencing tokens."""

import dataclasses

from expression import Error, Ok, Result

from fulmarrudder.model import ClaimDuty
from fulmarrudder.state_machine.errors import Refusal
from fulmarrudder.state_machine.outcome import Reason
from fulmarrudder.state_machine.state import Duty, State, duty_named

CONTROLLER = "controller"


def relay_duty(data_centre: str, slot: int) -> str:
    """Returns the name of a relay duty of a data centre."""
    return f"{relay_prefix(data_centre)}{slot}"


def relay_prefix(data_centre: str) -> str:
    """Returns the prefix of the names of a data centre's relay duties."""
    return f"relay/{data_centre}/"


def is_relay_of(duty: Duty, data_centre: str) -> bool:
    """Returns whether the duty is a relay duty of the data centre."""
    return duty.name.startswith(relay_prefix(data_centre))


def claim(state: State, body: ClaimDuty) -> Result[State, Refusal]:
    """Transfers a duty if the claim names the duty's latest term.

    Args:
        state: State before the record.
        body: The claim.

    Returns:
        The state with the new holder, or a refusal that names the present
        holder.
    """
    current = duty_named(state, body.duty)
    term = current.term if current else 0
    if body.expected_term != term:
        holder = current.holder if current else "nobody"
        return Error(
            Refusal(
                reason=Reason.STALE_TERM,
                detail=f"{holder} holds {body.duty} at term {term}",
            )
        )
    claimed = Duty(
        name=body.duty,
        term=term + 1,
        holder=body.holder,
        data_centre=body.data_centre,
        mesh_address=body.mesh_address,
        admin_address=body.admin_address,
    )
    others = [duty for duty in state.duties if duty.name != body.duty]
    duties = tuple(sorted([*others, claimed], key=lambda duty: duty.name))
    return Ok(dataclasses.replace(state, duties=duties))


def check_term(state: State, term: int) -> Refusal | None:
    """Returns a refusal when the term is not the controller's latest one."""
    duty = duty_named(state, CONTROLLER)
    latest = duty.term if duty else 0
    if duty and term == latest:
        return None
    return Refusal(
        reason=Reason.STALE_TERM,
        detail=f"controller's term is {latest}, not {term}",
    )
