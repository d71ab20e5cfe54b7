"""Parses the operator's rollouts; encodes and parses their status.

A rollout is the platform's document that requests a move of a service.
"""

import json
from typing import Literal

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.move import MoveRequest, RecordedMove, request_id
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
PHASE_BY_STATE = {
    "active": Phase.RUNNING,
    "completed": Phase.COMPLETED,
    "rolled_back": Phase.TAKEN_BACK,
}


class _Rollout(PlatformModel):
    service: Name
    # Target version that receives the traffic when the rollout completes.
    target_version: Name = pydantic.Field(alias="targetVersion")
    duration: Milliseconds = pydantic.Field(gt=0)


class _Status(PlatformModel):
    state: Literal["active", "completed", "rolled_back"]
    target_version: Name = pydantic.Field(alias="targetVersion")
    request_offset: int | None = pydantic.Field(
        alias="requestOffset", default=None
    )
    withdrawn: tuple[Name, ...] = pydantic.Field(
        alias="withdrawnVersions", default=(), strict=False
    )


def parse_move_request(
    data: bytes, *, offset: int, now: float
) -> Result[MoveRequest, DocumentError]:
    """Parses and validates a rollout.

    Args:
        data: JSON.
        offset: Position of its record.
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
            id=request_id(model.service, model.target_version, offset),
            service=model.service,
            to_version=model.target_version,
            deadline=now + model.duration / 1000,
            offset=offset,
        )
    )


def parse_status(
    service: str, data: bytes
) -> Result[RecordedMove, DocumentError]:
    """Parses and validates the status of a rollout.

    Args:
        service: Service of the rollout, from the record's key.
        data: JSON.

    Returns:
        The move, or every validation error.
    """
    try:
        model = _Status.model_validate_json(data)
    except pydantic.ValidationError as error:
        return Error(DocumentError("; ".join(list_faults(error))))
    return Ok(
        RecordedMove(
            service=service,
            to_version=model.target_version,
            phase=PHASE_BY_STATE[model.state],
            request_offset=model.request_offset,
            withdrawn=model.withdrawn,
        )
    )


def encode_status(
    phase: Phase,
    to_version: str,
    request_offset: int,
    withdrawn: tuple[str, ...] = (),
) -> bytes:
    """Encodes the status of a move as JSON.

    Args:
        phase: Phase of the move.
        to_version: Target version that the move leads to.
        request_offset: Position of the move's request, which tells the move from
            others to the same version.
        withdrawn: Versions that moves before this one led to without
            completing, oldest first.
    """
    document = {
        "state": STATE_BY_PHASE[phase],
        "targetVersion": to_version,
        "requestOffset": request_offset,
    }
    if withdrawn:
        document["withdrawnVersions"] = withdrawn
    return json.dumps(document).encode()
