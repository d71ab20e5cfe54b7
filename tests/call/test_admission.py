"""Who waits for a slot, and who is turned away at once, under load."""

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.errors import SlotError
from fulmarrudder.call.slots import SlotRequest, Slots
from tests.call.fakes import result_of


def full(capacity=2, held_s=0.1):
    clock = Clock()
    slots = Slots(clock)
    slots.resize(capacity)
    slots.held_s = held_s
    for _ in range(capacity):
        slots.acquire(9.0)
    return clock, slots


def test_more_urgent_request_is_served_before_one_that_came_first():
    """A burst of lookups while deposits come: deposits go first."""
    _, slots = full()
    lookup = slots.acquire(9.0, SlotRequest(deadline=9.0, rank=2))
    deposit = slots.acquire(9.0, SlotRequest(deadline=9.0, rank=1))
    slots.release()
    assert deposit.called
    assert not lookup.called


def test_of_one_rank_the_answer_that_is_due_first_goes_first():
    """Calls that running requests wait for are due sooner than new work."""
    _, slots = full()
    slots.held_by = {"call": 0.02}
    later = slots.acquire(9.0, SlotRequest(deadline=9.0, prompt=1.0))
    sooner = slots.acquire(
        9.0, SlotRequest(deadline=9.0, prompt=0.6, kind="call")
    )
    slots.release()
    assert sooner.called
    assert not later.called


def test_queue_too_long_to_be_prompt_is_refused_at_once():
    """Pozarnik's scale-1: a queue as long as the aim made everyone late."""
    _, slots = full()
    waiting = [slots.acquire(9.0, SlotRequest(deadline=9.0)) for _ in range(4)]
    ask = SlotRequest(deadline=9.0, prompt=0.2)
    with pytest.raises(SlotError, match="prompt"):
        result_of(slots.acquire(9.0, ask))
    assert slots.retry_after() > 0.1
    assert not any(waiter.called for waiter in waiting)


def test_short_request_is_admitted_although_its_aim_has_passed():
    """Esfera's scale-2: a call refused at caja failed the run at vitrina."""
    _, slots = full()
    slots.held_by = {"call": 0.015}
    for _ in range(3):
        slots.acquire(9.0, SlotRequest(deadline=9.0))
    call = slots.acquire(
        0.5, SlotRequest(deadline=0.5, prompt=0.06, kind="call")
    )
    assert not call.called
    slots.release()
    assert slots.queued == 3


def test_request_with_too_little_time_left_takes_no_free_slot():
    """Second tries with a few ms left ran to their deadline."""
    clock = Clock()
    slots = Slots(clock)
    slots.resize(1)
    slots.held_by = {"lookup": 0.1}
    with pytest.raises(SlotError, match="time"):
        result_of(
            slots.acquire(0.02, SlotRequest(deadline=0.02, kind="lookup"))
        )
    assert slots.taken == 0


def test_request_stays_while_its_answer_comes_in_comfort():
    """A short queue is no reason to go to another data centre."""
    _, slots = full(capacity=1)
    near = SlotRequest(deadline=9.0, prompt=0.5, comfort=0.25)
    assert not slots.acquire(9.0, near).called
    hurried = SlotRequest(deadline=9.0, prompt=0.5, comfort=0.15)
    with pytest.raises(SlotError, match="another"):
        result_of(slots.acquire(9.0, hurried))


def test_time_that_a_request_takes_is_learned_by_kind():
    _, slots = full()
    for _ in range(60):
        slots.acquire(9.0)
        slots.release(0.02, "call")
        slots.acquire(9.0)
        slots.release(0.2, "deposit")
    assert slots.held_by["call"] == pytest.approx(0.02, rel=0.01)
    assert slots.held_by["deposit"] == pytest.approx(0.2, rel=0.01)


def test_request_that_will_be_late_goes_behind_one_that_can_be_prompt():
    """Pozarnik's scale-1: the oldest went first, so that all came late."""
    clock, slots = full(capacity=8, held_s=0.1)
    late = slots.acquire(9.0, SlotRequest(deadline=9.0, prompt=0.25))
    clock.advance(0.2)
    prompt = slots.acquire(9.0, SlotRequest(deadline=9.0, prompt=0.6))
    slots.release()
    assert prompt.called
    assert not late.called
    slots.release()
    assert late.called


def test_request_that_will_be_late_is_turned_away_from_a_long_queue():
    clock, slots = full(capacity=4, held_s=0.1)
    late = slots.acquire(9.0, SlotRequest(deadline=9.0, prompt=0.25))
    clock.advance(0.2)
    for _ in range(3):
        slots.acquire(9.0, SlotRequest(deadline=9.0, prompt=0.9))
    slots.release()
    with pytest.raises(SlotError, match="prompt"):
        result_of(late)


def test_waiter_is_told_while_it_can_still_go_elsewhere():
    """Requests admitted at the day's first moment waited to their deadline."""
    clock, slots = full(capacity=1, held_s=0.1)
    waiting = slots.acquire(0.5, SlotRequest(deadline=0.5))
    clock.advance(0.45)
    with pytest.raises(SlotError, match="time"):
        result_of(waiting)
