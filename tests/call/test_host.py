"""The node beside a target admits, claims, counts and tells the truth."""

import random

import pytest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.errors import ConnectError
from fulmarrudder.call.exchange import Exchange
from fulmarrudder.call.host import PROBE_S, HostPipeline, HostRequest
from fulmarrudder.call.message import (
    BodyEnd,
    BodyPart,
    Framing,
    Headers,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.outlet import Outlet
from fulmarrudder.membership import Announcement, Beside, FactStore
from fulmarrudder.model import Condition, Strike
from tests.call.fakes import FakeLog, FakeSource


class FakeTransport:
    """A transport that notes what is done to it."""

    def __init__(self):
        self.aborted = False
        self.written = b""

    def write(self, data):
        self.written += data

    def registerProducer(self, producer, streaming):  # noqa: N802
        pass

    def unregisterProducer(self):  # noqa: N802
        pass

    def pauseProducing(self):  # noqa: N802
        pass

    def resumeProducing(self):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True


class FakeConnection:
    """A connection to a target that a test plays."""

    def __init__(self, clock):
        self.clock = clock
        self.transport = FakeTransport()
        self.outlet = Outlet(self.transport, clock)
        self.exchange = None
        self.lost = False

    def start(self, head, body, fields=(), *, expect_continue=False):
        self.exchange = Exchange(
            self, head, body, expect_continue, clock=self.clock
        )
        self.exchange.start_body()
        return self.exchange

    def finished(self, reusable):
        pass


class FakePool:
    """Hands out connections that a test plays."""

    def __init__(self, clock):
        self.clock = clock
        self.made = []
        self.refuse = False
        self.given_back = []

    def give_back(self, connection):
        self.given_back.append(connection)

    async def take(self, address, *, fresh=False):
        if self.refuse:
            raise ConnectError(address)
        self.made.append(FakeConnection(self.clock))
        return self.made[-1]


class Scene:
    """A host with its fakes."""

    def __init__(self):
        self.clock = Clock()
        self.pool = FakePool(self.clock)
        self.log = FakeLog()
        self.facts = FactStore()
        self.spread = []
        self.beside = Beside(self.clock)
        self.host = HostPipeline(
            clock=self.clock,
            pool=self.pool,
            beside=self.beside,
            facts=self.facts,
            log=self.log,
            rng=random.Random(1),
            spread=self.spread.append,
        )
        self.sequence = 0
        self.announce()

    def announce(self, condition=Condition.READY, slots=2, connections=9):
        self.sequence += 1
        self.beside.take(
            Announcement(
                service="caja",
                target_version="1",
                address="127.0.0.1:1",
                incarnation=1,
                sequence=self.sequence,
                condition=condition,
                slots=slots,
                connections=connections,
            )
        )
        self.host.announced()

    def ask(self, key="", version="1", left=5.0, fingerprint="f"):
        head = RequestHead(
            method=b"POST",
            target=b"/deposits",
            headers=Headers(),
            framing=Framing.LENGTH,
            length=1,
        )
        body = RequestBody(FakeSource())
        body.receive_part(b"x")
        body.receive_end()
        request = HostRequest(
            head=head,
            service="caja",
            target_version=version,
            route="deposits",
            fingerprint=fingerprint,
            key=key,
            repeatable=False,
            deadline=self.clock.seconds() + left,
        )
        return self.open(request, body)

    def open(self, request, body):
        opening = ensureDeferred(self.host.open(request, body, lambda: None))
        found = []
        opening.addBoth(found.append)
        return opening, found

    def run(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    def answer(self, index=-1, status=200, data=b"paid"):
        exchange = self.pool.made[index].exchange
        exchange.receive(
            ResponseHead(
                status=status,
                reason=b"",
                headers=Headers(),
                framing=Framing.LENGTH,
                length=len(data),
            )
        )
        exchange.receive(BodyPart(data))
        exchange.receive(BodyEnd())


class RecordingSink:
    """Takes an answer's body."""

    def __init__(self):
        self.data = b""
        self.ended = False
        self.broken = False

    def set_producer(self, producer):
        pass

    def write_part(self, data):
        self.data += data

    def write_end(self):
        self.ended = True

    def abort_answer(self):
        self.broken = True


@pytest.fixture
def scene():
    return Scene()


def refusal_in(found):
    return found[0].refusal


def test_answer_passes_whole_and_frees_its_slot(scene):
    _, found = scene.ask()
    assert scene.host.slots.taken == 1
    scene.answer()
    taker = RecordingSink()
    found[0].stream_to(taker)
    assert (taker.data, taker.ended) == (b"paid", True)
    assert scene.host.slots.taken == 0
    assert scene.host.in_flight == 0


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (lambda s: s.announce(Condition.LEAVING), "leaving"),
        (lambda s: setattr(s.host, "leaving", True), "leaving"),
        (lambda s: s.clock.advance(10.0), "no-target"),
        (lambda s: setattr(s.pool, "refuse", True), "target-unreachable"),
    ],
)
def test_refusal_as_not_run_never_reached_the_target(scene, prepare, reason):
    prepare(scene)
    _, found = scene.ask()
    refusal = refusal_in(found)
    assert (refusal.ran.value, refusal.reason.value) == ("no", reason)
    assert not scene.pool.made
    assert scene.host.slots.taken == 0


