"""A workspace that sends many requests at once waits behind its own."""

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.errors import SlotError
from fulmarrudder.call.slots import MAX_QUEUE_PER_SLOT, SlotRequest, Slots
from tests.call.fakes import result_of


def busy_slots(capacity=1):
    slots = Slots(Clock())
    slots.resize(capacity)
    for _ in range(capacity):
        slots.acquire(9.0)
    return slots


def ask(slots, workspace, **fields):
    name = None if workspace is None else workspace.encode()
    return slots.acquire(
        9.0, SlotRequest(deadline=9.0, workspace=name, **fields)
    )


def order_served(slots, waiting):
    """Returns the names of waiting requests in the order of their slots."""
    served = []
    for name, granted in waiting:
        granted.addCallback(lambda _, name=name: served.append(name))
    for _ in waiting:
        slots.release()
    return "".join(served)


@pytest.mark.parametrize(
    ("workspaces", "served"),
    [
        ("aaab", "abaa"),
        ("aabb", "abab"),
        ("aab-", "-aba"),
        ("----", "----"),
    ],
)
def test_workspaces_take_turns(workspaces, served):
    slots = busy_slots()
    waiting = [
        (name, ask(slots, None if name == "-" else name)) for name in workspaces
    ]
    assert order_served(slots, waiting) == served


def test_priority_goes_before_turns():
    slots = busy_slots()
    waiting = [("h", ask(slots, "a", rank=0)) for _ in range(3)]
    waiting.append(("l", ask(slots, "b", rank=1)))
    assert order_served(slots, waiting) == "hhhl"


def test_workspace_that_joins_later_is_not_behind_all_that_wait():
    slots = busy_slots()
    waiting = [("a", ask(slots, "a")) for _ in range(3)]
    slots.release()
    slots.release()
    waiting += [("b", ask(slots, "b")), ("b", ask(slots, "b"))]
    assert order_served(slots, waiting[2:]) == "abb"


def test_hot_workspace_that_fills_a_queue_makes_room_for_others():
    slots = busy_slots()
    hot = [ask(slots, "a") for _ in range(MAX_QUEUE_PER_SLOT)]
    other = ask(slots, "b")
    with pytest.raises(SlotError):
        result_of(hot[-1])
    with pytest.raises(SlotError):
        result_of(ask(slots, "a"))
    assert not other.called
    assert slots.queued == MAX_QUEUE_PER_SLOT


def test_nobody_gives_way_to_a_request_that_is_refused_all_the_same():
    slots = busy_slots()
    hot = [ask(slots, "a") for _ in range(MAX_QUEUE_PER_SLOT)]
    with pytest.raises(SlotError):
        result_of(ask(slots, "b", spill_deadline=0.001))
    assert not any(granted.called for granted in hot)


def test_one_request_gives_way_where_slots_were_taken_away():
    slots = busy_slots(capacity=2)
    hot = [ask(slots, "a") for _ in range(2 * MAX_QUEUE_PER_SLOT)]
    slots.resize(1)
    other = ask(slots, "b")
    with pytest.raises(SlotError):
        result_of(hot[-1])
    assert not other.called


def test_requests_that_leave_do_not_count_against_their_workspace():
    slots = busy_slots()
    left = [ask(slots, "a") for _ in range(3)]
    last = ask(slots, "b")
    for granted in reversed(left):
        granted.addErrback(lambda failure: None)
        granted.cancel()
    waiting = [("b", last), ("a", ask(slots, "a")), ("b", ask(slots, "b"))]
    assert order_served(slots, waiting) == "bab"


def test_end_of_one_refused_request_may_cancel_another():
    slots = busy_slots()
    first, second = ask(slots, "a"), ask(slots, "b")
    second.addErrback(lambda failure: None)
    first.addErrback(lambda failure: second.cancel())
    slots.refuse_waiting("the data centre is evacuated")
    assert second.called
    assert slots.queued == 0


def test_requests_that_have_left_do_not_pile_up_behind_those_that_wait():
    slots = busy_slots()
    ask(slots, "a")
    for _ in range(100):
        left = ask(slots, "b", rank=1)
        left.addErrback(lambda failure: None)
        left.cancel()
    assert len(slots.heap) <= 10
    waiting = [("c", ask(slots, "c", rank=1)), ("a", ask(slots, "a"))]
    assert order_served(slots, [*waiting, ("-", ask(slots, None))]) == "-a"
