"""Estimate of the requests a second that are asked for."""

import math

# Time over which demand is averaged.
AVERAGED_S = 2.0
# Time over which it is averaged to share a limit out between data centres, which
# have to agree on it without hearing each other.
LONG_AVERAGED_S = 10.0


class Demand:
    """An exponentially decaying average of requests a second.

    Attributes:
        averaged_s: Seconds over which it averages.
        value: Requests a second at `at`.
        at: Clock seconds of the last change.
    """

    __slots__ = ("at", "averaged_s", "value")

    def __init__(self, averaged_s: float = AVERAGED_S):
        self.averaged_s = averaged_s
        self.value = 0.0
        self.at = 0.0

    def add(self, requests: float, now: float) -> None:
        """Adds requests that were asked for.

        Args:
            requests: How many; negative to take some back.
            now: Clock seconds.
        """
        self.value = max(0.0, self.per_s(now) + requests / self.averaged_s)
        self.at = now

    def per_s(self, now: float) -> float:
        """Returns the requests a second as of a moment.

        Args:
            now: Clock seconds.
        """
        if now <= self.at or not self.value:
            return self.value
        return self.value * math.exp((self.at - now) / self.averaged_s)
