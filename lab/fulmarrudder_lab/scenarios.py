"""Seeded mixes of scenarios for both firms."""

import random

from fulmarrudder_lab.moves import Scenario, VersionKind

DEADLINE_S = 300.0
MOVES_PER_KIND = 6
# Requests a second, targets of each version, slots of each target.
FIRM_LOADS = {
    "esfera": (60.0, 4, 6),
    "pozarnik": (120.0, 4, 18),
}


def scenario_mix(
    firm: str, per_kind: int = MOVES_PER_KIND, *, first: int = 0
) -> list[Scenario]:
    """Returns a firm's mix: `per_kind` scenarios of each kind.

    Args:
        firm: Name of the firm.
        per_kind: Scenarios of each kind.
        first: Index of the first scenario of each kind; the index sets the
            seed.
    """
    rate, targets, slots = FIRM_LOADS[firm]
    scenarios = []
    for kind in VersionKind:
        for index in range(first, first + per_kind):
            seed = index * 101 + len(firm)
            rng = random.Random(f"{firm}/{kind.value}/{seed}")
            fails, slows = _draw_fault(kind, rng)
            scenarios.append(
                Scenario(
                    name=f"{firm}/{kind.value}/{index}",
                    kind=kind,
                    seed=seed,
                    rate=rate * rng.uniform(0.7, 1.3),
                    targets=targets,
                    slots=slots,
                    deadline_s=DEADLINE_S,
                    fails=fails,
                    slows=slows,
                    turns_s=rng.uniform(10.0, 80.0),
                    routes=(1 - (minor := rng.uniform(0.1, 0.3)), minor),
                )
            )
    return scenarios


def _draw_fault(kind: VersionKind, rng: random.Random) -> tuple[float, float]:
    if not kind.is_bad:
        return 0.0, 1.0
    if rng.random() < 0.6:
        return rng.uniform(0.10, 0.80), 1.0
    return 0.0, rng.uniform(4.0, 10.0)
