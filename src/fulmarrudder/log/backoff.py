"""Exponential backoff with jitter."""

import dataclasses
import random


@dataclasses.dataclass(slots=True, kw_only=True)
class Backoff:
    """Delays between attempts while they fail.

    The upper bound doubles with each failure; each delay is drawn uniformly
    from a quarter of the bound up to the bound.

    Attributes:
        base_delay_s: Upper bound of the first delay, in seconds.
        max_delay_s: Upper bound of every delay, in seconds.
        rng: Random numbers for the jitter.
        failures: Failures since the last success.
    """

    base_delay_s: float
    max_delay_s: float
    rng: random.Random
    failures: int = 0

    def next_delay(self) -> float:
        """Counts a failure and returns the delay before the next attempt."""
        bound = min(self.max_delay_s, self.base_delay_s * 2**self.failures)
        self.failures = min(self.failures + 1, 32)
        return self.rng.uniform(bound / 4, bound)

    def reset(self) -> None:
        """Starts again from the base delay after a success."""
        self.failures = 0
