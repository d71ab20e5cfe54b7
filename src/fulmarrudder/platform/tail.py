"""Tails a topic of the store that keeps the newest record of each key."""

import random
from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.task import deferLater

from fulmarrudder.clock import Clock
from fulmarrudder.log import Backoff
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import (
    ExpiredError,
    StoreError,
    StoreUnavailableError,
)
from fulmarrudder.platform.store import KeyedRecord, StoreClient

# A read waits this long for a record: a store that has gone silent is noticed
# soon after, and waiting costs the store next to nothing.
WAIT_S = 5.0
# Records that follow each other closely are read together.
PAUSE_S = 0.4
RETRY_BASE_S = 0.1
RETRY_LIMIT_S = 1.0


class Tail:
    """Reads a topic from its newest records on, for as long as it runs.

    Attributes:
        topic: The topic.
        next_offset: Offset of the next record; -1 before the first answer.
        available: Whether the store answered the latest call.
        received_records: Whether the latest answer held records.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        clock: Clock,
        rng: random.Random,
        topic: str,
        on_record: Callable[[KeyedRecord], None],
    ):
        self.store = store
        self.clock = clock
        self.topic = topic
        self.on_record = on_record
        self.next_offset = -1
        self.available = False
        self.received_records = False
        self.backoff = Backoff(
            base_delay_s=RETRY_BASE_S, max_delay_s=RETRY_LIMIT_S, rng=rng
        )
        self.running: Deferred | None = None

    def start(self) -> None:
        """Starts to read."""
        self.running = ensureDeferred(self._run())
        self.running.addErrback(self._ended)

    def stop(self) -> None:
        """Stops reading."""
        if self.running is not None:
            self.running.cancel()

    def _ended(self, failure) -> None:
        if failure.check(CancelledError) is None:
            logs.error("tail-failed", detail=failure.getTraceback())

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except ExpiredError:
                logs.info("store-history-gone", topic=self.topic)
                self.next_offset = -1
            except StoreError as error:
                self._note_away(error)
                await deferLater(self.clock, self.backoff.next_delay())
            else:
                self._note_back()
                if self.received_records:
                    await deferLater(self.clock, PAUSE_S)

    async def _step(self) -> None:
        if self.next_offset < 0:
            found = await self.store.read_latest(self.topic)
        else:
            found = await self.store.read(self.topic, self.next_offset, WAIT_S)
        # What a later record of the same key replaces is not worth reading.
        newest = {record.key: record for record in found.records}
        for record in newest.values():
            self.on_record(record)
        self.next_offset = found.end
        self.received_records = bool(found.records)

    def _note_away(self, error: StoreError) -> None:
        if self.available or not self.backoff.failures:
            kind = (
                "away"
                if isinstance(error, StoreUnavailableError)
                else "refuses"
            )
            logs.warning("store-lost", topic=self.topic, why=kind, detail=error)
        self.available = False

    def _note_back(self) -> None:
        if not self.available:
            logs.info("store-back", topic=self.topic, offset=self.next_offset)
        self.available = True
        self.backoff.reset()
