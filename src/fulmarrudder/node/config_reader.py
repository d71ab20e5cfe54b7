"""Feeds the holder from the log: newest snapshot, then the tail."""

import random

from twisted.internet.defer import ensureDeferred

from fulmarrudder.clock import Clock
from fulmarrudder.distribution import StateStore
from fulmarrudder.log import (
    CONFIG_STREAM,
    NEWEST_RECORD,
    SNAPSHOTS_STREAM,
    Batch,
    ExpiredError,
    LogService,
    Tail,
    UnavailableError,
    decode_state,
)
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import OffsetGapError

RETRY_S = 0.5


class ConfigReader:
    """Reads the configuration stream while this node needs it.

    Attributes:
        tail: Reads the stream.
        enabled: Whether this node reads the log now.
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
        self.starting = False
        self.tail = Tail(
            log,
            CONFIG_STREAM,
            clock,
            rng,
            on_batch=self._took,
            on_expired=self._expired,
        )

    @property
    def available(self) -> bool:
        """Whether the log answers this node."""
        return self.tail.available

    def start(self) -> None:
        """Reads from now on."""
        if self.enabled:
            return
        self.enabled = True
        if self.state_store.state.offset >= 0:
            self.tail.start(self.state_store.state.offset + 1)
            return
        self._start_anew()

    def stop(self) -> None:
        """Reads no longer."""
        self.enabled = False
        self.tail.stop()

    def _start_anew(self) -> None:
        if self.starting or not self.enabled:
            return
        self.starting = True
        ensureDeferred(self._from_snapshot())

    async def _from_snapshot(self) -> None:
        try:
            batch = await self.log.read(
                SNAPSHOTS_STREAM, start=NEWEST_RECORD, limit=1, wait_ms=0
            )
            self._take_snapshot(batch)
        except ExpiredError:
            pass
        except UnavailableError:
            self.starting = False
            self.clock.callLater(RETRY_S, self._start_anew)
            return
        self.starting = False
        if self.enabled:
            self.tail.start(self.state_store.state.offset + 1)

    def _take_snapshot(self, batch: Batch) -> None:
        for raw in batch.records:
            decoded = decode_state(raw.body)
            if decoded.is_error():
                logs.error("snapshot-unreadable", offset=raw.offset)
                continue
            if self.state_store.apply_snapshot(decoded.ok):
                logs.info("snapshot-taken", offset=decoded.ok.offset)

    def _took(self, batch: Batch) -> None:
        try:
            self.state_store.apply_records(batch.records)
        except OffsetGapError as error:
            logs.warning("log-gap", detail=error)
            self.tail.next_offset = self.state_store.state.offset + 1
            return
        held = self.state_store.state.offset
        self.tail.next_offset = max(self.tail.next_offset, held + 1)
        if held + 1 >= batch.next_offset:
            self.state_store.mark_synced()

    def _expired(self, first: int) -> None:
        logs.warning("log-expired", first=first)
        held = self.state_store.state.offset
        if held + 1 >= first:
            self.tail.next_offset = held + 1
            return
        self.tail.stop()
        self.clock.callLater(RETRY_S, self._start_anew)
