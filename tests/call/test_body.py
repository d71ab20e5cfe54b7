"""Bodies flow with back-pressure and can be repeated while small."""

from fulmarrudder.call.body import MAX_REPLAY_BYTES, RequestBody
from tests.call.fakes import FakeSink, FakeSource, result_of


def body():
    return RequestBody(FakeSource())


def test_small_body_can_be_given_to_a_second_sink():
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


def test_large_body_waits_for_a_sink_and_is_not_kept():
    large = body()
    large.receive_part(b"x" * (MAX_REPLAY_BYTES + 1))
    assert large.source.paused
    assert large.replayable
    sink = FakeSink()
    large.attach(sink)
    assert not large.source.paused
    assert not large.replayable
    assert large.replay_buffer == []


def test_connection_is_read_further_after_a_body_that_ended_paused():
    """Found by the upload test: a reused connection stayed paused."""
    ended = body()
    ended.attach(FakeSink())
    ended.receive_part(b"x" * (MAX_REPLAY_BYTES + 1))
    ended.pauseProducing()
    ended.receive_end()
    assert not ended.source.paused


def test_prefix_waits_for_enough_or_for_the_end():
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


def test_sink_learns_of_a_caller_that_was_lost():
    lost = body()
    sink = FakeSink()
    lost.attach(sink)
    lost.receive_abort()
    assert sink.lost
    assert lost.lost
