"""Parses the operator's rollouts; encodes and parses their status.

A rollout is the platform's document that requests a move of a service.
"""

import json

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.move import MoveRequest, MoveResult
from fulmarrudder.platform.errors import DocumentError
from fulmarrudder.platform.field_types import (
    Milliseconds,
    Name,
    PlatformModel,
    list_faults,
)
from fulmarrudder.state_machine import Phase

STATE_BY_PHASE = {
    Phase.RUNNING: "active",
    Phase.COMPLETING: "active",
    Phase.COMPLETED: "completed",
    Phase.TAKING_BACK: "rolled_back",
    Phase.TAKEN_BACK: "rolled_back",
}


class _Rollout(PlatformModel):
    service: Name
    # Target version that receives the traffic when the rollout completes.
    target_version: Name = pydantic.Field(alias="targetVersion")
    duration: Milliseconds = pydantic.Field(gt=0)


class _Status(PlatformModel):
    state: Name
    target_version: Name = pydantic.Field(alias="targetVersion")


def parse_move_request(
    data: bytes, *, offset: int, now: float
) -> Result[MoveRequest, DocumentError]:
    """Parses and validates a rollout.

    Args:
        data: JSON.
        offset: Offset of its record.
        now: Time of its arrival, in wall-clock seconds.

    Returns:
        The move request, or every validation error.
    """
    try:
        model = _Rollout.model_validate_json(data)
    except pydantic.ValidationError as error:
        return Error(DocumentError("; ".join(list_faults(error))))
    return Ok(
        MoveRequest(
            id=f"{model.service}/{model.target_version}/{offset}",
            service=model.service,
            to_version=model.target_version,
            deadline=now + model.duration / 1000,
        )
    )


def parse_status(
    service: str, data: bytes
) -> Result[MoveResult | None, DocumentError]:
    """Parses and validates the status of a rollout.

    Args:
        service: Service of the rollout, from the record's key.
        data: JSON.

    Returns:
        The move's result, None while the move is in progress, or every
        validation error.
    """
    try:
        model = _Status.model_validate_json(data)
    except pydantic.ValidationError as error:
        return Error(DocumentError("; ".join(list_faults(error))))
    if model.state == STATE_BY_PHASE[Phase.RUNNING]:
        return Ok(None)
    return Ok(
        MoveResult(
            service=service,
            to_version=model.target_version,
            taken_back=model.state == STATE_BY_PHASE[Phase.TAKEN_BACK],
        )
    )


def encode_status(phase: Phase, to_version: str) -> bytes:
    """Encodes the status of a move as JSON."""
    document = {"state": STATE_BY_PHASE[phase], "targetVersion": to_version}
    return json.dumps(document).encode()