def test_request_for_another_target_version_is_refused(scene):
    _, found = scene.ask(version="2")
    assert refusal_in(found).reason.value == "wrong-target"


def test_request_in_flight_ends_after_the_target_announced_to_leave(scene):
    _, found = scene.ask()
    scene.announce(Condition.LEAVING)
    scene.answer()
    assert found[0].head.status == 200


def test_full_slots_queue_and_then_refuse_as_not_run(scene):
    for _ in range(2):
        scene.ask()
    _, queued = scene.ask(left=1.0)
    assert not queued
    scene.run(1.1)
    refusal = refusal_in(queued)
    assert (refusal.ran.value, refusal.reason.value) == ("no", "overloaded")
    assert len(scene.pool.made) == 2


def test_target_that_died_is_absent_before_its_silence_tells(scene):
    """Found in CI: dead targets were chosen until they had been silent."""
    scene.ask()
    scene.pool.refuse = True
    scene.pool.made[-1].exchange.lost()
    assert scene.beside.condition is Condition.ABSENT
    scene.announce()
    assert scene.beside.condition is Condition.READY


def test_target_that_closed_a_connection_stays(scene):
    scene.ask()
    scene.pool.made[-1].exchange.lost()
    scene.run(PROBE_S + 0.01)
    assert scene.beside.condition is Condition.READY
    assert len(scene.pool.given_back) == 1


def test_announced_connections_bound_what_is_sent_at_once(scene):
    """Found by reading: the number was validated and never used."""
    scene.announce(slots=9, connections=1)
    scene.ask()
    _, queued = scene.ask()
    assert not queued
    assert len(scene.pool.made) == 1


def test_target_that_dies_leaves_the_outcome_unknown_and_a_strike(scene):
    _, found = scene.ask()
    scene.pool.refuse = True
    scene.pool.made[0].exchange.lost()
    assert refusal_in(found).ran.value == "unknown"
    assert [type(f) for f in scene.spread] == [Strike]
    assert scene.host.slots.taken == 0


def test_target_that_lives_on_leaves_the_outcome_unknown_and_no_strike(scene):
    """Played days with answers cut off: honest requests became suspects."""
    _, found = scene.ask()
    scene.pool.made[0].exchange.lost()
    scene.run(PROBE_S + 0.01)
    assert refusal_in(found).ran.value == "unknown"
    assert not scene.spread
    assert scene.host.slots.taken == 0


