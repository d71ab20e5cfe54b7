"""Small fakes at the interfaces of the call path."""

from twisted.internet.defer import Deferred, fail, succeed

from fulmarrudder.log import Batch, ExpiredError, RawRecord, UnavailableError


class FakeSource:
    """A transport that counts its pauses."""

    def __init__(self):
        self.paused = False

    def pauseProducing(self):  # noqa: N802
        self.paused = True

    def resumeProducing(self):  # noqa: N802
        self.paused = False


class FakeSink:
    """A body sink that keeps what it takes."""

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
    """An append-only log in memory that can be away or lose answers.

    Attributes:
        away: Whether nothing is answered.
        lose: How many answers to appends are lost after they took effect.
    """

    def __init__(self):
        self.streams = {}
        self.first = {}
        self.away = False
        self.lose = 0
        self.appended = 0

    def append(self, stream, bodies):
        if self.away:
            return fail(UnavailableError("away"))
        records = self.streams.setdefault(stream, [])
        first = len(records)
        records.extend(bodies)
        self.appended += 1
        if self.lose > 0:
            self.lose -= 1
            return fail(UnavailableError("answer lost"))
        return succeed(first)

    def read(self, stream, *, start, limit, wait_ms):
        if self.away:
            return fail(UnavailableError("away"))
        records = self.streams.get(stream, [])
        first = self.first.get(stream, 0)
        if start < 0:
            start = max(first, len(records) - 1)
        if start < first:
            return fail(ExpiredError(first))
        found = tuple(
            RawRecord(offset=start + index, body=body)
            for index, body in enumerate(records[start : start + limit])
        )
        return succeed(
            Batch(records=found, first=first, next_offset=len(records))
        )

    def expire(self, stream, first):
        self.first[stream] = first


def result_of(deferred: Deferred):
    """Returns what a Deferred has fired with, or raises its failure."""
    found = []
    deferred.addBoth(found.append)
    assert found, "has not fired"
    if hasattr(found[0], "raiseException"):
        found[0].raiseException()
    return found[0]
