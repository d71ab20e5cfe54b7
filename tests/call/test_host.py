"""The host node admits, claims, counts, and reports what ran."""

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
from fulmarrudder.call.write_buffer import WriteBuffer
from fulmarrudder.membership import Announcement, FactStore, LocalTarget
from fulmarrudder.model import Condition, Strike
from tests.call.fakes import FakeLog, FakeSource


class FakeTransport:
    """A transport that records calls."""

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
    """A connection to a target that is controlled by a test."""

    def __init__(self, clock):
        self.clock = clock
        self.transport = FakeTransport()
        self.write_buffer = WriteBuffer(self.transport, clock)
        self.exchange = None
        self.lost = False

    def start(self, head, body, fields=(), *, expect_continue=False):
        self.exchange = Exchange(
            self, head, body, expect_continue, clock=self.clock
        )
        self.exchange.start_body()
        return self.exchange

    def exchange_done(self, reusable):
        pass


class FakePool:
    """A pool of connections that are controlled by a test."""

    def __init__(self, clock):
        self.clock = clock
        self.made = []
        self.refuse = False
        self.released = []

    def release(self, connection):
        self.released.append(connection)

    async def take(self, address, *, recently_used=False):
        if self.refuse:
            raise ConnectError(address)
        self.made.append(FakeConnection(self.clock))
        return self.made[-1]


