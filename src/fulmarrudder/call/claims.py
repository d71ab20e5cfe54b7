"""Claims of idempotency keys, stored in the platform's log.

A claim is appended before its request runs. The request runs only if the
stream, read back up to that record, shows that the claim is the key's first.
The decision never relies on local state alone, so a node that was restarted or
paused decides like any other.
"""

import collections
import dataclasses
import uuid

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    TimeoutError,
    inlineCallbacks,
    maybeDeferred,
)
from twisted.internet.task import deferLater

from fulmarrudder.call.claim_index import ClaimIndex, KeyEntry
from fulmarrudder.clock import Clock
from fulmarrudder.log import (
    Backoff,
    Envelope,
    ExpiredError,
    LogService,
    UnavailableError,
    claims_stream,
    decode_envelope,
    encode_envelope,
)
from fulmarrudder.model import ClaimKey, KeyRecordBody, ReleaseKey, SettleKey
from fulmarrudder.observe import logs

READ_LIMIT_RECORDS = 500
SETTLEMENT_READ_WAIT_MS = 500
SETTLEMENT_POLL_S = 0.05
REPLY_MARGIN_S = 0.1
BATCH_WINDOW_S = 0.002
BATCH_LIMIT_RECORDS = 200
RETRY_BASE_DELAY_S = 0.05
RETRY_MAX_DELAY_S = 2.0
CLAIM_TIMEOUT_S = 3.0
BACKLOG_LIMIT_RECORDS = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Acquired:
    """This claim is the key's first; the request may run."""

    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """The request ran before; its answer is stored."""

    answer: SettleKey


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pending:
    """Another claim holds the key; whether its request ran is unknown."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reused:
    """The key was claimed by a different request."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable:
    """The log did not confirm the claim in time; nothing ran."""


ClaimResult = Acquired | Settled | Pending | Reused | Unavailable


class _BatchWriter:
    """Appends to one stream in batches."""

    def __init__(self, log: LogService, stream: str, clock: Clock):
        self.log = log
        self.stream = stream
        self.clock = clock
        self.queue: list = []
        self.flush_timer = None

    def append(self, text: str) -> Deferred:
        done: Deferred = Deferred()
        self.queue.append((text, done))
        if self.flush_timer is None:
            self.flush_timer = self.clock.callLater(BATCH_WINDOW_S, self._flush)
        return done

    def _flush(self) -> None:
        self.flush_timer = None
        batch = self.queue[:BATCH_LIMIT_RECORDS]
        del self.queue[:BATCH_LIMIT_RECORDS]
        if self.queue:
            self.flush_timer = self.clock.callLater(0, self._flush)
        texts = tuple(text for text, _ in batch)
        # What the client of the log raises must not leave the batch waiting.
        appending = maybeDeferred(lambda: self.log.append(self.stream, texts))
        appending.addCallbacks(
            lambda first: self._appended(batch, first),
            lambda failure: self._failed(batch, failure),
        )

    def _appended(self, batch, first: int) -> None:
        for index, (_, done) in enumerate(batch):
            if not done.called:
                done.callback(first + index)

    def _failed(self, batch, failure) -> None:
        for _, done in batch:
            if not done.called:
                done.errback(failure)


