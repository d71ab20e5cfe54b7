"""The host node admits, claims, counts, and reports what ran."""

import math
import random

import pytest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.call import claimed
from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.errors import ConnectError
from fulmarrudder.call.exchange import Exchange
from fulmarrudder.call.header_names import DEFAULT_HEADER_NAMES
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
from fulmarrudder.model import Condition, Evacuation, Strike
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
        self.fields = ()
        self.lost = False

    def start(self, head, body, fields=(), *, expect_continue=False):
        self.fields = fields
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

    async def acquire(
        self, address, *, recently_used=False, new=False, deadline=math.inf
    ):
        if self.refuse:
            raise ConnectError(address)
        self.made.append(FakeConnection(self.clock))
        return self.made[-1]


class Harness:
    """A host pipeline with its fakes."""

    header_names = DEFAULT_HEADER_NAMES

    def __init__(self):
        self.clock = self.make_clock()
        self.pool = self.make_pool()
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
            header_names=self.header_names,
        )
        self.sequence = 0
        self.announce()

    def make_clock(self):
        return Clock()

    def make_pool(self):
        return FakePool(self.clock)

    def announce(
        self,
        condition=Condition.READY,
        slots=2,
        connections=9,
        service="caja",
        incarnation=1,
        cold_until=0.0,
    ):
        self.sequence += 1
        self.local_target.update(
            Announcement(
                service=service,
                target_version="1",
                address=f"127.0.0.1:{incarnation}",
                incarnation=incarnation,
                sequence=self.sequence,
                condition=condition,
                slots=slots,
                connections=connections,
                cold_until=cold_until,
            )
        )
        self.host.apply_announcement()

    def send_request(self, key="", version="1", left=5.0, fingerprint="f"):
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
        return self.serve(request, body)

    def serve(self, request, body):
        pending_answer = ensureDeferred(
            self.host.serve(request, body, lambda: None)
        )
        found = []
        pending_answer.addBoth(found.append)
        return pending_answer, found

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
def harness():
    return Harness()


def refusal_in(found):
    return found[0].refusal


def test_complete_answer_is_passed_on_and_its_slot_released(harness):
    _, found = harness.send_request()
    assert harness.host.slots.taken == 1
    harness.answer()
    sink = RecordingSink()
    found[0].stream_to(sink)
    assert (sink.data, sink.ended) == (b"paid", True)
    assert harness.host.slots.taken == 0
    assert harness.host.in_flight == 0


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
    harness, prepare, reason
):
    prepare(harness)
    _, found = harness.send_request()
    refusal = refusal_in(found)
    assert (refusal.ran.value, refusal.reason.value) == ("no", reason)
    assert not harness.pool.made
    assert harness.host.slots.taken == 0


def test_request_for_another_target_version_is_refused(harness):
    _, found = harness.send_request(version="2")
    assert refusal_in(found).reason.value == "wrong-target"


def test_request_in_flight_completes_while_the_target_leaves(harness):
    _, found = harness.send_request()
    harness.announce(Condition.LEAVING)
    harness.answer()
    assert found[0].head.status == 200


def test_request_queues_for_a_slot_and_is_then_refused_as_not_run(harness):
    for _ in range(2):
        harness.send_request()
    _, queued = harness.send_request(left=1.0)
    assert not queued
    harness.run(1.1)
    refusal = refusal_in(queued)
    assert (refusal.ran.value, refusal.reason.value) == ("no", "overloaded")
    assert len(harness.pool.made) == 2


# A long queue behind a target that leaves was refused by recursion: one request got
# no answer, a slot was lost, and those behind it waited until they expired.
@pytest.mark.parametrize("slots", [1, 50, 200])
def test_every_queued_request_is_refused_once_the_target_leaves(harness, slots):
    harness.announce(slots=slots, connections=slots)
    running = [harness.send_request(left=60.0) for _ in range(slots)]
    queued = [harness.send_request(left=60.0)[1] for _ in range(4 * slots)]
    assert harness.host.slots.queued == 4 * slots
    harness.announce(Condition.LEAVING, slots=slots, connections=slots)
    harness.answer(0)
    assert [refusal_in(found).reason.value for found in queued] == [
        "leaving"
    ] * len(queued)
    assert harness.host.slots.taken == len(running) - 1
    assert harness.host.slots.queued == 0


