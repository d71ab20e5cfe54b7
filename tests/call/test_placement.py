"""Slots, balancer and hops use costs, work left and vacancies."""

import dataclasses
import random

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.advice import parse_slowness
from fulmarrudder.call.ending import Declined
from fulmarrudder.call.endpoint_stats import LoadReport, SlotState
from fulmarrudder.call.errors import SlotError
from fulmarrudder.call.header_names import HeaderNames
from fulmarrudder.call.hop import (
    asker_field,
    load_fields,
    parse_asker,
    parse_load_report,
)
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.message import (
    BodyEnd,
    Framing,
    Headers,
    Ran,
    RefusalReason,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.refusals import broken
from fulmarrudder.call.retry import (
    RetryContext,
    RetryDecision,
    decide_retry,
    may_accept,
)
from fulmarrudder.call.slots import MAX_QUEUE_PER_SLOT, SlotRequest, Slots
from fulmarrudder.call.vacancies import VacancyReporter
from fulmarrudder.placement.circuit import LOSSES_TO_OPEN, PROBE_PERIOD_S
from fulmarrudder.placement.vacancy import FULL_WITHIN_S
from tests.call.fakes import result_of
from tests.call.test_host import Harness, refusal_in
from tests.call.test_load_balancer import endpoint


def told_slots(capacity=1, costs=(("lookup", 0.1),)):
    """Returns slots that have learned what requests cost, all in use."""
    clock = Clock()
    clock.advance(10.0)
    slots = Slots(clock)
    slots.resize(capacity)
    slots.target_told(1.0)
    for route, cost_s in costs * 20:
        run = result_of(slots.acquire(99.0, SlotRequest(deadline=99.0)))
        slots.release(cost_s, route, run)
    for route, cost_s in costs * 20:
        request = SlotRequest(deadline=99.0, route=route)
        slots.release(cost_s, route, result_of(slots.acquire(99.0, request)))
    runs = [
        result_of(
            slots.acquire(99.0, SlotRequest(deadline=99.0, route=costs[0][0]))
        )
        for _ in range(capacity)
    ]
    return clock, slots, runs


def request(**fields):
    return SlotRequest(**{"deadline": 99.0, "route": "lookup", **fields})


def test_wait_behind_a_long_request_is_longer_than_behind_a_short_one():
    costs = (("lookup", 0.1), ("upload", 1.0))
    waits = []
    for route in ("lookup", "upload"):
        _, slots, _ = told_slots(costs=costs)
        slots.acquire(99.0, request(route=route))
        waits.append(slots.expected_wait(9))
    assert waits[1] > waits[0] + 0.5


def test_noisy_machine_makes_requests_wait_longer():
    _, slots, _ = told_slots()
    before_s = slots.expected_wait(0)
    slots.target_told(2.5)
    assert slots.expected_wait(0) > 2 * before_s


def test_request_without_hope_is_refused_when_a_more_urgent_one_comes():
    clock, slots, _ = told_slots()
    clock.advance(0.05)
    modest = slots.acquire(10.4, request(deadline=10.4, rank=2))
    assert not modest.called
    urgent = [slots.acquire(99.0, request(rank=0)) for _ in range(3)]
    assert not modest.called
    urgent += [slots.acquire(99.0, request(rank=0)) for _ in range(6)]
    with pytest.raises(SlotError):
        result_of(modest)
    assert slots.queued == len([u for u in urgent if not u.called])


def test_full_queue_makes_room_for_a_more_urgent_request():
    costs = (("lookup", 0.1), ("upload", 0.3))
    _, slots, _ = told_slots(capacity=4, costs=costs)
    waiting = [
        slots.acquire(99.0, request(rank=2, route=route))
        for route in ["lookup", "upload"] * (2 * MAX_QUEUE_PER_SLOT)
    ]
    with pytest.raises(SlotError, match="full"):
        result_of(slots.acquire(99.0, request(rank=2, route="upload")))
    urgent = slots.acquire(99.0, request(rank=0))
    assert not urgent.called
    refused = [index for index, w in enumerate(waiting) if w.called]
    assert len(refused) == 1
    assert refused[0] % 2 == 1
    with pytest.raises(SlotError, match="urgent"):
        result_of(waiting[refused[0]])


@pytest.mark.parametrize(
    ("workspace", "gives_way"),
    [(b"hot", False), (b"other", True), (None, True)],
)
def test_hot_workspace_does_not_push_out_costly_requests_of_others(
    workspace, gives_way
):
    _, slots, _ = told_slots(costs=(("lookup", 0.1), ("upload", 0.3)))
    granted = [
        slots.acquire(99.0, request(workspace=name, route=route))
        for name, route in [(b"calm", "upload"), *[(b"hot", "lookup")] * 3]
    ]
    assert slots.queued == MAX_QUEUE_PER_SLOT
    granted[0].addErrback(lambda failure: failure.trap(SlotError))
    newcomer = slots.acquire(99.0, request(workspace=workspace))
    newcomer.addErrback(lambda failure: failure.trap(SlotError))
    assert granted[0].called == gives_way


def test_callers_of_a_herd_get_different_times_to_return():
    _, slots, _ = told_slots()
    found = [slots.retry_after() for _ in range(5)]
    assert len(set(found)) == 5
    assert found == sorted(found)


@pytest.mark.parametrize(
    ("value", "slowness"),
    [
        (b"3,0,8", None),
        (b"3,0,8,140", 1.4),
        (b"3, 0, 8, 90", 0.9),
        (b"3,0,8,x", None),
        (b"3,0,8," + b"9" * 400, None),
        (b"3,0,8," + b"9" * 5000, None),
        (None, None),
    ],
)
def test_slowness_is_the_fourth_figure_of_the_load(value, slowness):
    fields = () if value is None else ((b"x-load", value),)
    head = ResponseHead(
        status=200,
        reason=b"OK",
        headers=Headers(fields),
        framing=Framing.NONE,
    )
    names = HeaderNames(load=b"x-load")
    assert parse_slowness(head, names) == slowness
    assert parse_slowness(head, HeaderNames()) is None


@pytest.mark.parametrize(
    "report",
    [
        LoadReport(load=3, service_time_s=0.1),
        LoadReport(load=3, service_time_s=0.1, wait_s=0.25, slowness=1.4),
    ],
)
def test_report_crosses_a_hop(report):
    fields = load_fields(report)
    assert len(fields) == 1 + (report.wait_s is not None)
    head = ResponseHead(
        status=200,
        reason=b"OK",
        headers=Headers(fields),
        framing=Framing.NONE,
    )
    assert parse_load_report(head) == report


def test_asker_crosses_a_hop():
    head = RequestHead(
        method=b"GET", target=b"/", headers=Headers((asker_field("n 1"),))
    )
    assert parse_asker(head) == "n 1"


def told_balancer(*nodes, now=10.0, wait_s=0.0, load=0):
    balancer = LoadBalancer("lima-1", random.Random(1))
    report = LoadReport(load=load, service_time_s=0.1, wait_s=wait_s)
    for node in nodes:
        balancer.record_load_report(node, now, report)
    return balancer


def test_told_vacancy_goes_before_a_guess_and_counts_once():
    nodes = tuple(endpoint(f"n{i}") for i in range(8))
    balancer = told_balancer(*nodes)
    balancer.vacancies.told("n5", 1.0, 12.0)
    assert balancer.slot_state(nodes[5], 12.0) is SlotState.FREE
    assert balancer.choose(nodes, None, 12.0).node == "n5"
    assert balancer.basis == "vacancy"
    balancer.choose(nodes, None, 12.0)
    assert balancer.basis != "vacancy"


def test_endpoint_known_to_be_free_needs_no_vacancy():
    nodes = tuple(endpoint(f"n{i}") for i in range(2))
    balancer = told_balancer(*nodes, now=12.0)
    balancer.vacancies.told("n1", 1.0, 12.0)
    balancer.choose(nodes, None, 12.0, latency_objective_s=1.0)
    assert balancer.basis == "nearest"


def test_reported_wait_fades_and_own_requests_add_to_it():
    node = endpoint("n1", slots=1)
    balancer = told_balancer(node, wait_s=0.2, load=1)
    stats = balancer.endpoint_stats["n1", 1]
    fresh_s = stats.wait_now_s(10.0, 1)
    assert stats.wait_now_s(10.25, 1) < fresh_s
    balancer.record_sent(node, 10.0)
    assert stats.wait_now_s(10.0, 1) > fresh_s


def test_request_stays_in_its_data_centre_while_that_answers_in_time():
    near, far = endpoint("near", slots=1), endpoint("far", "lima-2")
    balancer = told_balancer(near, wait_s=0.2, load=1)
    balancer.record_load_report(
        far, 10.0, LoadReport(load=0, service_time_s=0.1, wait_s=0.0)
    )
    chosen = {
        balancer.choose(
            (near, far), None, 10.0, latency_objective_s=objective_s
        ).node
        for objective_s in (1.0, 1.0, 1.0)
    }
    assert chosen == {"near"}
    assert balancer.choose(
        (near, far), None, 10.0, latency_objective_s=0.3
    ).node == ("far")


def test_other_data_centres_are_not_explored():
    """One request in eight crossed while any endpoint had not reported."""
    near = tuple(endpoint(f"n{i}") for i in range(3))
    far = tuple(endpoint(f"f{i}", "lima-2") for i in range(3))
    balancer = told_balancer(near[0])
    chosen = {
        balancer.choose(near + far, None, 10.0, latency_objective_s=1.0).node
        for _ in range(200)
    }
    assert chosen <= {"n0", "n1", "n2"}


@pytest.mark.parametrize(
    ("state", "refusals", "tells_work", "accepts"),
    [
        (SlotState.UNKNOWN, 2, False, False),
        (SlotState.UNKNOWN, 2, True, True),
        (SlotState.FULL, 2, True, False),
        (SlotState.UNKNOWN, 3, True, False),
        (SlotState.FREE, 3, True, True),
    ],
)
def test_third_endpoint_may_be_unknown_if_it_tells_its_waits(
    state, refusals, tells_work, accepts
):
    assert may_accept(state, refusals, tells_work=tells_work) is accepts


class Reported:
    """Slots whose vacancies are recorded as they are told."""

    def __init__(self, **kwargs):
        self.clock, self.slots, self.runs = told_slots(**kwargs)
        self.is_open = True
        self.told = []
        self.reporter = VacancyReporter(
            clock=self.clock, slots=self.slots, is_open=lambda: self.is_open
        )
        self.reporter.tell = lambda node, slowness: self.told.append(
            (node, self.slots.capacity - self.slots.taken)
        )
        for node in ("a", "b"):
            self.reporter.asked(node, self.clock.seconds())

    def release(self):
        self.slots.release(0.1, "lookup", self.runs.pop())


def test_each_freed_slot_is_told_to_one_node_by_turn():
    scene = Reported(capacity=3)
    for _ in range(3):
        scene.release()
    assert scene.told == [("a", 1), ("b", 2), ("a", 3)]


def test_no_vacancy_while_requests_wait_or_the_target_leaves():
    scene = Reported(capacity=2)
    scene.slots.acquire(99.0, request())
    scene.release()
    assert scene.told == []
    scene.is_open = False
    scene.release()
    assert scene.told == []


def test_calm_target_tells_no_vacancy():
    scene = Reported(capacity=3)
    scene.clock.advance(1.1 * FULL_WITHIN_S)
    scene.release()
    assert scene.told == []


class ClosingTarget(Harness):
    """A host node whose target closes each connection without an answer."""

    def __init__(self):
        super().__init__()
        self.host.slots.target_told(1.0)

    @property
    def exchanges(self):
        return [c.exchange for c in self.pool.made if c.exchange is not None]

    def lose_one(self):
        _, found = self.send_request()
        self.exchanges[-1].connection_lost()
        return found


def test_target_that_answers_nothing_is_tried_seldom():
    """Targets that close at once looked idle, and drew requests."""
    target = ClosingTarget()
    for _ in range(LOSSES_TO_OPEN):
        assert refusal_in(target.lose_one()).run_ended
    _, found = target.send_request()
    assert refusal_in(found).reason is RefusalReason.UNREACHABLE
    assert refusal_in(found).ran is Ran.NO
    assert len(target.exchanges) == LOSSES_TO_OPEN
    assert target.host.load_report("deposits").load >= 1
    target.clock.advance(PROBE_PERIOD_S)
    _, probed = target.send_request()
    target.exchanges[-1].receive(answered())
    target.exchanges[-1].receive(BodyEnd())
    _, found = target.send_request()
    assert probed[0].refusal is None
    assert len(target.exchanges) == LOSSES_TO_OPEN + 2


def test_target_that_was_started_again_is_tried_at_once():
    target = ClosingTarget()
    for _ in range(LOSSES_TO_OPEN):
        target.lose_one()
    target.announce()
    assert refusal_in(target.send_request()[1])
    target.announce(incarnation=2)
    target.send_request()
    assert len(target.exchanges) == LOSSES_TO_OPEN + 1


def answered():
    return ResponseHead(
        status=200,
        reason=b"OK",
        headers=Headers(),
        framing=Framing.LENGTH,
        length=0,
    )


@pytest.mark.parametrize(
    ("run_ended", "repeatable", "reached", "decision"),
    [
        (True, True, 1, RetryDecision.RETRY),
        (True, True, 2, RetryDecision.REFUSE),
        (True, False, 1, RetryDecision.REFUSE),
        (False, True, 1, RetryDecision.REFUSE),
    ],
)
def test_safe_request_whose_target_closed_is_sent_once_more(
    run_ended, repeatable, reached, decision
):
    refusal = dataclasses.replace(broken("target closed"), run_ended=run_ended)
    context = RetryContext(
        repeatable=repeatable,
        replayable=True,
        attempts=reached,
        target_attempts=reached,
    )
    assert decide_retry(Declined(refusal=refusal), context) is decision


def test_costly_request_gives_way_to_a_short_one_of_its_rank():
    """Uploads of a burst filled the queue before short calls of others."""
    costs = (("lookup", 0.1), ("upload", 0.3))
    _, slots, _ = told_slots(capacity=4, costs=costs)
    waiting = [
        slots.acquire(99.0, request(route="upload"))
        for _ in range(4 * MAX_QUEUE_PER_SLOT)
    ]
    with pytest.raises(SlotError, match="full"):
        result_of(slots.acquire(99.0, request(route="upload")))
    assert not slots.acquire(99.0, request(route="lookup")).called
    assert sum(w.called for w in waiting) == 1


def test_wait_counts_only_requests_that_go_first():
    """A short call with little time is not refused for uploads behind it."""
    costs = (("lookup", 0.1), ("upload", 1.0))
    _, slots, _ = told_slots(costs=costs)
    slots.acquire(99.0, request(route="upload", soft_deadline=20.0))
    slots.acquire(99.0, request(route="upload", soft_deadline=20.0))
    call = slots.acquire(10.5, request(deadline=10.5, soft_deadline=10.4))
    assert not call.called
