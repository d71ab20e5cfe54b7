"""A caller that leaves is noticed also while its body waits."""

import collections

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.body import MAX_REPLAY_BYTES, RequestBody
from fulmarrudder.call.leaving import (
    MAX_BODY_BYTES,
    MAX_TOTAL_BYTES,
    PERIOD_S,
    LeavingWatch,
)
from tests.call.fakes import FakeSink

READ_BYTES = 65_536
# What a leaving may take to be noticed, of the half second that is allowed.
NOTICED_S = 0.4


class SocketSource:
    """A connection with bytes that have arrived, and its end behind them.

    Attributes:
        unread: Blocks that wait to be read; None is the end.
        body: The body that the blocks belong to.
        taken: Bytes that were read.
    """

    def __init__(self, clock, blocks):
        self.clock = clock
        self.unread = collections.deque(blocks)
        self.body = None
        self.is_read = False
        self.taken = 0

    def resumeProducing(self):  # noqa: N802
        self.is_read = True
        self.clock.callLater(0, self.read)

    def pauseProducing(self):  # noqa: N802
        self.is_read = False

    def read(self):
        while self.is_read and self.unread:
            block = self.unread.popleft()
            if block is None:
                self.body.receive_abort()
                return
            self.taken += len(block)
            self.body.receive_part(block)


def arrived(clock, watch, blocks):
    """Returns a body of which some blocks have arrived."""
    source = SocketSource(clock, blocks)
    source.body = RequestBody(source, watch=watch)
    source.resumeProducing()
    clock.advance(0)
    return source


def pass_time(clock, seconds):
    for _ in range(round(seconds / 0.01)):
        clock.advance(0.01)


def leaving_blocks(size):
    whole, rest = divmod(size, READ_BYTES)
    blocks = [b"x" * READ_BYTES] * whole
    return [*blocks, b"x" * rest, None] if rest else [*blocks, None]


@pytest.fixture
def clock():
    return Clock()


@pytest.mark.parametrize("size", [MAX_REPLAY_BYTES + 1, 200_000, 262_144])
def test_caller_that_leaves_while_its_body_waits_is_noticed(clock, size):
    source = arrived(clock, LeavingWatch(clock), leaving_blocks(size))
    assert source.body.paused
    pass_time(clock, NOTICED_S)
    assert source.body.lost


def test_caller_that_leaves_while_its_target_does_not_read_is_noticed(clock):
    source = arrived(clock, LeavingWatch(clock), [b"x" * READ_BYTES])
    sink = FakeSink()
    source.body.attach(sink)
    source.body.pauseProducing()
    source.unread.extend([b"x" * READ_BYTES, None])
    pass_time(clock, NOTICED_S)
    assert sink.lost


def test_body_that_waits_is_read_up_to_a_limit_and_passed_on_whole(clock):
    watch = LeavingWatch(clock)
    blocks = [bytes([n]) * READ_BYTES for n in range(100)]
    source = arrived(clock, watch, blocks)
    pass_time(clock, 60.0)
    most = MAX_REPLAY_BYTES + MAX_BODY_BYTES + 2 * READ_BYTES
    assert MAX_BODY_BYTES <= source.taken <= most
    sink = FakeSink()
    source.body.attach(sink)
    clock.advance(0)
    source.body.receive_end()
    assert b"".join(sink.parts) == b"".join(blocks)
    assert sink.ended
    assert not watch.paused


def test_bodies_that_wait_share_a_limit(clock):
    watch = LeavingWatch(clock)
    blocks = [b"x" * READ_BYTES] * 100
    sources = [arrived(clock, watch, blocks) for _ in range(40)]
    pass_time(clock, 60.0)
    ahead_bytes = sum(source.body.ahead_bytes for source in sources)
    assert ahead_bytes <= MAX_TOTAL_BYTES + len(sources) * READ_BYTES


def test_nothing_is_timed_while_no_body_waits(clock):
    watch = LeavingWatch(clock)
    source = arrived(clock, watch, leaving_blocks(200_000))
    pass_time(clock, NOTICED_S)
    assert source.body.lost
    pass_time(clock, 2 * PERIOD_S)
    assert not clock.getDelayedCalls()
