"""Slots limit concurrent requests; the queue is bounded and ordered."""

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.errors import SlotError
from fulmarrudder.call.slots import MAX_QUEUE_PER_SLOT, MAX_QUEUE_WAIT_S, Slots
from tests.call.fakes import result_of


def make_slots(capacity=1):
    clock = Clock()
    limiter = Slots(clock)
    limiter.resize(capacity)
    return clock, limiter


def test_freed_slot_goes_to_the_oldest_waiter():
    _, limiter = make_slots()
    limiter.acquire(9.0)
    first, second = limiter.acquire(9.0), limiter.acquire(9.0)
    limiter.release()
    assert first.called
    assert not second.called


def test_queued_request_is_refused_at_its_time_limit():
    clock, limiter = make_slots()
    limiter.acquire(9.0)
    waiting = limiter.acquire(0.5)
    clock.advance(0.6)
    with pytest.raises(SlotError):
        result_of(waiting)
    long_waiting = limiter.acquire(99.0)
    clock.advance(MAX_QUEUE_WAIT_S + 0.1)
    with pytest.raises(SlotError):
        result_of(long_waiting)


def test_full_queue_refuses_at_once():
    _, limiter = make_slots()
    limiter.acquire(9.0)
    waiting = [limiter.acquire(9.0) for _ in range(MAX_QUEUE_PER_SLOT)]
    with pytest.raises(SlotError):
        result_of(limiter.acquire(9.0))
    assert not any(w.called for w in waiting)


def test_cancelled_waiter_takes_no_slot():
    clock, limiter = make_slots()
    limiter.acquire(9.0)
    cancelled = limiter.acquire(9.0)
    cancelled.addErrback(lambda failure: None)
    cancelled.cancel()
    limiter.release()
    assert limiter.taken == 0
    clock.advance(20.0)
