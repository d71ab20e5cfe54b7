"""Field types that several of the platform's documents share."""

import re
from typing import Annotated

import pydantic

_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")
_UNIT_MS = {"ms": 1.0, "s": 1000.0}
_VERSION = re.compile(r"^[0-9a-f]{8}$")


def _read_duration(value: object) -> float:
    found = _DURATION.match(value) if isinstance(value, str) else None
    if found is None:
        raise ValueError("not a number with the unit ms or s")
    return float(found[1]) * _UNIT_MS[found[2]]


def _read_version(value: object) -> int:
    if not isinstance(value, str) or not _VERSION.match(value):
        raise ValueError("not eight hexadecimal digits")
    return int(value, 16)


# A length of time, as a number and its unit; read as milliseconds.
Milliseconds = Annotated[float, pydantic.BeforeValidator(_read_duration)]
# The version of a configuration, in hexadecimal; read as a whole number.
Version = Annotated[int, pydantic.BeforeValidator(_read_version)]
Address = Annotated[str, pydantic.Field(pattern=r"^[0-9.]+:\d{1,5}$")]
Name = Annotated[str, pydantic.Field(min_length=1, max_length=256)]


class PlatformModel(pydantic.BaseModel):
    """A document of the platform; fields that are not known are ignored."""

    model_config = pydantic.ConfigDict(
        extra="ignore", strict=True, populate_by_name=True
    )


def list_faults(error: pydantic.ValidationError) -> tuple[str, ...]:
    """Lists the faults of a document, each with its path."""
    lines = []
    for fault in error.errors(include_input=False, include_url=False):
        path = ".".join(str(part) for part in fault["loc"]) or "(top)"
        lines.append(f"{path}: {fault['msg']}")
    return tuple(lines)
