"""Structured logs: one line of key=value pairs for each event."""

import json
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOGGER = logging.getLogger("fulmarrudder")
_RENAMED = {"asctime": "time", "levelname": "level", "message": "event"}
_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,T"
)


def _serialize(record: dict, **_) -> str:
    return " ".join(f"{key}={_value(value)}" for key, value in record.items())


def _value(value) -> str:
    text = value if isinstance(value, str) else str(value)
    if text and all(char in _PLAIN for char in text):
        return text
    return json.dumps(text)


def setup(level: str, **always: str) -> None:
    """Sends events to standard error.

    Args:
        level: Lowest level that is written.
        **always: Fields that every line carries.
    """
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields=_RENAMED,
        static_fields=always,
        json_serializer=_serialize,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level.upper())
    LOGGER.propagate = False


def info(event: str, **fields) -> None:
    """Writes an event that is part of ordinary work."""
    LOGGER.info({"message": event, **fields})


def warning(event: str, **fields) -> None:
    """Writes an event that an operator may want to look into."""
    LOGGER.warning({"message": event, **fields})


def error(event: str, **fields) -> None:
    """Writes an event that needs an operator."""
    LOGGER.error({"message": event, **fields})
