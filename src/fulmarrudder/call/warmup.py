"""Decision on whether a target is still cold; pure but for its count."""

COLD_S = 5.0
COLD_REQUESTS = 20
COLD_LIMIT_S = 60.0


class WarmupTracker:
    """Tells whether answers of a target should count for latency yet.

    A target starts cold: its first answers are slow and say nothing of the
    version that it runs. It warms by requests, however long it has been up.

    Attributes:
        incarnation: Incarnation of the target that is counted.
        served: Requests that it has served.
        first: Clock seconds of the first of them.
    """

    __slots__ = ("first", "incarnation", "served")

    def __init__(self):
        self.incarnation = -1
        self.served = 0
        self.first = 0.0

    def record_request(self, incarnation: int, now: float) -> bool:
        """Counts a request and tells whether the target is still cold.

        Args:
            incarnation: Incarnation of the target.
            now: Clock seconds.
        """
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.served = 0
            self.first = now
        self.served += 1
        age_s = now - self.first
        if age_s > COLD_LIMIT_S:
            return False
        return age_s < COLD_S or self.served <= COLD_REQUESTS
