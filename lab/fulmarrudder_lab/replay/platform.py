"""Simulation of the platform's append-only log."""

import dataclasses

from twisted.internet.defer import Deferred

from fulmarrudder.log import (
    Batch,
    ExpiredError,
    RawRecord,
    UnavailableError,
)
from fulmarrudder_lab.replay.network import Network, ReplayReactor

LOCATION = "platform"
LATENCY_S = 0.002
FAILURE_DELAY_S = 0.5
ANSWER_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class _PendingRead:
    reactor: ReplayReactor
    done: Deferred
    start: int
    limit: int


class PlatformLog:
    """Stores streams of records and answers appends and reads.

    Attributes:
        streams: Bodies of the records, by stream.
        first_offsets: Offset of the oldest record kept, by stream.
        unavailable: Whether all requests fail.
        answers_to_lose: Number of next appends that take effect without an
            answer.
        pending_reads: Reads that wait for a record, by stream.
    """

    def __init__(self, network: Network):
        self.network = network
        self.streams: dict[str, list[str]] = {}
        self.first_offsets: dict[str, int] = {}
        self.unavailable = False
        self.answers_to_lose = 0
        self.pending_reads: dict[str, list[_PendingRead]] = {}

    def write(self, stream: str, bodies: tuple[str, ...]) -> int:
        """Appends records and answers pending reads.

        Returns:
            Offset of the first record.
        """
        records = self.streams.setdefault(stream, [])
        first_offset = len(records)
        records.extend(bodies)
        for read in self.pending_reads.pop(stream, []):
            read.reactor.callLater(
                LATENCY_S, self._answer_read, read.done, stream, read
            )
        return first_offset

    def expire(self, stream: str) -> None:
        """Discards all records of a stream."""
        self.first_offsets[stream] = len(self.streams.get(stream, []))

    def is_reachable(self, reactor: ReplayReactor) -> bool:
        """Returns whether a process can reach the log."""
        return not self.unavailable and not self.network.is_partitioned(
            reactor.location, LOCATION
        )

    def handle_append(
        self, reactor: ReplayReactor, done: Deferred, stream, bodies
    ) -> None:
        """Handles an append received from a process."""
        if not self.is_reachable(reactor):
            reactor.callLater(
                FAILURE_DELAY_S, fail, done, UnavailableError("log unavailable")
            )
            return
        first_offset = self.write(stream, bodies)
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            lost = UnavailableError("answer lost")
            reactor.callLater(ANSWER_TIMEOUT_S, fail, done, lost)
            return
        reactor.callLater(LATENCY_S, succeed, done, first_offset)

    def handle_read(
        self, reactor: ReplayReactor, done: Deferred, stream, read, wait_s
    ):
        """Handles a read received from a process."""
        if not self.is_reachable(reactor):
            reactor.callLater(
                FAILURE_DELAY_S, fail, done, UnavailableError("log unavailable")
            )
            return
        if read.start < len(self.streams.get(stream, [])):
            reactor.callLater(LATENCY_S, self._answer_read, done, stream, read)
            return
        self.pending_reads.setdefault(stream, []).append(read)
        reactor.callLater(wait_s, self._answer_read, done, stream, read)

    def _answer_read(
        self, done: Deferred, stream: str, read: _PendingRead
    ) -> None:
        if not self.is_reachable(read.reactor):
            fail(done, UnavailableError("log unavailable"))
            return
        records = self.streams.get(stream, [])
        first_offset = self.first_offsets.get(stream, 0)
        start = read.start
        if start < 0:
            start = max(first_offset, len(records) - 1)
        if start < first_offset:
            fail(done, ExpiredError(first_offset))
            return
        batch_records = tuple(
            RawRecord(offset=start + index, body=body)
            for index, body in enumerate(records[start : start + read.limit])
        )
        batch = Batch(
            records=batch_records,
            oldest_offset=first_offset,
            next_offset=len(records),
        )
        succeed(done, batch)


class PlatformLogClient:
    """One process's client of the log; see `LogService`."""

    def __init__(self, platform: PlatformLog, reactor: ReplayReactor):
        self.platform = platform
        self.reactor = reactor

    def append(self, stream: str, bodies: tuple[str, ...]) -> Deferred:
        """Appends; see `LogService.append`."""
        done: Deferred = Deferred()
        self.platform.network.clock.callLater(
            LATENCY_S,
            self.platform.handle_append,
            self.reactor,
            done,
            stream,
            bodies,
        )
        return done

    def read(self, stream: str, *, start: int, limit: int, wait_ms: int):
        """Reads; see `LogService.read`."""
        done: Deferred = Deferred()
        read = _PendingRead(self.reactor, done, start, limit)
        self.platform.network.clock.callLater(
            LATENCY_S,
            self.platform.handle_read,
            self.reactor,
            done,
            stream,
            read,
            wait_ms / 1000,
        )
        return done


def succeed(done: Deferred, value) -> None:
    """Fires a deferred, unless it has fired or was cancelled."""
    if not done.called:
        done.callback(value)


def fail(done: Deferred, error: Exception) -> None:
    """Fails a deferred, unless it has fired or was cancelled."""
    if not done.called:
        done.errback(error)
