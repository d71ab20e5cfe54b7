"""Interface of the append-only log service."""

import dataclasses
from typing import Protocol

from twisted.internet.defer import Deferred

CONFIG_STREAM = "config"
DUTIES_STREAM = "duties"
SNAPSHOTS_STREAM = "snapshots"
NEWEST_RECORD = -1


def claims_stream(service: str) -> str:
    """Returns the name of the stream of a service's idempotency claims."""
    return f"claims.{service}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RawRecord:
    """A record as stored in the log."""

    offset: int
    body: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """Result of a read.

    Attributes:
        records: Records with consecutive offsets.
        oldest_offset: Offset of the oldest record that is kept.
        next_offset: Offset of the next record to be appended.
    """

    records: tuple[RawRecord, ...]
    oldest_offset: int
    next_offset: int


class LogService(Protocol):
    """Client of a service with append-only streams of records."""

    def append(self, stream: str, bodies: tuple[str, ...]) -> Deferred:
        """Appends bodies as consecutive records.

        Args:
            stream: Name of the stream.
            bodies: Bodies of the records.

        Returns:
            Deferred of the first record's offset; fails with
            `UnavailableError`, after which the append may have taken effect.
        """

    def read(
        self, stream: str, *, start: int, limit: int, wait_ms: int
    ) -> Deferred:
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            start: Offset of the first record, or `NEWEST_RECORD` to read only
                the newest one.
            limit: Maximum number of records.
            wait_ms: How long the service may wait for a record when there is
                none.

        Returns:
            Deferred of a `Batch`; fails with `UnavailableError` or
            `ExpiredError`.
        """
