"""Supervises the tasks of a node, so that a fault costs one task only.

A task is a piece of the node's control work: a periodic call, a coroutine that
runs for as long as the process, or a handler of events. Twisted ends a
`LoopingCall` and a coroutine at their first exception, and drops the result of
a timer that raises; here they are logged, counted and start afresh.
"""

import random
import traceback
from collections.abc import Callable, Coroutine

from twisted.internet.defer import CancelledError, ensureDeferred, fail
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from fulmarrudder.clock import Clock
from fulmarrudder.log import Backoff
from fulmarrudder.observe import Metrics, logs

RESTART_BASE_DELAY_S = 0.5
RESTART_MAX_DELAY_S = 10.0
# Task of what no supervised task has caught: timers, protocols, Deferreds.
REACTOR = "reactor"


def ignore(*_args) -> None:
    """Does nothing; the default for what follows a fault."""


class Supervisor:
    """Starts tasks, and starts them afresh after a fault.

    Attributes:
        logged: Faults whose trace has been logged: task, type and place.
        periodic_tasks: The periodic tasks.
        rounds: The rounds of the periodic tasks, by their period in seconds.
        coroutine_tasks: The tasks that run for as long as the process.
    """

    def __init__(self, clock: Clock, metrics: Metrics, rng: random.Random):
        self.clock = clock
        self.metrics = metrics
        self.rng = rng
        self.logged: set[tuple[str, str, str]] = set()
        self.periodic_tasks: list[PeriodicTask] = []
        self.rounds: dict[float, Round] = {}
        self.coroutine_tasks: list[CoroutineTask] = []

    def every(
        self,
        period_s: float,
        name: str,
        call: Callable[[], Coroutine | None],
        *,
        on_fault: Callable[[], None] = ignore,
    ) -> "PeriodicTask":
        """Calls a function periodically, the first time at once.

        Functions of the same period are called in one wake-up.

        Args:
            period_s: Seconds between two calls.
            name: Name of the task.
            call: The function; the next call waits for its coroutine, if it
                returns one.
            on_fault: Called after each fault.

        Returns:
            The task, which may be run between two calls as well.
        """
        task = PeriodicTask(self, name, call, on_fault)
        self.periodic_tasks.append(task)
        task.run()
        if period_s not in self.rounds:
            self.rounds[period_s] = Round(self.clock, period_s)
        self.rounds[period_s].tasks.append(task)
        return task

    def keep_running(self, name: str, start: Callable[[], Coroutine]) -> None:
        """Runs a coroutine, and starts it again after a fault.

        Args:
            name: Name of the task.
            start: Returns the coroutine.
        """
        task = CoroutineTask(self, name, start)
        self.coroutine_tasks.append(task)
        task.start()

    def guard(
        self, name: str, handler: Callable, on_fault: Callable = ignore
    ) -> Callable:
        """Returns a handler that reports exceptions and does not raise them.

        Args:
            name: Name of the task.
            handler: Handles an event.
            on_fault: Called with the same arguments after a fault.
        """

        def handle(*args) -> None:
            try:
                handler(*args)
            except Exception:
                self.record_fault(name, Failure())
                on_fault(*args)

        return handle

    def record_fault(self, name: str, failure: Failure) -> None:
        """Counts a fault; logs its trace when it is the first of its kind."""
        self.metrics.count("fulmarrudder_task_faults_total", ("task", name))
        kind = (name, failure.type.__name__, _place_of(failure))
        if kind in self.logged:
            return
        self.logged.add(kind)
        logs.error(
            "task-failed",
            task=name,
            error=failure.type.__name__,
            detail=failure.getErrorMessage(),
            trace=failure.getTraceback(),
        )

    def observe(self, event: dict) -> None:
        """Records failures that Twisted logs; a `twisted.logger` observer.

        Twisted catches exceptions of timers and protocols, and those of
        Deferreds that nothing handles. The ones of protocols come from its
        older log, `twisted.python.log`, which has a key of its own for them.
        """
        failure = event.get("log_failure", event.get("failure"))
        if failure is not None:
            self.record_fault(REACTOR, failure)

    def stop(self) -> None:
        """Stops all tasks."""
        for task in (*self.rounds.values(), *self.coroutine_tasks):
            task.stop()

    def make_backoff(self) -> Backoff:
        """Returns the delays of one task's starts after faults."""
        return Backoff(
            base_delay_s=RESTART_BASE_DELAY_S,
            max_delay_s=RESTART_MAX_DELAY_S,
            rng=self.rng,
        )


