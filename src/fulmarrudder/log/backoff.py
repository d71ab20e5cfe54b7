"""Exponential backoff with full jitter."""

import dataclasses
import random


@dataclasses.dataclass(slots=True, kw_only=True)
class Backoff:
    """Delays between tries that fail in a row.

    Attributes:
        base_delay_s: Upper bound of the first delay, in seconds.
        max_delay_s: Upper bound of any delay, in seconds.
        rng: Source of jitter.
        failures: Failures in a row so far.
    """

    base_delay_s: float
    max_delay_s: float
    rng: random.Random
    failures: int = 0

    def next_delay(self) -> float:
        """Notes a failure and returns the delay before the next try."""
        bound = min(self.max_delay_s, self.base_delay_s * 2**self.failures)
        self.failures = min(self.failures + 1, 32)
        return self.rng.uniform(bound / 4, bound)

    def reset(self) -> None:
        """Notes a success."""
        self.failures = 0
