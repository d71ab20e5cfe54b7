"""Only what is known not to have run, or is harmless, is tried again."""

import pytest

from fulmarrudder.call.ending import Answered, Broken, Declined, Late
from fulmarrudder.call.message import Ran, Refusal, RefusalReason
from fulmarrudder.call.observed import Room
from fulmarrudder.call.retry import (
    BUDGET_LIMIT,
    MOST_ATTEMPTS,
    Attempt,
    Next,
    RetryBudget,
    next_after,
    worth_asking,
)


def attempt(*, repeatable=False, replayable=True, number=1):
    return Attempt(repeatable=repeatable, replayable=replayable, number=number)


def declined(ran, reason=RefusalReason.OVERLOADED):
    return Declined(refusal=Refusal(status=503, reason=reason, ran=ran))


@pytest.mark.parametrize(
    ("ending", "made", "after"),
    [
        (Answered(status=200), attempt(), Next.DELIVER),
        (Answered(status=500), attempt(repeatable=True), Next.DELIVER),
        (Answered(status=503), attempt(repeatable=True), Next.RETRY),
        (Answered(status=503), attempt(), Next.DELIVER),
        (declined(Ran.NO), attempt(), Next.RETRY),
        (declined(Ran.NO), attempt(replayable=False), Next.REFUSE),
        (declined(Ran.UNKNOWN), attempt(repeatable=True), Next.REFUSE),
        (declined(Ran.YES), attempt(), Next.REFUSE),
        (declined(Ran.NO, RefusalReason.SUSPECT), attempt(), Next.REFUSE),
        (declined(Ran.NO, RefusalReason.CLAIMS_AWAY), attempt(), Next.REFUSE),
        (Broken(), attempt(), Next.REFUSE),
        (Broken(), attempt(repeatable=True), Next.RETRY),
        (Broken(), attempt(repeatable=True, replayable=False), Next.REFUSE),
        (
            Broken(),
            attempt(repeatable=True, number=MOST_ATTEMPTS),
            Next.REFUSE,
        ),
        (Late(), attempt(repeatable=True), Next.REFUSE),
    ],
)
def test_what_follows(ending, made, after):
    assert next_after(ending, made) is after


def test_budget_bounds_retries_to_a_share_of_requests():
    budget = RetryBudget()
    taken = 0
    while budget.withdraw():
        taken += 1
    assert taken == BUDGET_LIMIT
    for _ in range(100):
        budget.deposit()
    retried = 0
    while budget.withdraw():
        retried += 1
    assert 9 <= retried <= 10


@pytest.mark.parametrize(
    ("room", "crowded", "asked"),
    [
        (Room.FULL, 0, True),
        (Room.FULL, 1, False),
        (Room.UNKNOWN, 1, True),
        (Room.UNKNOWN, 2, False),
        (Room.FREE, 4, True),
    ],
)
def test_request_that_was_turned_away_asks_where_there_may_be_room(
    room, crowded, asked
):
    """Played pozarnik-mesh scale-1: requests went from one full node to five."""
    assert worth_asking(room, crowded) is asked
