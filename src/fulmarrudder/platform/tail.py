"""Tails a compacted topic of the store by long polls."""

import dataclasses
import random
from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.internet.task import deferLater

from fulmarrudder.clock import Clock
from fulmarrudder.log import Backoff
from fulmarrudder.node.supervisor import ignore
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import (
    EraError,
    ExpiredError,
    StoreError,
    StoreRejectedError,
    StoreUnavailableError,
)
from fulmarrudder.platform.rewrites import AWAIT_S, Rewrites, Standing
from fulmarrudder.platform.store import (
    KeyedRecord,
    RecordBatch,
    StoreClient,
)

# How long a page of the latest records may take on a slow link.
SLOW_PAGE_TIMEOUT_S = 5.0
# How long a read waits for a record, as a fraction of the time within which a
# version is due: a read that begins while a record is appended may wait for all of
# it.
POLL_FRACTION = 0.5
# Longest pause after a read that returned records, so that records written in
# quick succession are read together.
BATCH_PAUSE_S = 0.4
# Waits and pauses are drawn from this fraction of their limit up to the limit,
# so that the reads of all nodes do not begin at the same moment.
MIN_WAIT_FRACTION = 0.6
RETRY_BASE_DELAY_S = 0.1
RETRY_MAX_DELAY_S = 1.0
RETRY_MIN_DELAY_S = 0.05


