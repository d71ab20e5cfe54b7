"""Calls that a stopping node has taken are answered before it ends."""

import pytest

from tests.call.network import Caller
from tests.call.test_walks import CALL_PORT, REQUEST_ID, Walk

GRACE_S = 0.5


@pytest.fixture
def walk(log_lines):
    return Walk(log_lines)


def send(walk, method=b"POST", timeout_ms=5000):
    caller = Caller()
    walk.network.connect(CALL_PORT, caller).write(
        b"%b /deposits HTTP/1.1\r\nHost: a\r\nX-Request-Id: %b\r\n"
        b"X-Deadline-Remaining: %d\r\n\r\n" % (method, REQUEST_ID, timeout_ms)
    )
    walk.network.run(0.01)
    return caller


# Requests that came late in the grace period of a planned stop were passed on with all
# of the time that their callers had, and cut without an answer at its end.
@pytest.mark.parametrize("method", [b"GET", b"POST"])
def test_call_taken_while_stopping_is_answered_before_the_end(walk, method):
    end = walk.network.seconds() + GRACE_S
    walk.entry.entry.stop_deadline = end
    caller = send(walk, method)
    walk.network.run(end - walk.network.seconds() + 0.05)
    assert caller.received.startswith(b"HTTP/1.1 504")


def test_call_that_is_answered_in_time_is_not_cut_short(walk):
    walk.entry.entry.stop_deadline = walk.network.seconds() + GRACE_S
    caller = send(walk)
    walk.network.run(GRACE_S / 2)
    walk.target.answer(REQUEST_ID)
    walk.network.run(0.01)
    assert caller.received.startswith(b"HTTP/1.1 200")


# What was under way when the process ended got a closed connection for an answer.
@pytest.mark.parametrize("method", [b"GET", b"POST"])
def test_call_in_progress_at_the_end_is_answered(walk, method):
    caller = send(walk, method)
    walk.entry.calls.leave()
    assert not caller.received
    walk.entry.calls.end_remaining()
    walk.network.run(0.01)
    assert caller.received.startswith(b"HTTP/1.1 502")
    assert b"connection: close" in caller.received.lower()
    assert not walk.entry.calls.connections


def test_call_from_another_node_is_answered_at_the_end(walk):
    caller = send(walk)
    walk.host.calls.leave()
    walk.host.calls.end_remaining()
    walk.network.run(0.01)
    assert caller.received.startswith(b"HTTP/1.1 502")


def test_answered_call_is_not_touched_at_the_end(walk):
    caller = send(walk)
    walk.target.answer(REQUEST_ID)
    walk.network.run(0.01)
    walk.entry.calls.end_remaining()
    walk.network.run(0.01)
    assert caller.received.count(b"HTTP/1.1") == 1