class Scene:
    """A host pipeline with its fakes."""

    def __init__(self):
        self.clock = Clock()
        self.pool = FakePool(self.clock)
        self.log = FakeLog()
        self.facts = FactStore()
        self.broadcast = []
        self.local_target = LocalTarget(self.clock)
        self.host = HostPipeline(
            clock=self.clock,
            pool=self.pool,
            local_target=self.local_target,
            facts=self.facts,
            log=self.log,
            rng=random.Random(1),
            broadcast=self.broadcast.append,
        )
        self.sequence = 0
        self.announce()

    def announce(self, condition=Condition.READY, slots=2, connections=9):
        self.sequence += 1
        self.local_target.update(
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
        self.host.apply_announcement()

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
    """A sink that records an answer's body."""

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


def test_complete_answer_is_passed_on_and_its_slot_released(scene):
    _, found = scene.ask()
    assert scene.host.slots.taken == 1
    scene.answer()
    sink = RecordingSink()
    found[0].stream_to(sink)
    assert (sink.data, sink.ended) == (b"paid", True)
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
def test_request_refused_as_not_run_was_not_sent_to_the_target(
    scene, prepare, reason
):
    prepare(scene)
    _, found = scene.ask()
    refusal = refusal_in(found)
    assert (refusal.ran.value, refusal.reason.value) == ("no", reason)
    assert not scene.pool.made
    assert scene.host.slots.taken == 0


def test_request_for_another_target_version_is_refused(scene):
    _, found = scene.ask(version="2")
    assert refusal_in(found).reason.value == "wrong-target"


def test_request_in_flight_completes_while_the_target_leaves(scene):
    _, found = scene.ask()
    scene.announce(Condition.LEAVING)
    scene.answer()
    assert found[0].head.status == 200


def test_request_queues_for_a_slot_and_is_then_refused_as_not_run(scene):
    for _ in range(2):
        scene.ask()
    _, queued = scene.ask(left=1.0)
    assert not queued
    scene.run(1.1)
    refusal = refusal_in(queued)
    assert (refusal.ran.value, refusal.reason.value) == ("no", "overloaded")
    assert len(scene.pool.made) == 2


def test_crashed_target_is_absent_before_its_announcements_time_out(scene):
    """Crashed targets were chosen until their announcements timed out."""
    scene.ask()
    scene.pool.refuse = True
    scene.pool.made[-1].exchange.lost()
    assert scene.local_target.condition is Condition.ABSENT
    scene.announce()
    assert scene.local_target.condition is Condition.READY


def test_target_that_only_closed_a_connection_stays_ready(scene):
    scene.ask()
    scene.pool.made[-1].exchange.lost()
    scene.run(PROBE_S + 0.01)
    assert scene.local_target.condition is Condition.READY
    assert len(scene.pool.released) == 1


def test_announced_connections_limit_concurrent_requests(scene):
    """The announced number was validated but never used."""
    scene.announce(slots=9, connections=1)
    scene.ask()
    _, queued = scene.ask()
    assert not queued
    assert len(scene.pool.made) == 1


def test_crash_makes_the_outcome_unknown_and_adds_a_strike(scene):
    _, found = scene.ask()
    scene.pool.refuse = True
    scene.pool.made[0].exchange.lost()
    assert refusal_in(found).ran.value == "unknown"
    assert [type(f) for f in scene.broadcast] == [Strike]
    assert scene.host.slots.taken == 0


def test_lost_connection_makes_the_outcome_unknown_without_a_strike(scene):
    """Answers cut off in transit were counted as crashes of the target."""
    _, found = scene.ask()
    scene.pool.made[0].exchange.lost()
    scene.run(PROBE_S + 0.01)
    assert refusal_in(found).ran.value == "unknown"
    assert not scene.broadcast
    assert scene.host.slots.taken == 0


def test_target_that_accepts_a_connection_while_exiting_adds_a_strike(scene):
    """Under load, a killed process still accepted the probe's connection."""
    scene.ask()
    scene.pool.made[0].exchange.lost()
    scene.run(PROBE_S / 2)
    scene.pool.made[1].lost = True
    scene.run(PROBE_S)
    assert [type(f) for f in scene.broadcast] == [Strike]
    assert scene.local_target.condition is Condition.ABSENT
    assert not scene.pool.released


def test_late_request_is_cancelled_and_reported_as_unknown(scene):
    _, found = scene.ask(left=0.5)
    scene.run(0.6)
    refusal = refusal_in(found)
    assert (refusal.status, refusal.ran.value) == (504, "unknown")
    assert scene.pool.made[0].transport.aborted
    assert scene.host.slots.taken == 0


def test_lost_caller_cancels_an_unclaimed_request(scene):
    opening, _ = scene.ask()
    opening.cancel()
    assert scene.pool.made[0].transport.aborted
    assert scene.host.slots.taken == 0


def test_duplicate_deposit_runs_once_and_is_answered_twice(scene):
    _, first = scene.ask(key="k")
    scene.run(0.1)
    scene.answer()
    scene.run(0.1)
    _, second = scene.ask(key="k")
    scene.run(0.2)
    assert len(scene.pool.made) == 1
    assert first[0].body == second[0].body == b"paid"


def test_deposit_of_a_lost_caller_still_completes(scene):
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


def test_deposit_whose_target_crashed_never_runs_again(scene):
    _, first = scene.ask(key="k")
    scene.run(0.1)
    scene.pool.made[0].exchange.lost()
    assert refusal_in(first).ran.value == "unknown"
    _, second = scene.ask(key="k", left=1.0)
    scene.run(1.5)
    assert refusal_in(second).ran.value == "unknown"
    carried = [c for c in scene.pool.made if c.exchange is not None]
    assert len(carried) == 1


def test_deposit_that_did_not_reach_its_target_may_be_retried(scene):
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


def test_deposit_is_refused_as_not_run_while_the_log_is_unavailable(scene):
    scene.log.away = True
    _, found = scene.ask(key="k")
    scene.run(4.0)
    refusal = refusal_in(found)
    assert refusal.ran.value == "no"
    assert refusal.reason.value == "claims-unavailable"
    assert not scene.pool.made


def test_large_answer_is_not_stored_but_reported_as_run(scene):
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
    assert (tally.requests, tally.failures, sum(tally.latency_buckets)) == (
        1,
        1,
        0,
    )


def test_cancelled_claim_leaves_no_request_in_flight(scene):
    opening, found = scene.ask(key="k")
    assert isinstance(opening, Deferred)
    opening.cancel()
    scene.run(1.0)
    assert scene.host.in_flight == 0
    assert found