class Tail:
    """Reads the latest record of each key, then all records that follow.

    Attributes:
        topic: Name of the topic.
        on_record: Called with each record.
        on_moved: Called with the latest record of a key when it has another
            position, as the store has come back from an older copy.
        on_answer: Called after the records of an answer were passed on, with
            the offset from which was read, -1 for the latest ones.
        reads_from: Returns the clock seconds from which this node reads; until
            then others tell it what they have read.
        poll_s: How long a read waits.
        next_offset: Offset of the next record; -1 to read the latest record of
            each key first.
        offsets: Offset of the latest record passed on, by key.
        available: Whether the store answered the latest call.
        received_records: Whether the latest answer contained records.
        receiving: Whether records are arriving, or were asked for without a
            wait.
        waiting: The read that waits for a record, or the wait until this node
            reads; None if there is neither.
        is_refreshing: Whether that was cancelled to begin a read.
        is_due: Whether records may have been missed, so that the next read
            does not wait.
        lags: Whether records were replaced by later ones before they were
            read, so that only the latest ones are read next.
        rewrites: Tells which records are awaited after the store has come back
            from an older copy.
        reads_all: Whether the records that are passed on are those of the first
            read, or of the first one in an era.
        due_timer: Ends the awaiting; None before the first time.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        clock: Clock,
        rng: random.Random,
        topic: str,
        on_record: Callable[[KeyedRecord], None],
        on_answer: Callable[[int, RecordBatch], None],
        reads_from: Callable[[], float],
        due_s: float,
        max_retry_s: Callable[[], float] = lambda: RETRY_MAX_DELAY_S,
        versioned_keys: frozenset[str] = frozenset(),
        on_moved: Callable[[KeyedRecord], None] = ignore,
    ):
        """Builds a tail.

        Args:
            store: Client of the store.
            clock: Clock for pauses.
            rng: Random numbers for pauses and waits.
            topic: Name of the topic.
            on_record: See `Tail`.
            on_answer: See `Tail`.
            reads_from: See `Tail`.
            due_s: Seconds within which a record takes effect everywhere.
            max_retry_s: Returns the longest pause after a failed read.
            versioned_keys: Keys whose values tell themselves which is later.
            on_moved: See `Tail`.
        """
        self.store = store
        self.clock = clock
        self.topic = topic
        self.on_record = on_record
        self.on_answer = on_answer
        self.on_moved = on_moved
        self.reads_from = reads_from
        self.max_retry_s = max_retry_s
        self.poll_s = POLL_FRACTION * due_s
        self.rng = rng
        self.next_offset = -1
        self.offsets: dict[str, int] = {}
        self.available = False
        self.received_records = False
        self.paused_s = 0.0
        self.receiving = False
        self.waiting: Deferred | None = None
        self.is_refreshing = False
        self.is_due = False
        self.lags = False
        self.rewrites = Rewrites(clock, versioned_keys)
        self.reads_all = False
        self.due_timer = None
        self.backoff = Backoff(
            base_delay_s=RETRY_BASE_DELAY_S,
            max_delay_s=max_retry_s(),
            rng=rng,
        )

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            if await self._rest():
                continue
            started_at = self.clock.seconds()
            try:
                await self._read_once()
            except EraError as error:
                logs.info("store-read-void", topic=self.topic, detail=error)
                await deferLater(self.clock, self.backoff.next_delay())
            except ExpiredError:
                logs.info("store-records-expired", topic=self.topic)
                self.next_offset = -1
                await deferLater(self.clock, self.backoff.next_delay())
            except StoreError as error:
                self._mark_unavailable(error)
                self.backoff.max_delay_s = self.max_retry_s()
                # What the read has waited counts, or the end of a cut would be
                # noticed late.
                waited_s = self.clock.seconds() - started_at
                delay_s = self.backoff.next_delay() - waited_s
                await deferLater(self.clock, max(RETRY_MIN_DELAY_S, delay_s))
            else:
                self._mark_available()
                if self.received_records:
                    self.paused_s = self._draw(BATCH_PAUSE_S)
                    await deferLater(self.clock, self.paused_s)

    async def catch_up(self) -> None:
        """Reads all records that were written before the call.

        Raises:
            StoreError: The store is unavailable or rejects a call.
        """
        while await self._read_batch(wait_s=0.0):
            continue

    def refresh(self) -> None:
        """Begins a read afresh, unless the answer to one is arriving.

        Records that were written before are in the answer to the new one. One
        read at a time: copies of large records would delay each other.
        """
        if self.waiting is not None:
            self.is_due = True
            self.is_refreshing = True
            self.waiting.cancel()

    def enter_era(self) -> None:
        """Handles that the store has come back from an older copy.

        All keys are read now, and once more when what is awaited is due.
        """
        self.rewrites.enter_era()
        self._read_all()
        if self.due_timer is not None and self.due_timer.active():
            self.due_timer.cancel()
        self.due_timer = self.clock.callLater(AWAIT_S, self._stop_awaiting)

    def is_in_doubt(self) -> bool:
        """Returns whether a record passed on now may have been known before.

        It may after a start, and after the store has come back from an older
        copy.
        """
        return self.reads_all or self.rewrites.is_awaiting()

    def _stop_awaiting(self) -> None:
        self.rewrites.stop_awaiting()
        if self.rewrites.awaited:
            logs.info(
                "store-records-due",
                topic=self.topic,
                keys=" ".join(sorted(self.rewrites.awaited)),
            )
            self._read_all()

    def _read_all(self) -> None:
        self.next_offset = -1
        self.is_due = self.lags = False
        if self.waiting is not None:
            self.is_refreshing = True
            self.waiting.cancel()

    def pass_on(self, record: KeyedRecord) -> bool:
        """Passes a record on unless it, or a later one of its key, was.

        Returns:
            Whether it is later than what was passed on.
        """
        # Records may be read twice, and an older one after a newer one.
        if 0 <= record.offset <= self.offsets.get(record.key, -1):
            return False
        standing = self.rewrites.standing_of(record)
        if standing is Standing.AWAITED:
            return True
        self.offsets[record.key] = record.offset
        if standing is Standing.KNOWN:
            self.on_moved(record)
            return True
        self.rewrites.passed(record)
        self.on_record(record)
        return True

    def learn(self, key: str, offset: int) -> None:
        """Handles that a key's record, up to an offset, is known from others.

        The read of the latest records then notices that it was deleted.
        """
        self.offsets[key] = max(offset, self.offsets.get(key, -1))

    def follow(self, end: int) -> None:
        """Handles that all records before an offset are known from others."""
        self.next_offset = max(self.next_offset, end)
        self.is_due = False

    async def _rest(self) -> bool:
        """Waits while others tell what they read; returns whether it did."""
        rest_s = self.reads_from() - self.clock.seconds()
        if self.next_offset < 0 or self.is_due or rest_s <= 0.0:
            return False
        self.is_refreshing = False
        self.waiting = deferLater(self.clock, rest_s)
        try:
            await self.waiting
        except CancelledError:
            if not self.is_refreshing:
                raise
            self.is_refreshing = False
        finally:
            self.waiting = None
        # Nobody has told of a record meanwhile.
        self.is_due = self.is_due or self.clock.seconds() >= self.reads_from()
        return True

    async def _read_once(self) -> None:
        self.received_records = False
        if not self.available and self.next_offset >= 0:
            await self._read_missed()
            return
        wait_s = self._draw(self.poll_s) - self.paused_s
        self.paused_s = 0.0
        try:
            self.received_records = await self._read_batch(
                0.0 if self.is_due else max(0.0, wait_s)
            )
        except CancelledError:
            if not self.is_refreshing:
                raise
            self.is_refreshing = False
        else:
            self.is_due = False

    async def _read_missed(self) -> None:
        """Reads what was written while the store did not answer.

        The end of the topic is asked for first: it is a small response, so that
        it tells soon whether the store answers, on a slow link as well.
        """
        try:
            missed = await self.store.read_end(self.topic) - self.next_offset
        except StoreRejectedError as error:
            logs.warning("store-end-unknown", topic=self.topic, detail=error)
        else:
            if missed <= 0:
                self.is_due = False
                self.on_answer(
                    self.next_offset,
                    RecordBatch(records=(), next_offset=self.next_offset),
                )
                return
            self.lags = missed > 1
        self.received_records = await self._read_batch(wait_s=0.0)
        self.is_due = False

    def _draw(self, limit_s: float) -> float:
        return self.rng.uniform(MIN_WAIT_FRACTION * limit_s, limit_s)

    async def _read_batch(self, wait_s: float) -> bool:
        """Passes on the records that follow; returns whether there were any."""
        self.receiving = True
        began_at = self.next_offset
        try:
            batch = await self._next_batch(wait_s)
        finally:
            self.receiving = False
        start = self.next_offset
        # All keys are to be read since, which this answer does not tell.
        is_overtaken = start < 0 <= began_at
        if is_overtaken:
            start = began_at
        batch = self._with_deletions(batch)
        # Skip records that a later record of the same key replaces.
        latest = {record.key: record for record in batch.records}
        self.reads_all = start < 0
        passed = sum(self.pass_on(record) for record in latest.values())
        self.reads_all = False
        written = batch.next_offset - start
        self.lags = start >= 0 and written > passed
        # Another read may have come further meanwhile.
        if not is_overtaken:
            self.next_offset = max(start, batch.next_offset)
        self.on_answer(start, batch)
        return bool(batch.records)

    def _with_deletions(self, batch: RecordBatch) -> RecordBatch:
        """Adds the deletions of keys that are no longer among the latest records.

        The store tells no record of a key that was deleted.
        """
        if not batch.is_latest:
            return batch
        present = {record.key for record in batch.records}
        absent = [
            key
            for key, offset in self.offsets.items()
            if key not in present and offset < batch.next_offset
        ]
        if self.rewrites.is_awaiting():
            self.rewrites.wait_for(absent)
            return batch
        deletions = tuple(
            KeyedRecord(key=key, value=None, offset=batch.next_offset - 1)
            for key in absent
            if not self._is_awaited_by_others(key, batch.next_offset)
        )
        return dataclasses.replace(batch, records=batch.records + deletions)

    def _is_awaited_by_others(self, key: str, end: int) -> bool:
        """Returns whether a node that has just started lets a key wait.

        The copy may lack what others have told of in an earlier era, and what
        they still wait for.
        """
        if not self.rewrites.is_only_told(key, self.offsets[key], end):
            return False
        if self.due_timer is None:
            self.due_timer = self.clock.callLater(AWAIT_S, self._stop_awaiting)
        if not self.due_timer.active():
            return False
        self.rewrites.awaited.add(key)
        return True

    async def _next_batch(self, wait_s: float) -> RecordBatch:
        if self.next_offset < 0:
            return await self.store.read_latest(self.topic)
        if self.lags:
            # As long as a read may take: the link is slow.
            return await self.store.read_latest(
                self.topic, timeout_s=SLOW_PAGE_TIMEOUT_S
            )
        if not wait_s:
            return await self.store.read(self.topic, self.next_offset, wait_s)
        return await self._wait_for_records(wait_s)

    async def _wait_for_records(self, wait_s: float) -> RecordBatch:
        self.receiving = False
        # The cancelled read may have ended with an error of its own.
        self.is_refreshing = False
        self.waiting = ensureDeferred(
            self.store.read(
                self.topic,
                self.next_offset,
                wait_s,
                on_head=self._mark_receiving,
            )
        )
        try:
            return await self.waiting
        finally:
            self.waiting = None

    def _mark_receiving(self) -> None:
        self.receiving = True
        self.waiting = None

    def _mark_unavailable(self, error: StoreError) -> None:
        if self.available or not self.backoff.failures:
            reason = (
                "unavailable"
                if isinstance(error, StoreUnavailableError)
                else "rejected"
            )
            logs.warning(
                "store-call-failed",
                topic=self.topic,
                reason=reason,
                detail=error,
            )
        self.available = False

    def _mark_available(self) -> None:
        if not self.available:
            logs.info(
                "store-recovered", topic=self.topic, offset=self.next_offset
            )
        self.available = True
        self.backoff.reset()
