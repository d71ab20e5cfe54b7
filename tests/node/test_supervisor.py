"""A fault costs one task: it is logged once, counted, and starts afresh."""

import gc
import random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.logger import globalLogPublisher
from twisted.python import log
from twisted.python.failure import Failure

from fulmarrudder.node import supervisor as supervisor_module
from fulmarrudder.node.supervisor import RESTART_MAX_DELAY_S, Supervisor
from fulmarrudder.observe import Metrics

PERIOD_S = 0.25


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def supervisor(clock):
    return Supervisor(clock, Metrics(), random.Random(1))


@pytest.fixture
def traces(monkeypatch):
    """Returns the tasks whose traces are logged."""
    logged = []
    monkeypatch.setattr(
        supervisor_module.logs,
        "error",
        lambda event, **fields: logged.append((event, fields["task"])),
    )
    return logged


def run(clock, seconds):
    for _ in range(int(seconds / PERIOD_S)):
        clock.advance(PERIOD_S)


def faults_of(supervisor):
    page = supervisor.metrics.render(()).decode()
    name = "fulmarrudder_task_faults_total{"
    return {
        line.split('"')[1]: float(line.rpartition(" ")[2])
        for line in page.splitlines()
        if line.startswith(name)
    }


class Task:
    """Counts its calls and raises while `broken`."""

    def __init__(self):
        self.calls = 0
        self.broken = False

    def __call__(self):
        self.calls += 1
        if self.broken:
            raise KeyError("broken")


def test_periodic_task_goes_on_after_an_exception(supervisor, clock, traces):
    """Twisted's LoopingCall stops at its first exception."""
    task, other = Task(), Task()
    supervisor.every(PERIOD_S, "moves", task)
    supervisor.every(PERIOD_S, "gossip", other)
    task.broken = True
    run(clock, 30.0)
    assert 3 < task.calls < 30
    assert other.calls == 121
    assert traces == [("task-failed", "moves")]
    assert faults_of(supervisor) == {"moves": task.calls - 1}
    task.broken = False
    run(clock, RESTART_MAX_DELAY_S)
    before = task.calls
    run(clock, 5.0)
    assert task.calls == before + 20


def test_tasks_of_one_period_run_in_one_wake_up(supervisor, clock):
    tasks = [Task() for _ in range(5)]
    for task in tasks:
        supervisor.every(PERIOD_S, "task", task)
    slow = Task()
    supervisor.every(8 * PERIOD_S, "slow", slow)
    assert {task.calls for task in tasks} == {1}
    assert len(clock.getDelayedCalls()) == 2
    run(clock, 8 * PERIOD_S)
    assert {task.calls for task in tasks} == {9}
    assert slow.calls == 2
    assert len(clock.getDelayedCalls()) == 2


def test_no_task_runs_after_the_supervisor_has_stopped(supervisor, clock):
    later = Task()
    stopping = []

    def stop():
        stopping.append(1)
        if len(stopping) == 3:
            supervisor.stop()

    supervisor.every(PERIOD_S, "stop", stop)
    supervisor.every(PERIOD_S, "later", later)
    run(clock, 5.0)
    assert len(stopping) == 3
    assert later.calls == 2
    assert clock.getDelayedCalls() == []


def test_a_fault_that_cannot_be_recorded_costs_one_call(
    supervisor, clock, monkeypatch
):
    task, other = Task(), Task()
    task.broken = True
    supervisor.every(PERIOD_S, "other", other)
    recorded = []

    def record(name, failure):
        recorded.append(name)
        raise OSError("log")

    monkeypatch.setattr(supervisor, "record_fault", record)
    supervisor.every(PERIOD_S, "moves", task)
    run(clock, 5.0)
    assert task.calls == len(recorded) > 1
    assert other.calls == 21
    # The failures of the record are logged when their Deferreds are collected, which
    # was at times during a later test that counts what is logged.
    gc.collect()


def test_what_follows_a_fault_may_raise_too(supervisor, clock):
    task, after = Task(), Task()
    task.broken = after.broken = True
    supervisor.every(PERIOD_S, "moves", task, on_fault=after)
    run(clock, 5.0)
    assert after.calls == task.calls > 1
    assert faults_of(supervisor) == {"moves": 2 * task.calls}


def test_next_call_waits_for_the_coroutine_of_the_last(supervisor, clock):
    started = []

    async def call():
        started.append(Deferred())
        await started[-1]

    supervisor.every(PERIOD_S, "lease", call)
    run(clock, 2.0)
    assert len(started) == 1
    started[0].errback(Failure(KeyError("broken")))
    run(clock, 2.0)
    assert len(started) == 2
    started[1].callback(None)
    run(clock, PERIOD_S)
    assert len(started) == 3
    started[2].callback(None)


def test_coroutine_is_started_again_after_an_exception(
    supervisor, clock, traces
):
    started = []

    async def read():
        started.append(Deferred())
        await started[-1]

    supervisor.keep_running("store-records", read)
    started[0].errback(Failure(ValueError("unreadable")))
    run(clock, 1.0)
    assert len(started) == 2
    assert traces == [("task-failed", "store-records")]
    supervisor.stop()
    run(clock, 30.0)
    assert len(started) == 2
    assert traces == [("task-failed", "store-records")]


def test_stop_ends_a_coroutine_that_waits_for_its_restart(supervisor, clock):
    started = []

    async def read():
        started.append(1)
        raise ValueError("unreadable")

    supervisor.keep_running("store-records", read)
    supervisor.stop()
    run(clock, 30.0)
    assert len(started) == 1


def test_handler_reports_and_does_not_raise(supervisor, traces):
    closed = []
    handler = Task()
    handler.broken = True
    handle = supervisor.guard("link", lambda link: handler(), closed.append)
    handle("a")
    handle("b")
    assert closed == ["a", "b"]
    assert faults_of(supervisor) == {"link": 2}
    assert traces == [("task-failed", "link")]


def test_failures_that_twisted_catches_are_recorded(supervisor, traces):
    supervisor.observe({"log_format": "no failure"})
    supervisor.observe({"log_failure": Failure(KeyError("timer"))})
    assert traces == [("task-failed", "reactor")]


# Exceptions of protocols were dropped without a line: the reactor reports them
# by the older log.
def test_failures_of_the_older_log_are_recorded(supervisor, traces):
    globalLogPublisher.addObserver(supervisor.observe)
    try:
        log.err(Failure(KeyError("protocol")))
        log.msg("no failure")
    finally:
        globalLogPublisher.removeObserver(supervisor.observe)
    assert traces == [("task-failed", "reactor")]
    assert faults_of(supervisor) == {"reactor": 1}
