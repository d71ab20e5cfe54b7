"""A target gets the requests a second that it names, and none once it leaves."""

import collections
import math
import random

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.advice import (
    LIMIT_TOLERANCE,
    NO_ADVICE,
    TargetAdvice,
    parse_advice,
)
from fulmarrudder.call.header_names import HeaderNames
from fulmarrudder.call.message import BodyEnd, Framing, Headers, ResponseHead
from fulmarrudder.call.rate import BURST_S, RateLimit
from fulmarrudder.model import Condition
from tests.call.test_host import Harness, refusal_in

# The stated bounds: from 3 s after a limit was named, a target gets in each 4 s at
# most one and a half times what it allows, and 5 requests more.
STABILITY_WINDOW_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
NAMES = HeaderNames(requests_per_s=b"server-limit", leaving=b"server-leaving")
STEP_S = 0.01


class LimitedTarget(Harness):
    """A host node whose target answers after a while, with what it tells.

    Attributes:
        advice: Fields of its answers.
        arrivals: Clock seconds at which requests arrived.
        ends: When each request is answered, and its exchange.
    """

    header_names = NAMES

    def __init__(self, work_s=0.06, slots=6):
        super().__init__()
        self.work_s = work_s
        self.advice = ()
        self.arrivals = []
        self.ends = collections.deque()
        self.found = []
        self.announce(slots=slots, connections=slots)

    def send(self, left=0.8):
        _, found = self.send_request(left=left)
        self.found.append(found)

    def step(self):
        self.clock.advance(STEP_S)
        now = self.clock.seconds()
        for connection in self.pool.made[len(self.arrivals) :]:
            self.arrivals.append(now)
            self.ends.append((now + self.work_s, connection.exchange))
        while self.ends and self.ends[0][0] <= now:
            self._answer(self.ends.popleft()[1])

    def _answer(self, exchange):
        exchange.receive(
            ResponseHead(
                status=200,
                reason=b"",
                headers=Headers(self.advice),
                framing=Framing.NONE,
            )
        )
        exchange.receive(BodyEnd())

    def run_load(self, seconds, per_s, rng):
        for _ in range(round(seconds / STEP_S)):
            for _ in range(int(per_s * STEP_S + rng.random())):
                self.send()
            self.step()
            if int(self.clock.seconds() * 100) % 100 == 0:
                self.announce(slots=6, connections=6)

    def served(self):
        return sum(
            1 for found in self.found if found and found[0].refusal is None
        )

    def most_arrivals(self, start):
        times = [at for at in self.arrivals if at >= start]
        return max(
            sum(1 for at in times if first <= at < first + LIMIT_WINDOW_S)
            for first in times
        )


def limit(value):
    return ((b"server-limit", value),)


LEAVING = ((b"server-leaving", b"1"),)


# Targets got twice the requests a second that they had named: nothing read it.
@pytest.mark.parametrize("per_s", [14.5, 32.2, 43.2, 51.3])
@pytest.mark.parametrize("seed", range(3))
def test_target_gets_no_more_than_the_limit_it_names(per_s, seed):
    target = LimitedTarget()
    rng = random.Random(seed)
    target.run_load(1.0, 85.0, rng)
    target.advice = limit(b"%.1f" % per_s)
    named_at = target.clock.seconds()
    target.run_load(15.0, 140.0, rng)
    allowed = LIMIT_RATIO * LIMIT_WINDOW_S * per_s + LIMIT_SLACK
    assert target.most_arrivals(named_at + STABILITY_WINDOW_S) <= allowed


# Guards against a limit that leaves a target idle: it takes what it has named.
@pytest.mark.parametrize("per_s", [14.5, 43.2])
def test_limited_target_is_used_up_to_its_limit(per_s):
    target = LimitedTarget()
    target.advice = limit(b"%.1f" % per_s)
    target.run_load(20.0, 140.0, random.Random(1))
    assert target.served() >= 0.9 * 20.0 * per_s


def test_limit_ends_with_the_first_answer_that_names_none():
    target = LimitedTarget()
    target.advice = limit(b"10")
    target.run_load(5.0, 100.0, random.Random(1))
    target.advice = ()
    target.run_load(1.0, 100.0, random.Random(1))
    before = target.served()
    target.run_load(5.0, 80.0, random.Random(1))
    assert target.served() - before >= 0.9 * 5.0 * 80.0


def test_new_incarnation_of_a_target_has_no_limit():
    target = LimitedTarget()
    target.advice = limit(b"1")
    target.run_load(2.0, 50.0, random.Random(1))
    target.announce(slots=6, connections=6, incarnation=2)
    assert not target.host.slots.rate.is_limited
    assert target.local_target.offered_slots == 6


