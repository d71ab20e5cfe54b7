"""Reads the configuration from the log: a snapshot, then later records."""

import random

from twisted.internet.defer import ensureDeferred

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.state_store import StateStore
from fulmarrudder.log import (
    CONFIG_STREAM,
    NEWEST_RECORD,
    SNAPSHOTS_STREAM,
    Batch,
    ExpiredError,
    LogService,
    Tail,
    UnavailableError,
)
from fulmarrudder.log.snapshot import decode_state
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import OffsetGapError

RETRY_DELAY_S = 0.5


class ConfigReader:
    """Applies the configuration stream to the state store.

    Only relays, and nodes without a parent, read the log; all others receive
    their configuration from their parent.

    Attributes:
        tail: Reads the configuration stream.
        enabled: Whether this node reads the log.
        restoring: Whether a snapshot is being read.
    """

    def __init__(
        self,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        state_store: StateStore,
    ):
        self.log = log
        self.clock = clock
        self.state_store = state_store
        self.enabled = False
        self.restoring = False
        self.tail = Tail(
            log,
            CONFIG_STREAM,
            clock,
            rng,
            on_batch=self._on_batch,
            on_expired=self._on_expired,
        )

    @property
    def available(self) -> bool:
        """Whether the log answers this node's requests."""
        return self.tail.available

    def start(self) -> None:
        """Starts to read after the last applied record, or from a snapshot."""
        if self.enabled:
            return
        self.enabled = True
        if self.state_store.state.offset >= 0:
            self.tail.start(self.state_store.state.offset + 1)
            return
        self._start_from_snapshot()

    def stop(self) -> None:
        """Stops reading."""
        self.enabled = False
        self.tail.stop()

    def _start_from_snapshot(self) -> None:
        if self.restoring or not self.enabled:
            return
        self.restoring = True
        restoring = ensureDeferred(self._restore_snapshot())
        restoring.addErrback(self._restore_failed)

    def _restore_failed(self, failure):
        self.restoring = False
        self.clock.callLater(RETRY_DELAY_S, self._start_from_snapshot)
        # The supervisor records it.
        return failure

    async def _restore_snapshot(self) -> None:
        try:
            batch = await self.log.read(
                SNAPSHOTS_STREAM, start=NEWEST_RECORD, limit=1, wait_ms=0
            )
            self._apply_snapshot(batch)
        except ExpiredError:
            pass
        except UnavailableError:
            self.restoring = False
            self.clock.callLater(RETRY_DELAY_S, self._start_from_snapshot)
            return
        self.restoring = False
        if self.enabled:
            self.tail.start(self.state_store.state.offset + 1)

    def _apply_snapshot(self, batch: Batch) -> None:
        for raw in batch.records:
            decoded = decode_state(raw.body)
            if decoded.is_error():
                logs.error("snapshot-unreadable", offset=raw.offset)
                continue
            if self.state_store.apply_snapshot(decoded.ok):
                logs.info("snapshot-applied", offset=decoded.ok.offset)

    def _on_batch(self, batch: Batch) -> None:
        try:
            self.state_store.apply_records(batch.records)
        except OffsetGapError as error:
            logs.warning("log-gap", detail=error)
            self.tail.next_offset = self.state_store.state.offset + 1
            return
        applied_offset = self.state_store.state.offset
        self.tail.next_offset = max(self.tail.next_offset, applied_offset + 1)
        if applied_offset + 1 >= batch.next_offset:
            self.state_store.mark_synced()

    def _on_expired(self, oldest_offset: int) -> None:
        logs.warning("log-expired", first=oldest_offset)
        applied_offset = self.state_store.state.offset
        if applied_offset + 1 >= oldest_offset:
            self.tail.next_offset = applied_offset + 1
            return
        self.tail.stop()
        self.clock.callLater(RETRY_DELAY_S, self._start_from_snapshot)
