"""Interface of the platform's append-only log."""

import dataclasses
from typing import Protocol

from twisted.internet.defer import Deferred

CONFIG_STREAM = "config"
DUTIES_STREAM = "duties"
SNAPSHOTS_STREAM = "snapshots"
NEWEST_RECORD = -1


def claims_stream(service: str) -> str:
    """Names the stream of idempotency claims of a service."""
    return f"claims.{service}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RawRecord:
    """A record as the log keeps it."""

    offset: int
    body: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """The answer to a read.

    Attributes:
        records: Records in order of their offsets, without gaps.
        first: Offset of the oldest record still kept.
        next_offset: Offset that the next append will get.
    """

    records: tuple[RawRecord, ...]
    first: int
    next_offset: int


class LogService(Protocol):
    """An append-only service with offsets."""

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
            start: First offset wanted, or `NEWEST_RECORD` for the newest record.
            limit: Most records to return.
            wait_ms: How long the service may wait for a first record.

        Returns:
            Deferred of a `Batch`; fails with `UnavailableError` or
            `ExpiredError`.
        """