class Claims:
    """Claims idempotency keys of one service.

    Attributes:
        index: State of the stream as far as it has been read.
        backlog: Settlements and releases that are not in the log yet.
    """

    def __init__(self, log: LogService, service: str, clock: Clock, rng):
        self.log = log
        self.stream = claims_stream(service)
        self.clock = clock
        self.rng = rng
        self.index = ClaimIndex()
        self.writer = _BatchWriter(log, self.stream, clock)
        self.backlog: collections.OrderedDict[str, KeyRecordBody] = (
            collections.OrderedDict()
        )
        self.sending = False
        self.reading: Deferred | None = None

    async def claim(
        self, key: str, fingerprint: str, deadline: float
    ) -> ClaimResult:
        """Claims a key before its request runs.

        Args:
            key: The caller's key.
            fingerprint: Digest of the request.
            deadline: Deadline of the request in clock seconds.

        Returns:
            The state of the key according to the log.
        """
        claim_id = uuid.uuid4().hex
        try:
            return await self._claim(claim_id, key, fingerprint, deadline)
        except CancelledError:
            self._enqueue(ReleaseKey(key=key, claim=claim_id))
            raise
        except Exception as error:
            # Nothing has run, and the caller is told so.
            self._log_failure(error)
            self._enqueue(ReleaseKey(key=key, claim=claim_id))
            return Unavailable()

    async def _claim(
        self, claim_id: str, key: str, fingerprint: str, deadline: float
    ) -> ClaimResult:
        body = ClaimKey(key=key, fingerprint=fingerprint)
        claim_deadline = min(deadline, self.clock.seconds() + CLAIM_TIMEOUT_S)
        offset = await self._append(
            Envelope(id=claim_id, body=body), claim_deadline
        )
        is_confirmed = offset is not None and await self._read_to(
            offset, claim_deadline
        )
        if not is_confirmed:
            self._enqueue(ReleaseKey(key=key, claim=claim_id))
            return Unavailable()
        entry = self.index.entries.get(key)
        if entry is None:
            return Unavailable()
        if entry.claim_id == claim_id:
            return Acquired(claim_id=claim_id)
        try:
            return await self._resolve_other(entry, fingerprint, deadline)
        except CancelledError:
            raise
        except Exception as error:
            # The request of the other claim may have run.
            self._log_failure(error)
            return Pending()

    def _log_failure(self, error: Exception) -> None:
        logs.error(
            "claim-failed",
            stream=self.stream,
            error=type(error).__name__,
            detail=error,
        )

    def settle(self, answer: SettleKey) -> None:
        """Stores the answer of a request that ran."""
        self._enqueue(answer)

    def release(self, key: str, claim_id: str) -> None:
        """Releases a claim whose request did not run."""
        self._enqueue(ReleaseKey(key=key, claim=claim_id))

    async def _resolve_other(
        self, entry: KeyEntry, fingerprint, deadline
    ) -> ClaimResult:
        if entry.fingerprint != fingerprint:
            return Reused()
        reply_deadline = deadline - REPLY_MARGIN_S
        while entry.settled is None and self.clock.seconds() < reply_deadline:
            left_ms = int((reply_deadline - self.clock.seconds()) * 1000)
            wait_ms = min(SETTLEMENT_READ_WAIT_MS, left_ms)
            if not await self._read(wait_ms, reply_deadline):
                return Pending()
            if entry.settled is None:
                await self._sleep(SETTLEMENT_POLL_S, deadline)
        if entry.settled is None:
            return Pending()
        return Settled(answer=entry.settled)

    async def _append(self, envelope: Envelope, deadline: float) -> int | None:
        backoff = Backoff(
            base_delay_s=RETRY_BASE_DELAY_S,
            max_delay_s=RETRY_MAX_DELAY_S,
            rng=self.rng,
        )
        text = encode_envelope(envelope)
        while self.clock.seconds() < deadline:
            try:
                return await self._until(deadline, self.writer.append(text))
            except TimeoutError:
                break
            except UnavailableError:
                await self._sleep(backoff.next_delay(), deadline)
        return None

    async def _read_to(self, offset: int, deadline: float) -> bool:
        while self.index.next_offset <= offset:
            if self.clock.seconds() >= deadline:
                return False
            if not await self._read(0, deadline):
                await self._sleep(RETRY_BASE_DELAY_S, deadline)
        return True

    async def _read(self, wait_ms: int, deadline: float) -> bool:
        try:
            batch = await self._until(
                deadline,
                self.log.read(
                    self.stream,
                    start=self.index.next_offset,
                    limit=READ_LIMIT_RECORDS,
                    wait_ms=wait_ms,
                ),
            )
        except ExpiredError as error:
            self.index.expire(error.oldest_offset)
            return True
        except (UnavailableError, TimeoutError):
            return False
        self.index.expire(batch.oldest_offset)
        for raw in batch.records:
            if raw.offset == self.index.next_offset:
                decoded = decode_envelope(raw.body)
                self.index.apply(raw.offset, decoded.default_value(None))
        return True

    def _until(self, deadline: float, waiting: Deferred) -> Deferred:
        """Returns a Deferred that fails with `TimeoutError` at a deadline."""
        left_s = max(0.0, deadline - self.clock.seconds())
        return waiting.addTimeout(left_s, self.clock)

    def _sleep(self, delay: float, deadline: float) -> Deferred:
        left_s = max(0.0, deadline - self.clock.seconds())
        return deferLater(self.clock, min(delay, left_s))

    def _enqueue(self, body: KeyRecordBody) -> None:
        if len(self.backlog) >= BACKLOG_LIMIT_RECORDS:
            self.backlog.popitem(last=False)
        self.backlog[uuid.uuid4().hex] = body
        if not self.sending:
            self.sending = True
            self._send()

    @inlineCallbacks
    def _send(self):
        backoff = Backoff(
            base_delay_s=RETRY_BASE_DELAY_S,
            max_delay_s=RETRY_MAX_DELAY_S,
            rng=self.rng,
        )
        try:
            yield from self._send_backlog(backoff)
        finally:
            # After an exception the next settlement starts it afresh.
            self.sending = False

    def _send_backlog(self, backoff: Backoff):
        while self.backlog:
            record_id, body = next(iter(self.backlog.items()))
            text = encode_envelope(Envelope(id=record_id, body=body))
            try:
                yield self.writer.append(text)
            except UnavailableError:
                delay = backoff.next_delay()
                yield self._sleep(delay, self.clock.seconds() + delay)
                continue
            backoff.reset()
            self.backlog.pop(record_id, None)
