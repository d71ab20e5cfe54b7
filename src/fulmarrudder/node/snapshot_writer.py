"""Appends snapshots of the folded state before records expire."""

from twisted.internet.defer import ensureDeferred

from fulmarrudder.clock import Clock
from fulmarrudder.log import (
    NEWEST_RECORD,
    SNAPSHOTS_STREAM,
    ExpiredError,
    LogService,
    UnavailableError,
    decode_state,
    encode_state,
)
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import State

EVERY_RECORDS = 200
EVERY_S = 1800.0


class SnapshotWriter:
    """Keeps a snapshot in the log that is not too old.

    Attributes:
        offset: Offset of the newest snapshot's state, once it is known.
        due: Clock seconds at which one is due even after few records.
    """

    def __init__(self, log: LogService, clock: Clock):
        self.log = log
        self.clock = clock
        self.offset: int | None = None
        self.due = clock.seconds() + EVERY_S
        self.busy = False

    def tick(self, state: State) -> None:
        """Appends a snapshot when one is due.

        Args:
            state: The folded state.
        """
        if self.busy or state.offset < 0:
            return
        if self.offset is None:
            self._start(self._find())
            return
        new = state.offset - self.offset
        late = new > 0 and self.clock.seconds() >= self.due
        if new >= EVERY_RECORDS or late:
            self._start(self._append(state))

    def _start(self, work) -> None:
        self.busy = True
        ensureDeferred(work)

    async def _find(self) -> None:
        try:
            batch = await self.log.read(
                SNAPSHOTS_STREAM, start=NEWEST_RECORD, limit=1, wait_ms=0
            )
        except (UnavailableError, ExpiredError):
            self.busy = False
            return
        self.offset = -1
        for raw in batch.records:
            decoded = decode_state(raw.body)
            if decoded.is_ok():
                self.offset = decoded.ok.offset
        self.busy = False

    async def _append(self, state: State) -> None:
        try:
            await self.log.append(SNAPSHOTS_STREAM, (encode_state(state),))
        except UnavailableError:
            self.busy = False
            return
        self.offset = state.offset
        self.due = self.clock.seconds() + EVERY_S
        self.busy = False
        logs.info("snapshot-appended", offset=state.offset)
