"""Structured logs: one line of key=value pairs for each event."""

import json
import logging
import re
import sys

from pythonjsonlogger.json import JsonFormatter

from fulmarrudder.observe.output import NonBlockingHandler

LOGGER = logging.getLogger("fulmarrudder")
_FIELD_NAMES = {"asctime": "time", "levelname": "level", "message": "event"}
_UNQUOTED = re.compile(r"[A-Za-z0-9\-_.:/+@,]+")


def _serialize(record: dict, **_) -> str:
    return " ".join(
        f"{key}={_format_value(value)}" for key, value in record.items()
    )


def _format_value(value) -> str:
    if value is None:
        return "-"
    text = value if isinstance(value, str) else str(value)
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text)


def setup(level: str, **static_fields: str) -> None:
    """Configures logging to standard output.

    Args:
        level: Lowest level that is written.
        **static_fields: Fields of every line.
    """
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields=_FIELD_NAMES,
        static_fields=static_fields,
        json_serializer=_serialize,
    )
    handler = _handler_of(sys.stdout.fileno())
    handler.setFormatter(formatter)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level.upper())
    LOGGER.propagate = False


def _handler_of(descriptor: int) -> NonBlockingHandler:
    """Returns the handler in use, so that its counts survive a reload."""
    for handler in LOGGER.handlers:
        if getattr(handler, "descriptor", None) == descriptor:
            return handler
    return NonBlockingHandler(descriptor)


def dropped_lines() -> int:
    """Returns the lines dropped because the output was not read."""
    return sum(getattr(handler, "dropped", 0) for handler in LOGGER.handlers)


def info(event: str, **fields) -> None:
    """Writes an event of normal operation."""
    LOGGER.info({"message": event, **fields})


def warning(event: str, **fields) -> None:
    """Writes an event that an operator may want to investigate."""
    LOGGER.warning({"message": event, **fields})


def error(event: str, **fields) -> None:
    """Writes an event that needs an operator's attention."""
    LOGGER.error({"message": event, **fields})
