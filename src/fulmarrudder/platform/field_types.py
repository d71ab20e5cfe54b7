"""Field types that several of the platform's documents share."""

import functools
import re
from typing import Annotated

import pydantic

MAX_DURATION_MS = 30 * 24 * 3600 * 1000.0
# Largest integer that every reader of JSON takes.
MAX_COUNT = (1 << 53) - 1
_DURATION = re.compile(r"^(\d+(?:\.\d+)?)(ms|s)$")
_UNIT_MS = {"ms": 1.0, "s": 1000.0}
_VERSION = re.compile(r"^[0-9a-f]{8}$")


@functools.lru_cache(maxsize=1024)
def _duration_ms(text: str) -> float:
    match = _DURATION.match(text)
    if match is None:
        raise ValueError("not a number followed by ms or s")
    duration_ms = float(match[1]) * _UNIT_MS[match[2]]
    if duration_ms > MAX_DURATION_MS:
        raise ValueError("longer than 30 days")
    return duration_ms


def parse_duration(value: object) -> float:
    """Returns the milliseconds of a duration with its unit.

    Raises:
        ValueError: It is none, or is too long.
    """
    if not isinstance(value, str):
        raise ValueError("not a number followed by ms or s")
    return _duration_ms(value)


def parse_version(value: object) -> int:
    """Returns the version of a configuration, which has eight digits.

    Raises:
        ValueError: It is none.
    """
    if not isinstance(value, str) or not _VERSION.match(value):
        raise ValueError("not eight hexadecimal digits")
    return int(value, 16)


# A duration with its unit, such as "250ms" or "1.5s"; parsed to milliseconds.
Milliseconds = Annotated[float, pydantic.BeforeValidator(parse_duration)]
# Version of a configuration: eight hexadecimal digits; parsed to an integer.
Version = Annotated[int, pydantic.BeforeValidator(parse_version)]
# A count or a time of day in milliseconds; larger numbers are mistakes.
Count = Annotated[int, pydantic.Field(ge=0, le=MAX_COUNT)]
Name = Annotated[str, pydantic.Field(min_length=1, max_length=256)]


class PlatformModel(pydantic.BaseModel):
    """Base class of the platform's documents; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(
        extra="ignore", strict=True, populate_by_name=True
    )


def list_faults(error: pydantic.ValidationError) -> tuple[str, ...]:
    """Lists the validation errors of a document, each with its path."""
    lines = []
    for fault in error.errors(include_input=False, include_url=False):
        path = ".".join(str(part) for part in fault["loc"]) or "(top)"
        lines.append(f"{path}: {fault['msg']}")
    return tuple(lines)
