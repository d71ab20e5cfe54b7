"""Tails a stream of the log by long polls."""

from collections.abc import Callable
from random import Random

from twisted.internet.defer import CancelledError

from fulmarrudder.clock import Clock
from fulmarrudder.log.backoff import Backoff
from fulmarrudder.log.errors import ExpiredError, UnavailableError
from fulmarrudder.log.service import NEWEST_RECORD, Batch, LogService

READ_LIMIT_RECORDS = 500
LONG_POLL_MS = 2_000
POLL_PAUSE_S = 0.02
RETRY_BASE_DELAY_S = 0.1
RETRY_MAX_DELAY_S = 2.0


class Tail:
    """Reads a stream from an offset on until stopped.

    Attributes:
        next_offset: Offset of the next record to read.
        available: Whether the latest read succeeded.
        last_answer_at: Clock seconds at which a read last succeeded.
        reading: Deferred of the current read, or None.
        next_read: Scheduled call of the next read, or None.
    """

    def __init__(
        self,
        log: LogService,
        stream: str,
        clock: Clock,
        rng: Random,
        *,
        on_batch: Callable[[Batch], None],
        on_expired: Callable[[int], None],
    ):
        self.log = log
        self.stream = stream
        self.clock = clock
        self.on_batch = on_batch
        self.on_expired = on_expired
        self.backoff = Backoff(
            base_delay_s=RETRY_BASE_DELAY_S,
            max_delay_s=RETRY_MAX_DELAY_S,
            rng=rng,
        )
        self.next_offset = 0
        self.available = False
        self.last_answer_at = clock.seconds()
        self.reading = None
        self.next_read = None

    @property
    def running(self) -> bool:
        """Whether a read is in progress or scheduled."""
        return self.reading is not None or self.next_read is not None

    def start(self, next_offset: int) -> None:
        """Starts reading at an offset; does nothing while running."""
        if self.running:
            return
        self.next_offset = next_offset
        self._read()

    def stop(self) -> None:
        """Stops reading."""
        if self.next_read is not None and self.next_read.active():
            self.next_read.cancel()
        self.next_read = None
        reading, self.reading = self.reading, None
        if reading is not None:
            reading.cancel()

    def _read(self) -> None:
        self.next_read = None
        reading = self.log.read(
            self.stream,
            start=self.next_offset,
            limit=READ_LIMIT_RECORDS,
            wait_ms=LONG_POLL_MS,
        )
        self.reading = reading
        reading.addCallbacks(self._read_succeeded, self._read_failed)
        reading.addErrback(lambda failure: failure.trap(CancelledError))

    def _read_succeeded(self, batch: Batch) -> None:
        if self.reading is None:
            return
        self.reading = None
        self.available = True
        self.last_answer_at = self.clock.seconds()
        self.backoff.reset()
        if batch.records:
            self.next_offset = batch.records[-1].offset + 1
        elif self.next_offset == NEWEST_RECORD:
            self.next_offset = batch.next_offset
        delay = 0.0 if batch.records else POLL_PAUSE_S
        self.next_read = self.clock.callLater(delay, self._read)
        self.on_batch(batch)

    def _read_failed(self, failure):
        error = failure.check(UnavailableError, ExpiredError, CancelledError)
        if self.reading is None or error is CancelledError:
            return None
        self.reading = None
        self.available = False
        delay = self.backoff.next_delay()
        self.next_read = self.clock.callLater(delay, self._read)
        if error is ExpiredError:
            self.on_expired(failure.value.oldest_offset)
        # An error of another kind is recorded by the supervisor.
        return None if error else failure
