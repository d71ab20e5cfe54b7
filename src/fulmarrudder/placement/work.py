"""Work left at a target, and when it has a slot free."""

import dataclasses
from collections.abc import Iterable

from fulmarrudder.placement.cost import CostClass, Costs
from fulmarrudder.placement.speed import Speed

SHORTEST_LEFT_S = 0.002


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """A request that runs at the target.

    Attributes:
        cost_class: Its class.
        started_at: Clock seconds.
        slowness: Slowness of the target when it began.
    """

    cost_class: CostClass
    started_at: float
    slowness: float


class Workload:
    """Requests that run at one target, and what they are expected to take.

    Attributes:
        costs: Costs by class.
        speed: The target's speed.
        runs: Requests that run.
    """

    def __init__(self):
        self.costs = Costs()
        self.speed = Speed()
        self.runs: set[Run] = set()

    def start(self, cost_class: CostClass, now: float) -> Run:
        """Records that a request begins to run."""
        run = Run(cost_class, now, self.speed.now(now))
        self.runs.add(run)
        return run

    def end(self, run: Run, now: float, took_s: float | None) -> None:
        """Records that a request has ended.

        Args:
            run: The request.
            now: Clock seconds.
            took_s: Seconds that the target took; None when it did not
                complete, so that they tell nothing of its cost.
        """
        self.runs.discard(run)
        if took_s is None:
            return
        told = (run.slowness + self.speed.told_now(now)) / 2
        expected_s = told * self.costs.mean_s(run.cost_class)
        if self.costs.by_class.get(run.cost_class) is not None:
            self.speed.answered(expected_s, took_s, now)
        self.costs.add(run.cost_class, took_s / told)

    def service_s(self, cost_class: CostClass, now: float) -> float:
        """Returns the seconds that a request is expected to run."""
        return self.costs.mean_s(cost_class) * self.speed.now(now)

    def usual_s(self, cost_class: CostClass) -> float:
        """Returns the seconds that a request runs at the average speed."""
        return self.costs.mean_s(cost_class) * self.speed.average

    def left_s(self, run: Run, now: float) -> float:
        """Returns the seconds that a running request is expected to take."""
        slowness = self.speed.now(now)
        spent_s = (now - run.started_at) / ((slowness + run.slowness) / 2)
        return slowness * self.costs.left_s(run.cost_class, spent_s)

    def wait_s(
        self, now: float, capacity: int, ahead: Iterable[CostClass]
    ) -> float:
        """Returns the seconds until a request is expected to get a slot.

        Args:
            now: Clock seconds.
            capacity: Slots of the target.
            ahead: Classes of the requests that get slots before it.
        """
        ahead = tuple(ahead)
        capacity = max(1, capacity)
        free = capacity - len(self.runs)
        if free > len(ahead):
            return 0.0
        # Requests end independently of each other, so that the rates at which
        # they end add up; one that takes very long adds little.
        ends_per_s = sum(
            1.0 / max(SHORTEST_LEFT_S, self.left_s(run, now))
            for run in self.runs
        )
        first_s = 1.0 / ends_per_s if ends_per_s else 0.0
        queued_s = sum(self.service_s(c, now) for c in ahead[max(0, free) :])
        return first_s + queued_s / capacity

    def total_s(self, now: float, waiting: Iterable[CostClass]) -> float:
        """Returns the seconds of work left, of all requests together."""
        running_s = sum(self.left_s(run, now) for run in self.runs)
        return running_s + sum(self.service_s(c, now) for c in waiting)
