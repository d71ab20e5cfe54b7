"""A limit on the requests a second: a bucket of tokens that fills over time."""

import math

# Tokens that are saved up while none is used, in seconds of the limit.
BURST_S = 0.25
# A target without requests could not tell that its limit has gone.
MIN_PER_S = 0.5


class RateLimit:
    """Limits how often something begins.

    Attributes:
        per_s: Tokens that are added each second; infinite without a limit.
        tokens: Tokens that were there at `updated_at`.
        updated_at: Clock seconds.
    """

    __slots__ = ("per_s", "tokens", "updated_at")

    def __init__(self):
        self.per_s = math.inf
        self.tokens = 1.0
        self.updated_at = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return not math.isinf(self.per_s)

    def set(self, per_s: float, now: float) -> None:
        """Replaces the limit.

        Args:
            per_s: Tokens added each second; infinite for no limit.
            now: Clock seconds.
        """
        if self.is_limited:
            self._fill(now)
        else:
            self.tokens, self.updated_at = 1.0, now
        self.per_s = max(MIN_PER_S, per_s)

    def take(self, now: float) -> bool:
        """Takes a token if there is one; returns whether there was."""
        if not self.is_limited:
            return True
        self._fill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Returns the seconds until there is a token.

        Args:
            now: Clock seconds.
            ahead: Tokens that others take before.
        """
        if not self.is_limited:
            return 0.0
        self._fill(now)
        return max(0.0, (1 + ahead - self.tokens) / self.per_s)

    def _fill(self, now: float) -> None:
        most = max(1.0, BURST_S * self.per_s)
        added = (now - self.updated_at) * self.per_s
        self.tokens = min(most, self.tokens + added)
        self.updated_at = now
