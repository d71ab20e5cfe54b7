"""Work left at a target, from the requests that run and wait."""

import pytest

from fulmarrudder.placement import CostClass, Workload

SHORT, LONG = CostClass("short"), CostClass("long")


def learned():
    work = Workload()
    for _ in range(50):
        for cost_class, cost_s in ((SHORT, 0.1), (LONG, 1.0)):
            work.end(work.start(cost_class, 0.0), 0.0, cost_s)
    return work


def test_requests_cost_what_their_class_costs():
    work = learned()
    for _ in range(2):
        work.start(SHORT, 10.0)
    short_s = work.wait_s(10.0, 2, [SHORT] * 3)
    long_s = work.wait_s(10.0, 2, [LONG] * 3)
    assert short_s == pytest.approx(0.2, rel=0.2)
    assert long_s == pytest.approx(1.55, rel=0.2)


def test_nothing_is_waited_for_while_a_slot_is_left():
    work = learned()
    work.start(LONG, 10.0)
    assert work.wait_s(10.0, 2, []) == 0.0
    assert work.wait_s(10.0, 2, [SHORT]) > 0.0


def test_request_that_runs_too_long_is_not_expected_to_end():
    """A slot held by a request of the tail frees none soon."""
    work = learned()
    work.start(SHORT, 10.0)
    assert work.wait_s(10.05, 1, []) < 0.1
    assert work.wait_s(14.0, 1, []) > 1.0


def test_slow_target_has_more_work_left():
    work = learned()
    work.start(SHORT, 10.0)
    before_s = work.total_s(10.0, [SHORT])
    work.speed.tell(2.5, 10.0)
    assert work.total_s(10.0, [SHORT]) > 2 * before_s


def test_cost_is_learned_at_the_usual_speed():
    work = learned()
    for at in range(50):
        work.speed.tell(2.0, float(at))
        run = work.start(SHORT, float(at))
        work.speed.tell(2.0, at + 0.2)
        work.end(run, at + 0.2, 0.2)
    assert work.costs.mean_s(SHORT) == pytest.approx(0.1, rel=0.15)


def test_cancelled_request_teaches_nothing():
    work = Workload()
    work.end(work.start(SHORT, 0.0), 5.0, None)
    assert not work.runs
    assert not work.costs.by_class
