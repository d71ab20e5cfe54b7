"""Fakes of the interfaces that the call path uses."""

from twisted.internet.defer import Deferred, fail, succeed

from fulmarrudder.log import Batch, ExpiredError, RawRecord, UnavailableError


class FakeSource:
    """A transport that records whether it is paused."""

    def __init__(self):
        self.paused = False

    def pauseProducing(self):  # noqa: N802
        self.paused = True

    def resumeProducing(self):  # noqa: N802
        self.paused = False


class FakeSink:
    """A body sink that records what it receives."""

    def __init__(self):
        self.parts = []
        self.ended = False
        self.lost = False

    def write_part(self, data):
        self.parts.append(data)

    def write_end(self):
        self.ended = True

    def abort_request(self):
        self.lost = True


class FakeLog:
    """An append-only log in memory that can fail or lose answers.

    Attributes:
        unavailable: Whether all calls fail.
        answers_to_lose: Number of next appends that take effect without an
            answer.
    """

    def __init__(self):
        self.streams = {}
        self.first = {}
        self.unavailable = False
        self.answers_to_lose = 0
        self.appended = 0

    def append(self, stream, bodies):
        if self.unavailable:
            return fail(UnavailableError("log unavailable"))
        records = self.streams.setdefault(stream, [])
        first = len(records)
        records.extend(bodies)
        self.appended += 1
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return fail(UnavailableError("answer lost"))
        return succeed(first)

    def read(self, stream, *, start, limit, wait_ms):
        if self.unavailable:
            return fail(UnavailableError("log unavailable"))
        records = self.streams.get(stream, [])
        oldest_offset = self.first.get(stream, 0)
        if start < 0:
            start = max(oldest_offset, len(records) - 1)
        if start < oldest_offset:
            return fail(ExpiredError(oldest_offset))
        results = tuple(
            RawRecord(offset=start + index, body=body)
            for index, body in enumerate(records[start : start + limit])
        )
        return succeed(
            Batch(
                records=results,
                oldest_offset=oldest_offset,
                next_offset=len(records),
            )
        )

    def expire(self, stream, first):
        self.first[stream] = first


def result_of(deferred: Deferred):
    """Returns the result of a fired Deferred, or raises its failure."""
    results = []
    deferred.addBoth(results.append)
    assert results, "has not fired"
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]