def test_target_that_accepts_a_connection_while_it_dies_leaves_a_strike(scene):
    """Seen in CI beside load: a killed process accepted the probe."""
    scene.ask()
    scene.pool.made[0].exchange.lost()
    scene.run(PROBE_S / 2)
    scene.pool.made[1].lost = True
    scene.run(PROBE_S)
    assert [type(f) for f in scene.spread] == [Strike]
    assert scene.beside.condition is Condition.ABSENT
    assert not scene.pool.given_back


def test_late_target_is_cancelled_and_told_as_unknown(scene):
    _, found = scene.ask(left=0.5)
    scene.run(0.6)
    refusal = refusal_in(found)
    assert (refusal.status, refusal.ran.value) == (504, "unknown")
    assert scene.pool.made[0].transport.aborted
    assert scene.host.slots.taken == 0


def test_caller_that_goes_away_cancels_an_unclaimed_request(scene):
    opening, _ = scene.ask()
    opening.cancel()
    assert scene.pool.made[0].transport.aborted
    assert scene.host.slots.taken == 0


def test_deposit_sent_twice_runs_once_and_is_answered_twice(scene):
    _, first = scene.ask(key="k")
    scene.run(0.1)
    scene.answer()
    scene.run(0.1)
    _, second = scene.ask(key="k")
    scene.run(0.2)
    assert len(scene.pool.made) == 1
    assert first[0].body == second[0].body == b"paid"


def test_deposit_whose_caller_went_away_still_runs_to_its_end(scene):
    opening, _ = scene.ask(key="k")
    scene.run(0.1)
    opening.cancel()
    assert not scene.pool.made[0].transport.aborted
    scene.answer()
    scene.run(0.1)
    _, again = scene.ask(key="k")
    scene.run(0.2)
    assert again[0].body == b"paid"
    assert len(scene.pool.made) == 1
    assert scene.host.slots.taken == 0


def test_deposit_whose_target_died_never_runs_again(scene):
    _, first = scene.ask(key="k")
    scene.run(0.1)
    scene.pool.made[0].exchange.lost()
    assert refusal_in(first).ran.value == "unknown"
    _, second = scene.ask(key="k", left=1.0)
    scene.run(1.5)
    assert refusal_in(second).ran.value == "unknown"
    carried = [c for c in scene.pool.made if c.exchange is not None]
    assert len(carried) == 1


def test_deposit_that_could_not_reach_its_target_may_be_sent_again(scene):
    scene.pool.refuse = True
    _, first = scene.ask(key="k")
    scene.run(0.2)
    assert refusal_in(first).ran.value == "no"
    scene.pool.refuse = False
    scene.announce()
    _, second = scene.ask(key="k")
    scene.run(0.2)
    scene.answer()
    assert second[0].body == b"paid"


def test_deposit_is_refused_as_not_run_while_the_log_is_away(scene):
    scene.log.away = True
    _, found = scene.ask(key="k")
    scene.run(4.0)
    refusal = refusal_in(found)
    assert refusal.ran.value == "no"
    assert refusal.reason.value == "claims-unavailable"
    assert not scene.pool.made


def test_large_answer_to_a_deposit_is_not_kept_but_known_to_have_run(scene):
    _, first = scene.ask(key="k")
    scene.run(0.1)
    scene.answer(data=b"z" * 10_000)
    scene.run(0.1)
    _, second = scene.ask(key="k")
    scene.run(0.2)
    assert first[0].body == b"z" * 10_000
    assert refusal_in(second).ran.value == "yes"


def test_cold_target_counts_failures_but_not_latency(scene):
    scene.ask()
    scene.answer(status=500)
    tally = scene.host.tallies.of_service("caja")[0]
    assert (tally.requests, tally.failures, sum(tally.slow)) == (1, 1, 0)


def test_waiting_deferreds_are_not_left_behind(scene):
    opening, found = scene.ask(key="k")
    assert isinstance(opening, Deferred)
    opening.cancel()
    scene.run(1.0)
    assert scene.host.in_flight == 0
    assert found