# A request that waits in a data centre being emptied would be run there later.
def test_waiting_requests_are_refused_and_running_ones_end_when_evacuated(
    harness,
):
    running = [harness.send_request()[1] for _ in range(2)]
    waiting = [harness.send_request()[1] for _ in range(3)]
    harness.host.data_centre = "lima-1"
    harness.facts.merge(
        Evacuation(data_centre="lima-1", offset=5, in_force=True), 0.0
    )
    harness.host.apply_evacuation()
    _, later = harness.send_request()
    for found in (*waiting, later):
        refusal = refusal_in(found)
        assert (refusal.ran.value, refusal.reason.value) == ("no", "evacuated")
    for index in range(2):
        harness.answer(index)
        assert running[index][0].head.status == 200
    assert len(harness.pool.made) == 2
    assert harness.host.slots.queued == 0


def test_crashed_target_is_absent_before_its_announcements_time_out(harness):
    """Crashed targets were chosen until their announcements timed out."""
    harness.send_request()
    harness.pool.refuse = True
    harness.pool.made[-1].exchange.connection_lost()
    assert harness.local_target.condition is Condition.ABSENT
    harness.announce()
    assert harness.local_target.condition is Condition.READY


def test_target_that_only_closed_a_connection_stays_ready(harness):
    harness.send_request()
    harness.pool.made[-1].exchange.connection_lost()
    harness.run(PROBE_S + 0.01)
    assert harness.local_target.condition is Condition.READY
    assert len(harness.pool.released) == 1


def test_announced_connections_limit_concurrent_requests(harness):
    """The announced number was validated but never used."""
    harness.announce(slots=9, connections=1)
    harness.send_request()
    _, queued = harness.send_request()
    assert not queued
    assert len(harness.pool.made) == 1


def test_crash_makes_the_outcome_unknown_and_adds_a_strike(harness):
    _, found = harness.send_request()
    harness.pool.refuse = True
    harness.pool.made[0].exchange.connection_lost()
    assert refusal_in(found).ran.value == "unknown"
    assert [type(f) for f in harness.broadcast] == [Strike]
    assert harness.host.slots.taken == 0


def test_lost_connection_makes_the_outcome_unknown_without_a_strike(harness):
    """Answers cut off in transit were counted as crashes of the target."""
    _, found = harness.send_request()
    harness.pool.made[0].exchange.connection_lost()
    harness.run(PROBE_S + 0.01)
    assert refusal_in(found).ran.value == "unknown"
    assert not harness.broadcast
    assert harness.host.slots.taken == 0


def test_target_that_accepts_a_connection_while_exiting_adds_a_strike(harness):
    """Under load, a killed process still accepted the probe's connection."""
    harness.send_request()
    harness.pool.made[0].exchange.connection_lost()
    harness.run(PROBE_S / 2)
    harness.pool.made[1].lost = True
    harness.run(PROBE_S)
    assert [type(f) for f in harness.broadcast] == [Strike]
    assert harness.local_target.condition is Condition.ABSENT
    assert not harness.pool.released


def test_late_request_is_cancelled_and_reported_as_unknown(harness):
    _, found = harness.send_request(left=0.5)
    harness.run(0.6)
    refusal = refusal_in(found)
    assert (refusal.status, refusal.ran.value) == (504, "unknown")
    assert harness.pool.made[0].transport.aborted
    assert harness.host.slots.taken == 0


def test_lost_caller_cancels_an_unclaimed_request(harness):
    pending_answer, _ = harness.send_request()
    pending_answer.cancel()
    assert harness.pool.made[0].transport.aborted
    assert harness.host.slots.taken == 0


def test_duplicate_deposit_runs_once_and_is_answered_twice(harness):
    _, first = harness.send_request(key="k")
    harness.run(0.1)
    harness.answer()
    harness.run(0.1)
    _, second = harness.send_request(key="k")
    harness.run(0.2)
    assert len(harness.pool.made) == 1
    assert first[0].body == second[0].body == b"paid"


def test_deposit_of_a_lost_caller_still_completes(harness):
    pending_answer, _ = harness.send_request(key="k")
    harness.run(0.1)
    pending_answer.cancel()
    assert not harness.pool.made[0].transport.aborted
    harness.answer()
    harness.run(0.1)
    _, again = harness.send_request(key="k")
    harness.run(0.2)
    assert again[0].body == b"paid"
    assert len(harness.pool.made) == 1
    assert harness.host.slots.taken == 0


