"""Decoding of the configuration's JSON: field types, and every fault of a document."""

import typing
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec

from fulmarrudder.platform.field_types import parse_duration, parse_version

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Prefix = Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?\Z", max_length=1024)]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Natural = Annotated[int, msgspec.Meta(ge=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
# A key is one field value, which is compared as it is.
Key = Annotated[str, msgspec.Meta(pattern=r"^[!-~]+\Z", max_length=1024)]
# What the decoder raises for bytes that are no document.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeError)


class Milliseconds(float):
    """A duration with its unit, such as "250ms" or "1.5s"."""


class PositiveMilliseconds(Milliseconds):
    """A duration that is longer than 0."""


class Version(int):
    """Version of a configuration: eight hexadecimal digits."""


def decode_value(kind: type, value: Any) -> Any:
    """Decodes a value of one of the types of this module.

    Raises:
        ValueError: It is none.
    """
    if kind is Version:
        return kind(parse_version(value))
    duration_ms = parse_duration(value)
    if kind is PositiveMilliseconds and not duration_ms:
        raise ValueError("not longer than 0")
    return kind(duration_ms)


def faults_in_json(data: bytes | str, kind: type) -> list[str]:
    """Lists every fault of a document against its model, with its path."""
    try:
        value = msgspec.json.decode(data)
    except DECODE_ERRORS:
        return []
    return [
        f"{path or '(top)'}: {fault}"
        for path, fault in list_faults(value, kind, "")
    ]


def list_faults(value: Any, kind: Any, path: str) -> Iterator[tuple[str, str]]:
    """Yields every fault of a value, with its path."""
    is_struct = isinstance(kind, type) and issubclass(kind, msgspec.Struct)
    if kind is msgspec.Raw:
        return
    if typing.get_origin(kind) is list and isinstance(value, list):
        (item_kind,) = typing.get_args(kind)
        for index, item in enumerate(value):
            yield from list_faults(item, item_kind, f"{path}.{index}")
        return
    found = False
    if is_struct and isinstance(value, dict):
        for field in msgspec.structs.fields(kind):
            name = field.encode_name
            if name in value:
                faults = list_faults(value[name], field.type, f"{path}.{name}")
            else:
                faults = [(f"{path}.{name}", "missing")] * field.required
            for fault in faults:
                found = True
                yield fault
    # Fields that are valid one by one may not fit together.
    is_whole = is_struct and not hasattr(kind, "__post_init__")
    if found or (is_whole and isinstance(value, dict)):
        return
    try:
        msgspec.convert(value, kind, dec_hook=decode_value)
    except (msgspec.MsgspecError, RecursionError) as error:
        yield path, str(error)
