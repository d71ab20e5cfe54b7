"""Slots bound what a target serves; the queue is short and in order."""

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.errors import SlotError
from fulmarrudder.call.slots import QUEUE_LIMIT_S, QUEUE_PER_SLOT, Slots
from tests.call.fakes import result_of


def slots(capacity=1):
    clock = Clock()
    made = Slots(clock)
    made.resize(capacity)
    return clock, made


def test_freed_slot_goes_to_the_oldest_waiter():
    _, made = slots()
    made.acquire(9.0)
    first, second = made.acquire(9.0), made.acquire(9.0)
    made.release()
    assert first.called
    assert not second.called


def test_waiter_is_refused_when_its_time_is_up():
    clock, made = slots()
    made.acquire(9.0)
    waiting = made.acquire(0.5)
    clock.advance(0.6)
    with pytest.raises(SlotError):
        result_of(waiting)
    patient = made.acquire(99.0)
    clock.advance(QUEUE_LIMIT_S + 0.1)
    with pytest.raises(SlotError):
        result_of(patient)


def test_full_queue_refuses_at_once():
    _, made = slots()
    made.acquire(9.0)
    waiting = [made.acquire(9.0) for _ in range(QUEUE_PER_SLOT)]
    with pytest.raises(SlotError):
        result_of(made.acquire(9.0))
    assert not any(w.called for w in waiting)


def test_abandoned_waiter_takes_no_slot():
    clock, made = slots()
    made.acquire(9.0)
    abandoned = made.acquire(9.0)
    abandoned.addErrback(lambda failure: None)
    abandoned.cancel()
    made.release()
    assert made.taken == 0
    clock.advance(20.0)
