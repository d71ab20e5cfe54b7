"""The platform's append-only log, as replayed nodes reach it."""

import dataclasses

from twisted.internet.defer import Deferred

from fulmarrudder.log import (
    Batch,
    ExpiredError,
    RawRecord,
    UnavailableError,
)
from fulmarrudder_lab.replay.network import Network, Seat

PLACE = "platform"
LATENCY_S = 0.002
FAIL_S = 0.5
ANSWER_LOST_S = 1.0


@dataclasses.dataclass(slots=True)
class _Waiting:
    seat: Seat
    done: Deferred
    start: int
    limit: int


class Platform:
    """Streams of records.

    Attributes:
        streams: Bodies by stream.
        first: Offset of the oldest record kept, by stream.
        away: Whether nothing is answered.
        lose: How many answers to appends will be lost, the appends not.
    """

    def __init__(self, network: Network):
        self.network = network
        self.streams: dict[str, list[str]] = {}
        self.first: dict[str, int] = {}
        self.away = False
        self.lose = 0
        self.waiting: dict[str, list[_Waiting]] = {}

    def write(self, stream: str, bodies: tuple[str, ...]) -> int:
        """Appends and wakes who waits.

        Returns:
            Offset of the first record.
        """
        records = self.streams.setdefault(stream, [])
        first = len(records)
        records.extend(bodies)
        for one in self.waiting.pop(stream, []):
            one.seat.callLater(LATENCY_S, self._answer, one.done, stream, one)
        return first

    def expire(self, stream: str) -> None:
        """Forgets every record that a stream holds."""
        self.first[stream] = len(self.streams.get(stream, []))

    def reachable(self, seat: Seat) -> bool:
        """Tells whether a process gets answers."""
        return not self.away and not self.network.is_cut(seat.place, PLACE)

    def answer_append(self, seat: Seat, done: Deferred, stream, bodies) -> None:
        """Takes an append that has arrived."""
        if not self.reachable(seat):
            seat.callLater(FAIL_S, fail, done, UnavailableError("away"))
            return
        first = self.write(stream, bodies)
        if self.lose > 0:
            self.lose -= 1
            lost = UnavailableError("answer lost")
            seat.callLater(ANSWER_LOST_S, fail, done, lost)
            return
        seat.callLater(LATENCY_S, succeed, done, first)

    def answer_read(self, seat: Seat, done: Deferred, stream, one, wait_s):
        """Takes a read that has arrived."""
        if not self.reachable(seat):
            seat.callLater(FAIL_S, fail, done, UnavailableError("away"))
            return
        if one.start < len(self.streams.get(stream, [])):
            seat.callLater(LATENCY_S, self._answer, done, stream, one)
            return
        self.waiting.setdefault(stream, []).append(one)
        seat.callLater(wait_s, self._answer, done, stream, one)

    def _answer(self, done: Deferred, stream: str, one: _Waiting) -> None:
        if not self.reachable(one.seat):
            fail(done, UnavailableError("away"))
            return
        records = self.streams.get(stream, [])
        first = self.first.get(stream, 0)
        start = one.start
        if start < 0:
            start = max(first, len(records) - 1)
        if start < first:
            fail(done, ExpiredError(first))
            return
        found = tuple(
            RawRecord(offset=start + index, body=body)
            for index, body in enumerate(records[start : start + one.limit])
        )
        batch = Batch(records=found, first=first, next_offset=len(records))
        succeed(done, batch)


class PlatformLog:
    """The log as one process reaches it; see `LogService`."""

    def __init__(self, platform: Platform, seat: Seat):
        self.platform = platform
        self.seat = seat

    def append(self, stream: str, bodies: tuple[str, ...]) -> Deferred:
        """Appends; see `LogService.append`."""
        done: Deferred = Deferred()
        self.platform.network.clock.callLater(
            LATENCY_S,
            self.platform.answer_append,
            self.seat,
            done,
            stream,
            bodies,
        )
        return done

    def read(self, stream: str, *, start: int, limit: int, wait_ms: int):
        """Reads; see `LogService.read`."""
        done: Deferred = Deferred()
        one = _Waiting(self.seat, done, start, limit)
        self.platform.network.clock.callLater(
            LATENCY_S,
            self.platform.answer_read,
            self.seat,
            done,
            stream,
            one,
            wait_ms / 1000,
        )
        return done


def succeed(done: Deferred, value) -> None:
    """Answers, unless the question was answered or given up."""
    if not done.called:
        done.callback(value)


def fail(done: Deferred, error: Exception) -> None:
    """Fails, unless the question was answered or given up."""
    if not done.called:
        done.errback(error)
