"""The request of an idempotency key runs at most once, despite losses."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.call.claims import (
    Acquired,
    Claims,
    Pending,
    Reused,
    Settled,
    Unavailable,
)
from fulmarrudder.log import claims_stream
from fulmarrudder.model import SettleKey
from tests.call.fakes import FakeLog

STREAM = claims_stream("caja")


def make_claims(log, clock):
    return Claims(log, "caja", clock, random.Random(1))


def claim(service_claims, clock, key="k", fingerprint="f", limit=5.0):
    claiming = ensureDeferred(
        service_claims.claim(key, fingerprint, clock.seconds() + limit)
    )
    results = []
    claiming.addBoth(results.append)
    return results


def run(clock, seconds=6.0):
    for _ in range(int(seconds / 0.01)):
        clock.advance(0.01)


def settle(by, acquired, key="k"):
    by.settle(
        SettleKey(
            key=key,
            claim=acquired.claim_id,
            status=201,
            content_type="text/plain",
            body="paid",
        )
    )


def test_first_claim_holds_and_a_second_node_gets_the_stored_answer():
    log, clock = FakeLog(), Clock()
    first, second = make_claims(log, clock), make_claims(log, clock)
    acquired = claim(first, clock)
    run(clock, 0.1)
    assert isinstance(acquired[0], Acquired)
    settle(first, acquired[0])
    run(clock, 0.1)
    duplicate = claim(second, clock)
    run(clock, 0.1)
    assert isinstance(duplicate[0], Settled)
    assert duplicate[0].answer.body == "paid"


def test_duplicate_waits_for_the_answer_of_the_first():
    log, clock = FakeLog(), Clock()
    first, second = make_claims(log, clock), make_claims(log, clock)
    acquired = claim(first, clock)
    run(clock, 0.1)
    duplicate = claim(second, clock)
    timed_out = claim(make_claims(log, clock), clock, limit=1.0)
    run(clock, 2.0)
    assert not duplicate
    assert isinstance(timed_out[0], Pending)
    settle(first, acquired[0])
    run(clock, 0.5)
    assert duplicate[0].answer.body == "paid"


def test_key_of_another_request_is_refused():
    log, clock = FakeLog(), Clock()
    service_claims = make_claims(log, clock)
    claim(service_claims, clock)
    run(clock, 0.1)
    other = claim(service_claims, clock, fingerprint="g")
    run(clock, 0.1)
    assert isinstance(other[0], Reused)


def test_nothing_is_claimed_while_the_log_is_unavailable():
    log, clock = FakeLog(), Clock()
    log.unavailable = True
    service_claims = make_claims(log, clock)
    unavailable = claim(service_claims, clock)
    run(clock)
    assert isinstance(unavailable[0], Unavailable)
    log.unavailable = False
    run(clock)
    later = claim(service_claims, clock)
    run(clock, 0.1)
    assert isinstance(later[0], Acquired)


# The request of the other claim may have run.
def test_fault_while_another_claim_holds_the_key_leaves_its_outcome_open():
    log, clock = FakeLog(), Clock()
    claim(make_claims(log, clock), clock)
    run(clock, 0.1)
    duplicate = claim(make_claims(log, clock), clock)
    run(clock, 0.01)

    def fail_to_read(*args, **kwargs):
        raise ValueError("not a batch")

    log.read = fail_to_read
    run(clock, 1.0)
    assert isinstance(duplicate[0], Pending)


def test_claim_whose_append_got_no_reply_still_holds():
    log, clock = FakeLog(), Clock()
    log.answers_to_lose = 1
    service_claims = make_claims(log, clock)
    acquired = claim(service_claims, clock)
    run(clock, 2.0)
    assert isinstance(acquired[0], Acquired)
    assert len(log.streams[STREAM]) == 2


def test_late_duplicate_of_a_released_claim_is_void():
    log, clock = FakeLog(), Clock()
    service_claims = make_claims(log, clock)
    acquired = claim(service_claims, clock)
    run(clock, 0.1)
    text = log.streams[STREAM][0]
    service_claims.release("k", acquired[0].claim_id)
    run(clock, 0.1)
    log.append(STREAM, (text,))
    restarted = make_claims(log, clock)
    later = claim(restarted, clock)
    run(clock, 0.1)
    assert isinstance(later[0], Acquired)


def test_claims_whose_records_expired_are_dropped():
    log, clock = FakeLog(), Clock()
    service_claims = make_claims(log, clock)
    claim(service_claims, clock)
    run(clock, 0.1)
    log.append(STREAM, ("x", "y"))
    log.expire(STREAM, 3)
    restarted = make_claims(log, clock)
    later = claim(restarted, clock)
    run(clock, 0.2)
    assert isinstance(later[0], Acquired)


def test_cancelled_claim_is_released():
    log, clock = FakeLog(), Clock()
    service_claims = make_claims(log, clock)
    claiming = ensureDeferred(service_claims.claim("k", "f", 5.0))
    claiming.addErrback(lambda failure: None)
    claiming.cancel()
    run(clock, 0.5)
    later = claim(service_claims, clock)
    run(clock, 0.1)
    assert isinstance(later[0], Acquired)


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
def test_one_key_is_never_acquired_twice_without_a_release(events):
    """Searches sequences of losses, outages and restarts of three nodes."""
    log, clock = FakeLog(), Clock()
    nodes = [make_claims(log, clock) for _ in range(3)]
    attempts = []
    for kind, index, steps in events:
        if kind == "claim":
            attempts.append((index, claim(nodes[index], clock, limit=1.0)))
        elif kind == "lose":
            log.answers_to_lose += 1
        elif kind in ("away", "back"):
            log.unavailable = kind == "away"
        elif kind == "fresh":
            nodes[index] = make_claims(log, clock)
        else:
            for by, results in attempts:
                if results and isinstance(results[0], Acquired):
                    settle(nodes[by], results[0])
        run(clock, steps * 0.01)
    log.unavailable = False
    run(clock, 3.0)
    ran = [f[0] for _, f in attempts if f and isinstance(f[0], Acquired)]
    assert len(ran) <= 1
