"""Claims of idempotency keys, kept in the platform's log.

A claim is appended before its request runs, and the request runs only when
the stream, read back as far as that append, shows the claim to be the key's
first. Nothing is claimed from memory, so a node that starts anew, or one that
was paused, decides as any other would.
"""

import collections
import dataclasses
import uuid

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    inlineCallbacks,
)
from twisted.internet.task import deferLater

from fulmarrudder.call.claim_index import ClaimIndex, Entry
from fulmarrudder.clock import Clock
from fulmarrudder.log import (
    Backoff,
    Envelope,
    ExpiredError,
    LogService,
    UnavailableError,
    claims_stream,
    decode,
    encode,
)
from fulmarrudder.model import ClaimKey, KeyBody, ReleaseKey, SettleKey

READ_LIMIT = 500
SETTLED_WAIT_MS = 500
POLL_S = 0.05
ANSWER_BEFORE_S = 0.1
BATCH_WINDOW_S = 0.002
BATCH_LIMIT = 200
RETRY_BASE_S = 0.05
RETRY_LIMIT_S = 2.0
CLAIM_LIMIT_S = 3.0
BACKLOG_LIMIT = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mine:
    """The claim holds; the request may run."""

    claim: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """The request ran before; its answer was kept."""

    answer: SettleKey


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pending:
    """The key is claimed; whether its request ran is not known yet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reused:
    """The key was claimed by a different request."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Away:
    """The log could not be asked; nothing ran."""


Claimed = Mine | Settled | Pending | Reused | Away


class _Writer:
    """Appends to one stream, several records at a time."""

    def __init__(self, log: LogService, stream: str, clock: Clock):
        self.log = log
        self.stream = stream
        self.clock = clock
        self.queue: list = []
        self.due = None

    def append(self, text: str) -> Deferred:
        done: Deferred = Deferred()
        self.queue.append((text, done))
        if self.due is None:
            self.due = self.clock.callLater(BATCH_WINDOW_S, self._flush)
        return done

    def _flush(self) -> None:
        self.due = None
        batch = self.queue[:BATCH_LIMIT]
        del self.queue[:BATCH_LIMIT]
        if self.queue:
            self.due = self.clock.callLater(0, self._flush)
        texts = tuple(text for text, _ in batch)
        appending = self.log.append(self.stream, texts)
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
    """Claims keys of one service.

    Attributes:
        index: The fold of the stream as far as it has been read.
        backlog: Settlements and releases not yet in the log.
    """

    def __init__(self, log: LogService, service: str, clock: Clock, rng):
        self.log = log
        self.stream = claims_stream(service)
        self.clock = clock
        self.rng = rng
        self.index = ClaimIndex()
        self.writer = _Writer(log, self.stream, clock)
        self.backlog: collections.OrderedDict[str, KeyBody] = (
            collections.OrderedDict()
        )
        self.sending = False
        self.reading: Deferred | None = None

    async def claim(
        self, key: str, fingerprint: str, deadline: float
    ) -> Claimed:
        """Claims a key before its request runs.

        Args:
            key: The caller's key.
            fingerprint: Digest of the request.
            deadline: Clock seconds of the request.

        Returns:
            What the log says of the key.
        """
        claim = uuid.uuid4().hex
        try:
            return await self._claim(claim, key, fingerprint, deadline)
        except CancelledError:
            self._keep(ReleaseKey(key=key, claim=claim))
            raise

    async def _claim(
        self, claim: str, key: str, fingerprint: str, deadline: float
    ) -> Claimed:
        body = ClaimKey(key=key, fingerprint=fingerprint)
        until = min(deadline, self.clock.seconds() + CLAIM_LIMIT_S)
        offset = await self._append(Envelope(id=claim, body=body), until)
        caught_up = offset is not None and await self._read_to(offset, until)
        if not caught_up:
            self._keep(ReleaseKey(key=key, claim=claim))
            return Away()
        entry = self.index.entries.get(key)
        if entry is None:
            return Away()
        if entry.claim == claim:
            return Mine(claim=claim)
        return await self._of_other(entry, fingerprint, deadline)

    def settle(self, answer: SettleKey) -> None:
        """Keeps the answer of a request that ran."""
        self._keep(answer)

    def release(self, key: str, claim: str) -> None:
        """Gives up a claim whose request did not run."""
        self._keep(ReleaseKey(key=key, claim=claim))

    async def _of_other(self, entry: Entry, fingerprint, deadline) -> Claimed:
        if entry.fingerprint != fingerprint:
            return Reused()
        until = deadline - ANSWER_BEFORE_S
        while entry.settled is None and self.clock.seconds() < until:
            left_ms = int((until - self.clock.seconds()) * 1000)
            if not await self._read(min(SETTLED_WAIT_MS, left_ms)):
                return Pending()
            if entry.settled is None:
                await self._sleep(POLL_S, deadline)
        if entry.settled is None:
            return Pending()
        return Settled(answer=entry.settled)

    async def _append(self, envelope: Envelope, until: float) -> int | None:
        backoff = Backoff(
            base_s=RETRY_BASE_S, limit_s=RETRY_LIMIT_S, rng=self.rng
        )
        text = encode(envelope)
        while self.clock.seconds() < until:
            try:
                return await self.writer.append(text)
            except UnavailableError:
                await self._sleep(backoff.next_delay(), until)
        return None

    async def _read_to(self, offset: int, until: float) -> bool:
        while self.index.next_offset <= offset:
            if self.clock.seconds() >= until:
                return False
            if not await self._read(0):
                await self._sleep(RETRY_BASE_S, until)
        return True

    async def _read(self, wait_ms: int) -> bool:
        try:
            batch = await self.log.read(
                self.stream,
                start=self.index.next_offset,
                limit=READ_LIMIT,
                wait_ms=wait_ms,
            )
        except ExpiredError as error:
            self.index.expire(error.first)
            return True
        except UnavailableError:
            return False
        self.index.expire(batch.first)
        for raw in batch.records:
            if raw.offset == self.index.next_offset:
                decoded = decode(raw.body)
                self.index.fold(raw.offset, decoded.default_value(None))
        return True

    def _sleep(self, delay: float, until: float) -> Deferred:
        left = max(0.0, until - self.clock.seconds())
        return deferLater(self.clock, min(delay, left))

    def _keep(self, body: KeyBody) -> None:
        if len(self.backlog) >= BACKLOG_LIMIT:
            self.backlog.popitem(last=False)
        self.backlog[uuid.uuid4().hex] = body
        if not self.sending:
            self.sending = True
            self._send()

    @inlineCallbacks
    def _send(self):
        backoff = Backoff(
            base_s=RETRY_BASE_S, limit_s=RETRY_LIMIT_S, rng=self.rng
        )
        while self.backlog:
            record_id, body = next(iter(self.backlog.items()))
            text = encode(Envelope(id=record_id, body=body))
            try:
                yield self.writer.append(text)
            except UnavailableError:
                delay = backoff.next_delay()
                yield self._sleep(delay, self.clock.seconds() + delay)
                continue
            backoff.reset()
            self.backlog.pop(record_id, None)
        self.sending = False
