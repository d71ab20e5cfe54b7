"""A key's request runs at most once, whatever is lost on the way."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.call.claims import (
    Away,
    Claims,
    Mine,
    Pending,
    Reused,
    Settled,
)
from fulmarrudder.log import claims_stream
from fulmarrudder.model import SettleKey
from tests.call.fakes import FakeLog

STREAM = claims_stream("caja")


def claims(log, clock):
    return Claims(log, "caja", clock, random.Random(1))


def claim(among, clock, key="k", fingerprint="f", limit=5.0):
    started = ensureDeferred(
        among.claim(key, fingerprint, clock.seconds() + limit)
    )
    found = []
    started.addBoth(found.append)
    return found


def run(clock, seconds=6.0):
    for _ in range(int(seconds / 0.01)):
        clock.advance(0.01)


def settle(by, mine, key="k"):
    by.settle(
        SettleKey(
            key=key,
            claim=mine.claim,
            status=201,
            content_type="text/plain",
            body="paid",
        )
    )


def test_first_claim_holds_and_a_second_node_gets_the_kept_answer():
    log, clock = FakeLog(), Clock()
    first, second = claims(log, clock), claims(log, clock)
    mine = claim(first, clock)
    run(clock, 0.1)
    assert isinstance(mine[0], Mine)
    settle(first, mine[0])
    run(clock, 0.1)
    again = claim(second, clock)
    run(clock, 0.1)
    assert isinstance(again[0], Settled)
    assert again[0].answer.body == "paid"


def test_copy_that_comes_while_the_first_runs_waits_for_its_answer():
    log, clock = FakeLog(), Clock()
    first, second = claims(log, clock), claims(log, clock)
    mine = claim(first, clock)
    run(clock, 0.1)
    again = claim(second, clock)
    hopeless = claim(claims(log, clock), clock, limit=1.0)
    run(clock, 2.0)
    assert not again
    assert isinstance(hopeless[0], Pending)
    settle(first, mine[0])
    run(clock, 0.5)
    assert again[0].answer.body == "paid"


def test_key_of_another_request_is_refused():
    log, clock = FakeLog(), Clock()
    among = claims(log, clock)
    claim(among, clock)
    run(clock, 0.1)
    other = claim(among, clock, fingerprint="g")
    run(clock, 0.1)
    assert isinstance(other[0], Reused)


def test_nothing_is_claimed_while_the_log_is_away():
    log, clock = FakeLog(), Clock()
    log.away = True
    among = claims(log, clock)
    away = claim(among, clock)
    run(clock)
    assert isinstance(away[0], Away)
    log.away = False
    run(clock)
    later = claim(among, clock)
    run(clock, 0.1)
    assert isinstance(later[0], Mine)


def test_claim_whose_answer_was_lost_still_holds():
    log, clock = FakeLog(), Clock()
    log.lose = 1
    among = claims(log, clock)
    mine = claim(among, clock)
    run(clock, 2.0)
    assert isinstance(mine[0], Mine)
    assert len(log.streams[STREAM]) == 2


def test_late_copy_of_a_released_claim_is_void():
    log, clock = FakeLog(), Clock()
    among = claims(log, clock)
    mine = claim(among, clock)
    run(clock, 0.1)
    text = log.streams[STREAM][0]
    among.release("k", mine[0].claim)
    run(clock, 0.1)
    log.append(STREAM, (text,))
    fresh = claims(log, clock)
    later = claim(fresh, clock)
    run(clock, 0.1)
    assert isinstance(later[0], Mine)


def test_claims_whose_records_expired_are_forgotten():
    log, clock = FakeLog(), Clock()
    among = claims(log, clock)
    claim(among, clock)
    run(clock, 0.1)
    log.append(STREAM, ("x", "y"))
    log.expire(STREAM, 3)
    fresh = claims(log, clock)
    later = claim(fresh, clock)
    run(clock, 0.2)
    assert isinstance(later[0], Mine)


def test_cancelled_claim_is_released():
    log, clock = FakeLog(), Clock()
    among = claims(log, clock)
    started = ensureDeferred(among.claim("k", "f", 5.0))
    started.addErrback(lambda failure: None)
    started.cancel()
    run(clock, 0.5)
    later = claim(among, clock)
    run(clock, 0.1)
    assert isinstance(later[0], Mine)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["claim", "lose", "away", "back", "settle", "fresh"]),
        st.integers(0, 2),
        st.integers(1, 60),
    ),
    max_size=25,
)


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(EVENTS)
def test_one_key_is_never_mine_twice_without_a_release(events):
    """Searches orders of losses, outages and restarts of three nodes."""
    log, clock = FakeLog(), Clock()
    nodes = [claims(log, clock) for _ in range(3)]
    asked = []
    for kind, index, steps in events:
        if kind == "claim":
            asked.append((index, claim(nodes[index], clock, limit=1.0)))
        elif kind == "lose":
            log.lose += 1
        elif kind in ("away", "back"):
            log.away = kind == "away"
        elif kind == "fresh":
            nodes[index] = claims(log, clock)
        else:
            for by, found in asked:
                if found and isinstance(found[0], Mine):
                    settle(nodes[by], found[0])
        run(clock, steps * 0.01)
    log.away = False
    run(clock, 3.0)
    ran = [f[0] for _, f in asked if f and isinstance(f[0], Mine)]
    assert len(ran) <= 1
