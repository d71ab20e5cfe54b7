"""Parses and validates configuration documents (JSON) into arrangements."""

from typing import Annotated

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.model import Arrangement, Route, Service
from fulmarrudder.operate.errors import DocumentError
from fulmarrudder.state_machine import validation_errors

Name = Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=128)
]
MAX_TIMEOUT_MS = 24 * 3600 * 1000


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")


class ServiceModel(_StrictModel):
    """A service in a document."""

    name: Name
    target_versions: list[Name] = pydantic.Field(min_length=1)
    initial: Name


class RouteModel(_StrictModel):
    """A route in a document."""

    name: Name
    host: str = pydantic.Field("", max_length=255)
    prefix: str = pydantic.Field(max_length=1024)
    service: Name
    idempotent: bool = False
    timeout_ms: int = pydantic.Field(10_000, ge=1, le=MAX_TIMEOUT_MS)
    callers: list[Name] = []


class ArrangementModel(_StrictModel):
    """A document to publish."""

    services: list[ServiceModel]
    routes: list[RouteModel]


def parse_document(document) -> Result[Arrangement, DocumentError]:
    """Validates a document.

    Args:
        document: The decoded JSON value.

    Returns:
        The arrangement, or all validation errors of the document.
    """
    try:
        model = ArrangementModel.model_validate(document)
    except pydantic.ValidationError as error:
        return Error(DocumentError(_list_faults(error)))
    arrangement = Arrangement(
        services=tuple(
            Service(
                name=s.name,
                target_versions=tuple(s.target_versions),
                initial=s.initial,
            )
            for s in model.services
        ),
        routes=tuple(
            Route(
                name=r.name,
                host=r.host.lower(),
                prefix=r.prefix,
                service=r.service,
                idempotent=r.idempotent,
                timeout_ms=r.timeout_ms,
                callers=tuple(r.callers),
            )
            for r in model.routes
        ),
    )
    faults = validation_errors(arrangement)
    if faults:
        return Error(DocumentError(faults))
    return Ok(arrangement)


def _list_faults(error: pydantic.ValidationError) -> tuple[str, ...]:
    lines = []
    for fault in error.errors(include_input=False, include_url=False):
        path = ".".join(str(part) for part in fault["loc"]) or "(top)"
        lines.append(f"{path}: {fault['msg']}")
    return tuple(lines)