class Round:
    """Runs the periodic tasks of one period in one wake-up.

    Attributes:
        tasks: The tasks, in the order in which they run.
        loop: Calls `run`.
    """

    def __init__(self, clock: Clock, period_s: float):
        self.tasks: list[PeriodicTask] = []
        self.loop = LoopingCall(self.run)
        self.loop.clock = clock
        self.loop.start(period_s, now=False)

    def run(self) -> None:
        """Runs all tasks, unless one of them stops the round."""
        for task in tuple(self.tasks):
            if self.loop.running:
                task.run()

    def stop(self) -> None:
        """Runs the tasks no more."""
        if self.loop.running:
            self.loop.stop()


class PeriodicTask:
    """A function that is called periodically, less often while it fails.

    Attributes:
        name: Name of the task.
        running: Whether a call has not ended.
        resume_at: Clock seconds before which it is not called, after a fault.
    """

    def __init__(
        self,
        supervisor: Supervisor,
        name: str,
        call: Callable[[], Coroutine | None],
        on_fault: Callable[[], None],
    ):
        self.supervisor = supervisor
        self.name = name
        self.call = call
        self.on_fault = supervisor.guard(name, on_fault)
        self.backoff = supervisor.make_backoff()
        self.resume_at = 0.0
        self.running = False

    def run(self) -> None:
        """Calls the function unless it waits or its last call is running."""
        if self.running or self.supervisor.clock.seconds() < self.resume_at:
            return
        self.running = True
        try:
            coroutine = self.call()
        except Exception:
            fail().addErrback(self._failed)
            return
        if coroutine is None:
            self._succeeded(None)
            return
        ensureDeferred(coroutine).addCallbacks(self._succeeded, self._failed)

    def _succeeded(self, _) -> None:
        self.running = False
        if self.backoff.failures:
            logs.info(
                "task-resumed", task=self.name, faults=self.backoff.failures
            )
        self.backoff.reset()

    def _failed(self, failure: Failure) -> None:
        self.running = False
        now = self.supervisor.clock.seconds()
        self.resume_at = now + self.backoff.next_delay()
        self.supervisor.record_fault(self.name, failure)
        self.on_fault()


class CoroutineTask:
    """A coroutine that is started again after a fault.

    Attributes:
        name: Name of the task.
        stopped: Whether it was stopped.
        started_at: Clock seconds at which it was last started.
    """

    def __init__(
        self,
        supervisor: Supervisor,
        name: str,
        start: Callable[[], Coroutine],
    ):
        self.supervisor = supervisor
        self.name = name
        self.start_coroutine = start
        self.backoff = supervisor.make_backoff()
        self.stopped = False
        self.started_at = 0.0
        self.running = None
        self.restart_timer = None

    def start(self) -> None:
        """Starts the coroutine."""
        self.started_at = self.supervisor.clock.seconds()
        self.running = ensureDeferred(self.start_coroutine())
        self.running.addErrback(self._failed)

    def stop(self) -> None:
        """Cancels the coroutine."""
        self.stopped = True
        if self.restart_timer is not None and self.restart_timer.active():
            self.restart_timer.cancel()
        self.running.cancel()

    def _failed(self, failure: Failure) -> None:
        if self.stopped and failure.check(CancelledError):
            return
        clock = self.supervisor.clock
        if clock.seconds() - self.started_at > RESTART_MAX_DELAY_S:
            self.backoff.reset()
        self.supervisor.record_fault(self.name, failure)
        if not self.stopped:
            self.restart_timer = clock.callLater(
                self.backoff.next_delay(), self.start
            )


def _place_of(failure: Failure) -> str:
    frames = traceback.extract_tb(failure.getTracebackObject())
    if not frames:
        return ""
    return f"{frames[-1].filename}:{frames[-1].lineno}"
