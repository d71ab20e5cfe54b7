"""Structured logs: one line of key=value pairs for each event."""

import json
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOGGER = logging.getLogger("fulmarrudder")
_RENAMED = {"asctime": "time", "levelname": "level", "message": "event"}
# Lines about single calls that a node writes in a second, and at once: about
# 2 KB a second, well below what a call costs otherwise.
LINES_PER_S = 8.0
BURST_LINES = 40.0
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


class RateLimitedLog:
    """Writes events of calls, a bounded number a second.

    What is over the bound is counted, and the count is written once there is
    room again, so that load never makes the log the bottleneck.

    Attributes:
        tokens: Lines that may be written now.
        dropped: Lines left out since the last one written.
    """

    __slots__ = ("dropped", "filled", "tokens")

    def __init__(self):
        self.tokens = BURST_LINES
        self.filled = 0.0
        self.dropped = 0

    def info(self, now: float, event: str, **fields) -> None:
        """Writes an event unless there were too many lately.

        Args:
            now: Monotonic seconds.
            event: Name of the event.
            **fields: What belongs to it.
        """
        if self.allow(now):
            self.write(event, **fields)

    def allow(self, now: float) -> bool:
        """Tells whether an event may be written, and counts it if not.

        Args:
            now: Monotonic seconds.
        """
        gained = (now - self.filled) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + gained)
        self.filled = now
        if self.tokens < 1:
            self.dropped += 1
            return False
        return True

    def write(self, event: str, **fields) -> None:
        """Writes an event for which there is room."""
        self.tokens -= 1
        if self.dropped:
            info("lines-dropped", count=self.dropped)
            self.dropped = 0
        info(event, **fields)


def info(event: str, **fields) -> None:
    """Writes an event that is part of ordinary work."""
    LOGGER.info({"message": event, **fields})


def warning(event: str, **fields) -> None:
    """Writes an event that an operator may want to look into."""
    LOGGER.warning({"message": event, **fields})


def error(event: str, **fields) -> None:
    """Writes an event that needs an operator."""
    LOGGER.error({"message": event, **fields})
