"""Appends snapshots of the replicated state before records expire."""

from collections.abc import Coroutine

from fulmarrudder.clock import Clock
from fulmarrudder.log import (
    NEWEST_RECORD,
    SNAPSHOTS_STREAM,
    ExpiredError,
    LogService,
    UnavailableError,
)
from fulmarrudder.log.snapshot import decode_state, encode_state
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import State

SNAPSHOT_INTERVAL_RECORDS = 200
SNAPSHOT_INTERVAL_S = 1800.0


class SnapshotWriter:
    """Appends a snapshot after enough new records, or after enough time.

    Without new records there is no new snapshot.

    Attributes:
        offset: Offset of the newest snapshot's state, or None until it has
            been read; -1 if there is no snapshot.
        next_due: Clock seconds from which a snapshot is due after any new
            record.
    """

    def __init__(self, log: LogService, clock: Clock):
        self.log = log
        self.clock = clock
        self.offset: int | None = None
        self.next_due = clock.seconds() + SNAPSHOT_INTERVAL_S

    def tick(self, state: State) -> Coroutine | None:
        """Appends a snapshot when one is due.

        Args:
            state: The replicated state.

        Returns:
            The coroutine that does, which ends before the next tick, or None.
        """
        if state.offset < 0:
            return None
        if self.offset is None:
            return self._find_newest()
        new_records = state.offset - self.offset
        is_overdue = new_records > 0 and self.clock.seconds() >= self.next_due
        if new_records >= SNAPSHOT_INTERVAL_RECORDS or is_overdue:
            return self._append(state)
        return None

    async def _find_newest(self) -> None:
        try:
            batch = await self.log.read(
                SNAPSHOTS_STREAM, start=NEWEST_RECORD, limit=1, wait_ms=0
            )
        except (UnavailableError, ExpiredError):
            return
        self.offset = -1
        for raw in batch.records:
            decoded = decode_state(raw.body)
            if decoded.is_ok():
                self.offset = decoded.ok.offset

    async def _append(self, state: State) -> None:
        try:
            await self.log.append(SNAPSHOTS_STREAM, (encode_state(state),))
        except UnavailableError:
            return
        self.offset = state.offset
        self.next_due = self.clock.seconds() + SNAPSHOT_INTERVAL_S
        logs.info("snapshot-appended", offset=state.offset)
