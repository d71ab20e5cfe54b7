"""Request bodies: back-pressure, and replay of small bodies."""

from fulmarrudder.call.body import MAX_REPLAY_BYTES, RequestBody
from tests.call.fakes import FakeSink, FakeSource, result_of


def body():
    return RequestBody(FakeSource())


def test_small_body_is_replayed_to_a_second_sink():
    small = body()
    small.receive_part(b"ab")
    first, second = FakeSink(), FakeSink()
    small.attach(first)
    small.receive_part(b"c")
    small.receive_end()
    small.detach()
    small.attach(second)
    assert b"".join(first.parts) == b"".join(second.parts) == b"abc"
    assert second.ended
    assert small.replayable


def test_large_body_waits_for_a_sink_and_is_not_buffered():
    large = body()
    large.receive_part(b"x" * (MAX_REPLAY_BYTES + 1))
    assert large.source.paused
    assert large.replayable
    sink = FakeSink()
    large.attach(sink)
    assert not large.source.paused
    assert not large.replayable
    assert large.replay_buffer == []


def test_reading_resumes_when_a_body_ends_while_paused():
    """A connection reused after a paused upload must not stay paused."""
    ended = body()
    ended.attach(FakeSink())
    ended.receive_part(b"x" * (MAX_REPLAY_BYTES + 1))
    ended.pauseProducing()
    ended.receive_end()
    assert not ended.source.paused


def test_prefix_waits_for_its_size_or_for_the_end():
    waited = body()
    prefix = waited.wait_for_prefix(4)
    waited.receive_part(b"ab")
    assert not prefix.called
    waited.receive_part(b"cdef")
    assert result_of(prefix) == b"abcd"
    short = body()
    prefix = short.wait_for_prefix(4)
    short.receive_part(b"ab")
    short.receive_end()
    assert result_of(prefix) == b"ab"


def test_lost_caller_aborts_the_sink():
    lost = body()
    sink = FakeSink()
    lost.attach(sink)
    lost.receive_abort()
    assert sink.lost
    assert lost.lost