# Guards against a fault that nobody hears of: the caller has left.
def test_fault_in_a_deposit_of_a_lost_caller_is_logged(
    harness, log_lines, monkeypatch
):
    def settlement(*args):
        raise RuntimeError("broken")

    monkeypatch.setattr(claimed, "settlement", settlement)
    pending_answer, _ = harness.send_request(key="k")
    harness.run(0.1)
    pending_answer.cancel()
    harness.answer()
    (line,) = log_lines.take("claimed-request-failed")
    assert (line["error"], line["detail"]) == ("RuntimeError", "broken")
    assert harness.host.slots.taken == 0


def test_deposit_whose_target_crashed_never_runs_again(harness):
    _, first = harness.send_request(key="k")
    harness.run(0.1)
    harness.pool.made[0].exchange.connection_lost()
    assert refusal_in(first).ran.value == "unknown"
    _, second = harness.send_request(key="k", left=1.0)
    harness.run(1.5)
    assert refusal_in(second).ran.value == "unknown"
    carried = [c for c in harness.pool.made if c.exchange is not None]
    assert len(carried) == 1


def test_deposit_that_did_not_reach_its_target_may_be_retried(harness):
    harness.pool.refuse = True
    _, first = harness.send_request(key="k")
    harness.run(0.2)
    assert refusal_in(first).ran.value == "no"
    harness.pool.refuse = False
    harness.announce()
    _, second = harness.send_request(key="k")
    harness.run(0.2)
    harness.answer()
    assert second[0].body == b"paid"


def test_deposit_is_refused_as_not_run_while_the_log_is_unavailable(harness):
    harness.log.unavailable = True
    _, found = harness.send_request(key="k")
    harness.run(4.0)
    refusal = refusal_in(found)
    assert refusal.ran.value == "no"
    assert refusal.reason.value == "claims-unavailable"
    assert not harness.pool.made


def test_large_answer_is_not_stored_but_reported_as_run(harness):
    _, first = harness.send_request(key="k")
    harness.run(0.1)
    harness.answer(data=b"z" * 10_000)
    harness.run(0.1)
    _, second = harness.send_request(key="k")
    harness.run(0.2)
    assert first[0].body == b"z" * 10_000
    assert refusal_in(second).ran.value == "yes"


def test_cold_target_counts_failures_but_not_latency(harness):
    harness.send_request()
    harness.answer(status=500)
    tally = harness.host.tallies.of_service("caja")[0]
    assert (tally.requests, tally.failures, sum(tally.latency_buckets)) == (
        1,
        1,
        0,
    )


def test_cancelled_claim_leaves_no_request_in_flight(harness):
    pending_answer, found = harness.send_request(key="k")
    assert isinstance(pending_answer, Deferred)
    pending_answer.cancel()
    harness.run(1.0)
    assert harness.host.in_flight == 0
    assert found


# Guards against a deposit that runs at a target which leaves, or at another
# service's target, as it came while the deposit's key was claimed.
@pytest.mark.parametrize(
    "change",
    [
        {"condition": Condition.LEAVING},
        {"service": "tecaji", "incarnation": 2},
    ],
    ids=["leaves", "replaced"],
)
def test_target_is_checked_again_when_a_key_has_been_claimed(harness, change):
    _, found = harness.send_request(key="k")
    harness.announce(**change)
    harness.run(0.2)
    assert refusal_in(found).ran.value == "no"
    assert all(c.exchange is None for c in harness.pool.made)
    assert harness.host.slots.taken == 0
    harness.announce(incarnation=3)
    _, again = harness.send_request(key="k")
    harness.run(0.2)
    harness.answer()
    assert again[0].body == b"paid"


# Guards against a target that gets no requests because the one before it has
# gone.
def test_loss_of_an_earlier_target_does_not_make_its_successor_absent(harness):
    harness.send_request()
    harness.announce(incarnation=2)
    harness.pool.refuse = True
    harness.pool.made[0].exchange.connection_lost()
    harness.run(0.5)
    assert harness.local_target.condition is Condition.READY
    (strike,) = harness.broadcast
    assert strike.crash_id == "127.0.0.1:1/1"


def test_target_is_reported_unreachable_once(harness, log_lines):
    harness.pool.refuse = True
    for _ in range(2):
        harness.local_target.mark_unreachable()
    (line,) = log_lines.take("target-unreachable")
    assert line["address"] == "127.0.0.1:1"
    harness.announce()
    harness.local_target.mark_unreachable()
    assert log_lines.take("target-unreachable")