# Guards against a limit that nobody would learn the end of.
def test_limit_of_zero_lets_a_request_through_now_and_then():
    target = LimitedTarget()
    target.advice = limit(b"0")
    target.run_load(20.0, 20.0, random.Random(1))
    assert target.arrivals[-1] > 15.0
    assert target.most_arrivals(STABILITY_WINDOW_S) <= LIMIT_SLACK


# Others then send as much as the limit lets in.
def test_limited_target_offers_the_slots_that_its_limit_keeps_busy():
    target = LimitedTarget(work_s=0.1)
    target.run_load(3.0, 50.0, random.Random(1))
    target.advice = limit(b"20")
    target.run_load(1.0, 50.0, random.Random(1))
    # An answer takes up to two steps of the clock more than its work.
    least, most = (20.0 * LIMIT_TOLERANCE * (0.1 + late) for late in (0, 0.02))
    offered = target.local_target.offered_slots
    assert math.ceil(least) <= offered <= math.ceil(most)


def test_request_that_the_limit_lets_in_too_late_is_refused_at_once():
    target = LimitedTarget()
    target.advice = limit(b"2")
    target.run_load(2.0, 20.0, random.Random(1))
    _, found = target.send_request(left=0.3)
    refusal = refusal_in(found)
    assert refusal.ran.value == "no"
    assert refusal.retry_after_s > 0.0


# A target that announced its leaving in its answers only was sent requests until it
# stopped.
def test_target_that_tells_its_leaving_gets_nothing_more():
    target = LimitedTarget()
    target.advice = LEAVING
    target.run_load(0.5, 50.0, random.Random(1))
    arrived = len(target.arrivals)
    assert target.local_target.condition is Condition.LEAVING
    _, found = target.send_request()
    assert refusal_in(found).reason.value == "leaving"
    target.run_load(10.0, 50.0, random.Random(1))
    assert len(target.arrivals) == arrived


def test_later_announcement_does_not_undo_that_a_target_leaves():
    target = LimitedTarget()
    target.advice = LEAVING
    target.run_load(0.2, 50.0, random.Random(1))
    target.announce(Condition.READY)
    assert target.local_target.condition is Condition.LEAVING
    target.announce(Condition.READY, incarnation=2)
    assert target.local_target.condition is Condition.READY


def test_answer_of_an_earlier_target_tells_nothing_of_the_next_one():
    target = LimitedTarget()
    target.send()
    target.announce(incarnation=2)
    target.advice = (*LEAVING, *limit(b"1"))
    for _ in range(10):
        target.step()
    assert target.local_target.condition is Condition.READY
    assert not target.host.slots.rate.is_limited


@pytest.mark.parametrize(
    ("fields", "advice"),
    [
        ((), NO_ADVICE),
        (limit(b"14.5"), TargetAdvice(requests_per_s=14.5)),
        (limit(b"0"), TargetAdvice(requests_per_s=0.0)),
        (limit(b"-1"), NO_ADVICE),
        (limit(b"nan"), NO_ADVICE),
        (limit(b"inf"), NO_ADVICE),
        (limit(b"many"), NO_ADVICE),
        (limit(b""), NO_ADVICE),
        (LEAVING, TargetAdvice(is_leaving=True)),
        (((b"server-leaving", b"0"),), NO_ADVICE),
    ],
)
def test_advice_of_an_answer(fields, advice):
    head = ResponseHead(
        status=200,
        reason=b"",
        headers=Headers(fields),
        framing=Framing.NONE,
    )
    assert parse_advice(head, NAMES) == advice


@pytest.mark.parametrize("per_s", [0.7, 3.0, 43.2, 500.0])
def test_rate_over_any_time_is_the_limit_and_a_burst(per_s):
    clock, rate, rng = Clock(), RateLimit(), random.Random(1)
    rate.set(per_s, 0.0)
    taken = []
    while clock.seconds() < 20.0:
        clock.advance(rng.uniform(0.0, 0.01))
        while rate.take(clock.seconds()):
            taken.append(clock.seconds())
    burst = max(1.0, BURST_S * per_s)
    for first in taken[:: max(1, len(taken) // 50)]:
        count = sum(1 for at in taken if first <= at < first + 4.0)
        assert count <= math.ceil(4.0 * per_s + burst)
    assert len(taken) >= 20.0 * per_s * 0.9 - 1


def test_rate_wait_tells_when_a_token_is_there():
    rate = RateLimit()
    rate.set(2.0, 10.0)
    assert rate.take(10.0)
    assert rate.wait_s(10.0) == pytest.approx(0.5)
    assert rate.wait_s(10.0, ahead=2) == pytest.approx(1.5)
    assert not rate.take(10.4)
    assert rate.take(10.5)
