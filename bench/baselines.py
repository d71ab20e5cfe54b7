"""Plain baselines: what is compared with.

`play_baseline` raises shares in fixed steps at fixed times and looks at the
targets' health endpoints alone, which lag and report only plain breakage.
"""

import collections
import random

from twisted.internet.task import Clock

from fulmarrudder.state_machine import Phase
from fulmarrudder_lab.moves import (
    NEW,
    OLD,
    TICK_S,
    ModelService,
    Played,
    Scenario,
)

STEPS_PERMILLE = (100, 250, 500, 1000)
HEALTH_LAG_S = 10.0
HEALTH_WINDOW_S = 20.0
UNHEALTHY_FAILURES = 0.5


def play_baseline(scenario: Scenario) -> Played:
    """Plays a scenario with fixed steps and health endpoints.

    Args:
        scenario: The scenario.
    """
    clock, rng = Clock(), random.Random(scenario.seed)
    service = ModelService(scenario, clock, rng)
    hold = scenario.deadline_s * 0.8 / len(STEPS_PERMILLE)
    seen: collections.deque = collections.deque()
    phase, reason, took = Phase.RUNNING, "", 0.0
    while phase is Phase.RUNNING:
        clock.advance(TICK_S)
        now = clock.seconds()
        step = int(now / hold)
        if step >= len(STEPS_PERMILLE):
            phase, took = Phase.COMPLETED, now
            break
        permille = STEPS_PERMILLE[step]
        before = (service.new, service.failed_new)
        _requests(service, rng, now, permille)
        seen.append(
            (now, service.new - before[0], service.failed_new - before[1])
        )
        if _unhealthy(seen, now):
            phase, reason, took = Phase.TAKEN_BACK, "health endpoint", now
    rest = max(0.0, scenario.deadline_s - clock.seconds())
    bad_since = service.bad_since
    return Played(
        scenario=scenario,
        phase=phase,
        reason=reason,
        took_s=took,
        new=service.new,
        new_bad=service.new_bad,
        total=service.total + int(rest * scenario.rate),
        cut_s=0.0 if bad_since is None else service.last_new - bad_since,
    )


def _requests(service: ModelService, rng, now: float, permille: int) -> None:
    expected = service.rate(now) * TICK_S
    count = int(expected)
    count += rng.random() < expected - count
    for _ in range(count):
        version = NEW if rng.random() * 1000 < permille else OLD
        service.serve(version, service.pick_route(), now, permille)


def _unhealthy(seen: collections.deque, now: float) -> bool:
    newest = now - HEALTH_LAG_S
    while seen and seen[0][0] < newest - HEALTH_WINDOW_S:
        seen.popleft()
    total = sum(count for at, count, _ in seen if at <= newest)
    failed = sum(count for at, _, count in seen if at <= newest)
    return total > 20 and failed / total > UNHEALTHY_FAILURES
