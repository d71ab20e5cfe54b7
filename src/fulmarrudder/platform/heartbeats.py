"""Parses and validates heartbeats of targets: JSON to announcements."""

import re
from typing import Literal

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.address import Address
from fulmarrudder.membership import Announcement
from fulmarrudder.model import Condition
from fulmarrudder.platform.errors import DocumentError
from fulmarrudder.platform.field_types import (
    Count,
    Milliseconds,
    Name,
    PlatformModel,
    list_faults,
)

INSTANCE_PATH = re.compile(rb"^/-/instances/([^/?]+)/(heartbeat|deregister)$")
CONDITION_BY_STATE = {"ready": Condition.READY, "draining": Condition.LEAVING}
# Heartbeats carry no connection limit: the platform sets it for each service,
# in its configuration.
CONNECTION_LIMIT = 100_000


class _Info(PlatformModel):
    service: Name
    version: Name
    zone: Name
    slots: int = pydantic.Field(ge=1, le=10_000)


class _Status(PlatformModel):
    state: Literal["ready", "draining"]
    sequence: Count
    cold_left_ms: Milliseconds = pydantic.Field(0.0, alias="coldLeft")


class _Heartbeat(PlatformModel):
    address: Address
    info: _Info
    status: _Status
    # Start of the target, in Unix milliseconds.
    born: Count | None = None


class _Deregistration(PlatformModel):
    born: Count | None = None


def parse_heartbeat(
    target: str, data: bytes, *, now: float = 0.0
) -> Result[Announcement, DocumentError]:
    """Parses and validates a heartbeat.

    Args:
        target: Id of the target, from the path.
        data: JSON.
        now: Clock seconds at which it arrived.

    Returns:
        The announcement, or every validation error. The incarnation is 0 when
        the heartbeat has no start time.
    """
    try:
        model = _Heartbeat.model_validate_json(data)
    except pydantic.ValidationError as error:
        return Error(DocumentError("; ".join(list_faults(error))))
    return Ok(
        Announcement(
            id=target,
            service=model.info.service,
            target_version=model.info.version,
            address=model.address,
            incarnation=model.born or 0,
            sequence=model.status.sequence,
            condition=CONDITION_BY_STATE[model.status.state],
            slots=model.info.slots,
            connections=CONNECTION_LIMIT,
            cold_until=_cold_until(model.status, now),
        )
    )


def parse_deregistration(data: bytes) -> Result[int | None, DocumentError]:
    """Parses and validates the body of a deregistration.

    Args:
        data: JSON, or empty.

    Returns:
        The start of the target that it tells, in Unix milliseconds, or None;
        or every validation error.
    """
    if not data:
        return Ok(None)
    try:
        return Ok(_Deregistration.model_validate_json(data).born)
    except pydantic.ValidationError as error:
        return Error(DocumentError("; ".join(list_faults(error))))


def _cold_until(status: _Status, now: float) -> float:
    if not status.cold_left_ms:
        return 0.0
    return now + status.cold_left_ms / 1000
