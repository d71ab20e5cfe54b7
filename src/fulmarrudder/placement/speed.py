"""How slow a target is at the moment, beside what is usual there."""

import dataclasses
import math

# Seconds for which what a target tells counts fully, and those in which it then
# fades to the average: the machine is shared, and its load changes.
TOLD_FRESH_S = 0.2
TOLD_FADE_S = 0.5
AVERAGE_WEIGHT = 0.05
# Answers that the expectation, a slowness of 1, counts as.
PRIOR_ANSWERS = 4.0
# Seconds in which answers lose most of their weight.
ANSWERS_FADE_S = 2.0
MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 10.0
# One long answer tells little of the target: costs of a class vary.
MAX_ANSWER_RATIO = 4.0


@dataclasses.dataclass(slots=True)
class Speed:
    """Slowness of one target; 2 when work takes twice as long as usual.

    Attributes:
        told: What it told last.
        told_at: Clock seconds of that; negative before the first time.
        average: Moving average of what it told.
        expected: Decaying sum of the times that were expected of answers, in
            units of the expected time.
        seen: Decaying sum of the times they took, in the same units.
        seen_at: Clock seconds of the last answer.
    """

    told: float = 1.0
    told_at: float = -1.0
    average: float = 1.0
    expected: float = 0.0
    seen: float = 0.0
    seen_at: float = 0.0

    @property
    def is_told(self) -> bool:
        """Whether the target tells how slow it is."""
        return self.told_at >= 0

    def tell(self, slowness: float, now: float) -> None:
        """Records what the target tells.

        Args:
            slowness: How many times longer than usual work takes there.
            now: Clock seconds.
        """
        self.told = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        self.average += AVERAGE_WEIGHT * (self.told - self.average)
        self.told_at = now

    def answered(self, expected_s: float, took_s: float, now: float) -> None:
        """Records an answer beside what was expected of its class.

        Args:
            expected_s: Seconds expected at the slowness told.
            took_s: Seconds that it took.
            now: Clock seconds.
        """
        if expected_s <= 0:
            return
        kept = math.exp((self.seen_at - now) / ANSWERS_FADE_S)
        ratio = min(MAX_ANSWER_RATIO, took_s / expected_s)
        self.expected = self.expected * kept + 1.0
        self.seen = self.seen * kept + ratio
        self.seen_at = now

    def told_now(self, now: float) -> float:
        """Returns the slowness by what was told; fades to the average."""
        if not self.is_told:
            return 1.0
        age_s = now - self.told_at - TOLD_FRESH_S
        share = min(1.0, max(0.0, 1.0 - age_s / TOLD_FADE_S))
        return self.average + share * (self.told - self.average)

    def now(self, now: float) -> float:
        """Returns the slowness by what was told and by answers."""
        kept = math.exp((self.seen_at - now) / ANSWERS_FADE_S)
        by_answers = (PRIOR_ANSWERS + self.seen * kept) / (
            PRIOR_ANSWERS + self.expected * kept
        )
        return min(MAX_SLOWNESS, self.told_now(now) * by_answers)
