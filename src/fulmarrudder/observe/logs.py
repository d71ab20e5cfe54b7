"""Structured logs: one line of key=value pairs for each event."""

import json
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOGGER = logging.getLogger("fulmarrudder")
_FIELD_NAMES = {"asctime": "time", "levelname": "level", "message": "event"}
# Rate and burst of the lines that a node writes about individual calls. The
# rate is about 2 KB a second, which costs little compared to the calls.
CALL_LINES_PER_S = 8.0
MAX_BURST_LINES = 40.0
_UNQUOTED_CHARS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@,T"
)


def _serialize(record: dict, **_) -> str:
    return " ".join(
        f"{key}={_format_value(value)}" for key, value in record.items()
    )


def _format_value(value) -> str:
    text = value if isinstance(value, str) else str(value)
    if text and all(char in _UNQUOTED_CHARS for char in text):
        return text
    return json.dumps(text)


def setup(level: str, **static_fields: str) -> None:
    """Configures logging to standard error.

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
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    LOGGER.handlers = [handler]
    LOGGER.setLevel(level.upper())
    LOGGER.propagate = False


class RateLimitedLog:
    """Writes events about individual calls at a limited rate.

    A token bucket sets the rate, so that the log is never the bottleneck under
    load. Lines over the limit are counted, and the count is logged before the
    next line that is written.

    Attributes:
        tokens: Lines that may be written now.
        refilled_at: Monotonic seconds of the last refill.
        dropped: Lines dropped since the last one written.
    """

    __slots__ = ("dropped", "refilled_at", "tokens")

    def __init__(self):
        self.tokens = MAX_BURST_LINES
        self.refilled_at = 0.0
        self.dropped = 0

    def info(self, now: float, event: str, **fields) -> None:
        """Writes an event unless that exceeds the rate limit.

        Args:
            now: Monotonic seconds.
            event: Name of the event.
            **fields: Fields of the event.
        """
        if self.allow(now):
            self.write(event, **fields)

    def allow(self, now: float) -> bool:
        """Returns whether an event may be written; counts it as dropped if not.

        Args:
            now: Monotonic seconds.
        """
        gained = (now - self.refilled_at) * CALL_LINES_PER_S
        self.tokens = min(MAX_BURST_LINES, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return False
        return True

    def write(self, event: str, **fields) -> None:
        """Writes an event for which `allow` has returned True."""
        self.tokens -= 1
        if self.dropped:
            info("lines-dropped", count=self.dropped)
            self.dropped = 0
        info(event, **fields)


def info(event: str, **fields) -> None:
    """Writes an event of normal operation."""
    LOGGER.info({"message": event, **fields})


def warning(event: str, **fields) -> None:
    """Writes an event that an operator may want to investigate."""
    LOGGER.warning({"message": event, **fields})


def error(event: str, **fields) -> None:
    """Writes an event that needs an operator's attention."""
    LOGGER.error({"message": event, **fields})
