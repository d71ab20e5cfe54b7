"""Seeded mixes of moves for both firms."""

import random

from fulmarrudder_lab.moves import Kind, Scenario

DEADLINE_S = 300.0
PER_KIND = 6
FIRMS = {
    "esfera": (60.0, 4, 6),
    "pozarnik": (120.0, 4, 18),
}


def mix(
    firm: str, per_kind: int = PER_KIND, *, first: int = 0
) -> list[Scenario]:
    """Returns a firm's mix: every kind, `per_kind` times.

    Args:
        firm: Name of the firm.
        per_kind: Moves of each kind.
        first: Number of the first; other numbers draw other moves.
    """
    rate, targets, slots = FIRMS[firm]
    scenarios = []
    for kind in Kind:
        for index in range(first, first + per_kind):
            seed = index * 101 + len(firm)
            rng = random.Random(f"{firm}/{kind.value}/{seed}")
            fails, slows = _badness(kind, rng)
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


def _badness(kind: Kind, rng: random.Random) -> tuple[float, float]:
    if not kind.bad:
        return 0.0, 1.0
    if rng.random() < 0.6:
        return rng.uniform(0.10, 0.80), 1.0
    return 0.0, rng.uniform(4.0, 10.0)
