"""Border of what targets say of themselves: JSON to announcements."""

import re
from typing import Literal

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.membership import Announcement
from fulmarrudder.model import Condition
from fulmarrudder.platform.errors import DocumentError
from fulmarrudder.platform.field_types import (
    Address,
    Milliseconds,
    Name,
    PlatformModel,
    list_faults,
)

INSTANCE_PATH = re.compile(rb"^/-/instances/([^/?]+)/(heartbeat|deregister)$")
CONDITION_OF = {"ready": Condition.READY, "draining": Condition.LEAVING}
# The platform bounds connections by service, in its configuration; what a
# target says of itself holds no such bound.
CONNECTIONS = 100_000


class _Info(PlatformModel):
    service: Name
    version: Name
    zone: Name
    slots: int = pydantic.Field(ge=1, le=10_000)


class _Condition(PlatformModel):
    state: Literal["ready", "draining"]
    sequence: int = pydantic.Field(ge=0)
    # How much longer the target stays slow after its start.
    cold: Milliseconds = pydantic.Field(0.0, alias="coldLeft")


class _Beat(PlatformModel):
    address: Address
    info: _Info
    status: _Condition
    # Unix milliseconds of the target's start.
    born: int | None = pydantic.Field(None, ge=0)


def parse_heartbeat(
    target: str, data: bytes
) -> Result[Announcement, DocumentError]:
    """Validates a heartbeat.

    Args:
        target: Id of the target, from the path.
        data: JSON.

    Returns:
        The announcement; its incarnation is 0 when the target does not tell
        when it started.
    """
    try:
        model = _Beat.model_validate_json(data)
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
            condition=CONDITION_OF[model.status.state],
            slots=model.info.slots,
            connections=CONNECTIONS,
        )
    )
