"""Under load, requests queue for a slot or are refused at once."""

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.errors import SlotError
from fulmarrudder.call.slots import SlotRequest, Slots
from tests.call.fakes import result_of


def full_slots(capacity=2, service_time_s=0.1):
    clock = Clock()
    slots = Slots(clock)
    slots.resize(capacity)
    slots.service_time_s = service_time_s
    for _ in range(capacity):
        slots.acquire(9.0)
    return clock, slots


def test_more_urgent_request_is_served_before_an_earlier_one():
    """Deposits are served before a burst of earlier lookups."""
    _, slots = full_slots()
    lookup = slots.acquire(9.0, SlotRequest(deadline=9.0, rank=2))
    deposit = slots.acquire(9.0, SlotRequest(deadline=9.0, rank=1))
    slots.release()
    assert deposit.called
    assert not lookup.called


def test_within_a_rank_the_earliest_soft_deadline_goes_first():
    """Nested calls have earlier soft deadlines than new requests."""
    _, slots = full_slots()
    slots.service_time_by_route = {"call": 0.02}
    later = slots.acquire(9.0, SlotRequest(deadline=9.0, soft_deadline=1.0))
    sooner = slots.acquire(
        9.0, SlotRequest(deadline=9.0, soft_deadline=0.6, route="call")
    )
    slots.release()
    assert sooner.called
    assert not later.called


def test_request_that_would_miss_its_soft_deadline_is_refused_at_once():
    """A queue with a wait as long as the latency objective made all late.

    Seen in scenario scale-1 of pozarnik.
    """
    _, slots = full_slots()
    waiting = [slots.acquire(9.0, SlotRequest(deadline=9.0)) for _ in range(4)]
    request = SlotRequest(deadline=9.0, soft_deadline=0.2)
    with pytest.raises(SlotError, match="prompt"):
        result_of(slots.acquire(9.0, request))
    assert slots.retry_after() > 0.1
    assert not any(waiter.called for waiter in waiting)


def test_short_request_is_admitted_past_its_soft_deadline():
    """Refusing a short nested call fails the longer request that made it.

    Seen in scenario scale-2 of esfera, between caja and vitrina.
    """
    _, slots = full_slots()
    slots.service_time_by_route = {"call": 0.015}
    for _ in range(3):
        slots.acquire(9.0, SlotRequest(deadline=9.0))
    call = slots.acquire(
        0.5, SlotRequest(deadline=0.5, soft_deadline=0.06, route="call")
    )
    assert not call.called
    slots.release()
    assert slots.queued == 3


def test_request_with_too_little_time_left_takes_no_free_slot():
    """Retries with a few ms left occupied a slot until their deadlines."""
    clock = Clock()
    slots = Slots(clock)
    slots.resize(1)
    slots.service_time_by_route = {"lookup": 0.1}
    with pytest.raises(SlotError, match="time"):
        result_of(
            slots.acquire(0.02, SlotRequest(deadline=0.02, route="lookup"))
        )
    assert slots.taken == 0


def test_request_spills_over_only_if_it_would_miss_its_spill_deadline():
    """A short queue does not justify a hop to another data centre."""
    _, slots = full_slots(capacity=1)
    near = SlotRequest(deadline=9.0, soft_deadline=0.5, spill_deadline=0.25)
    assert not slots.acquire(9.0, near).called
    urgent = SlotRequest(deadline=9.0, soft_deadline=0.5, spill_deadline=0.15)
    with pytest.raises(SlotError, match="another"):
        result_of(slots.acquire(9.0, urgent))


def test_service_time_is_averaged_by_route():
    _, slots = full_slots()
    for _ in range(60):
        slots.acquire(9.0)
        slots.release(0.02, "call")
        slots.acquire(9.0)
        slots.release(0.2, "deposit")
    assert slots.service_time_by_route["call"] == pytest.approx(0.02, rel=0.01)
    assert slots.service_time_by_route["deposit"] == pytest.approx(
        0.2, rel=0.01
    )


def test_late_request_goes_behind_one_that_can_meet_its_soft_deadline():
    """With the oldest first, all requests missed their soft deadlines.

    Seen in scenario scale-1 of pozarnik.
    """
    clock, slots = full_slots(capacity=8, service_time_s=0.1)
    late = slots.acquire(9.0, SlotRequest(deadline=9.0, soft_deadline=0.25))
    clock.advance(0.2)
    on_time = slots.acquire(9.0, SlotRequest(deadline=9.0, soft_deadline=0.6))
    slots.release()
    assert on_time.called
    assert not late.called
    slots.release()
    assert late.called


def test_late_request_is_refused_when_the_queue_is_long():
    clock, slots = full_slots(capacity=4, service_time_s=0.1)
    late = slots.acquire(9.0, SlotRequest(deadline=9.0, soft_deadline=0.25))
    clock.advance(0.2)
    for _ in range(3):
        slots.acquire(9.0, SlotRequest(deadline=9.0, soft_deadline=0.9))
    slots.release()
    with pytest.raises(SlotError, match="prompt"):
        result_of(late)


def test_queued_request_is_refused_while_it_can_still_be_retried():
    """Requests queued before the first service time waited too long.

    They were refused only at their deadlines.
    """
    clock, slots = full_slots(capacity=1, service_time_s=0.1)
    waiting = slots.acquire(0.5, SlotRequest(deadline=0.5))
    clock.advance(0.45)
    with pytest.raises(SlotError, match="time"):
        result_of(waiting)
