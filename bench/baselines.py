"""Baseline for moves: fixed steps and health checks.

`run_baseline` raises the share in fixed steps at fixed times. It evaluates only
the targets' health endpoints, which lag and report only high failure rates.
"""

import collections
import random

from twisted.internet.task import Clock

from fulmarrudder.state_machine import Phase
from fulmarrudder_lab.moves import (
    NEW_VERSION,
    OLD_VERSION,
    TICK_S,
    Scenario,
    SimulatedService,
    SimulationResult,
)

STEPS_PERMILLE = (100, 250, 500, 1000)
HEALTH_LAG_S = 10.0
HEALTH_WINDOW_S = 20.0
UNHEALTHY_FAILURES = 0.5


def run_baseline(scenario: Scenario) -> SimulationResult:
    """Runs a scenario with fixed steps and health endpoints.

    Args:
        scenario: The scenario.
    """
    clock, rng = Clock(), random.Random(scenario.seed)
    service = SimulatedService(scenario, clock, rng)
    step_s = scenario.deadline_s * 0.8 / len(STEPS_PERMILLE)
    samples: collections.deque = collections.deque()
    phase, reason, duration_s = Phase.RUNNING, "", 0.0
    while phase is Phase.RUNNING:
        clock.advance(TICK_S)
        now = clock.seconds()
        step = int(now / step_s)
        if step >= len(STEPS_PERMILLE):
            phase, duration_s = Phase.COMPLETED, now
            break
        permille = STEPS_PERMILLE[step]
        before = (service.new_requests, service.new_failures)
        _serve_requests(service, rng, now, permille)
        samples.append(
            (
                now,
                service.new_requests - before[0],
                service.new_failures - before[1],
            )
        )
        if _is_unhealthy(samples, now):
            phase, reason, duration_s = Phase.TAKEN_BACK, "health endpoint", now
    remaining_s = max(0.0, scenario.deadline_s - clock.seconds())
    bad_since = service.bad_since
    return SimulationResult(
        scenario=scenario,
        phase=phase,
        reason=reason,
        duration_s=duration_s,
        new_requests=service.new_requests,
        bad_requests=service.bad_requests,
        total_requests=service.total_requests
        + int(remaining_s * scenario.rate),
        cutoff_s=0.0 if bad_since is None else service.last_new_at - bad_since,
    )


def _serve_requests(
    service: SimulatedService, rng, now: float, permille: int
) -> None:
    expected = service.request_rate(now) * TICK_S
    count = int(expected)
    count += rng.random() < expected - count
    for _ in range(count):
        version = NEW_VERSION if rng.random() * 1000 < permille else OLD_VERSION
        service.serve(version, service.pick_route(), now, permille)


def _is_unhealthy(samples: collections.deque, now: float) -> bool:
    newest = now - HEALTH_LAG_S
    while samples and samples[0][0] < newest - HEALTH_WINDOW_S:
        samples.popleft()
    total = sum(count for at, count, _ in samples if at <= newest)
    failed = sum(count for at, _, count in samples if at <= newest)
    return total > 20 and failed / total > UNHEALTHY_FAILURES
