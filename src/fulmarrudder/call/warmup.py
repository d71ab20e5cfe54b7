"""Decides whether a target is still in warm-up."""

MIN_WARMUP_S = 5.0
WARMUP_REQUESTS = 20
MAX_WARMUP_S = 60.0


class WarmupTracker:
    """Excludes the answers of a cold target from latency statistics.

    The first answers of a target are slow whatever version it runs. It warms up
    by serving requests, not by uptime.

    Attributes:
        incarnation: Incarnation of the target whose requests are counted.
        requests: Requests counted so far.
        first_request_at: Clock seconds of the first request.
    """

    __slots__ = ("first_request_at", "incarnation", "requests")

    def __init__(self):
        self.incarnation = -1
        self.requests = 0
        self.first_request_at = 0.0

    def record_request(self, incarnation: int, now: float) -> bool:
        """Counts a request and returns whether the target is still cold.

        Args:
            incarnation: Incarnation of the target.
            now: Clock seconds.
        """
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.requests = 0
            self.first_request_at = now
        self.requests += 1
        age_s = now - self.first_request_at
        if age_s > MAX_WARMUP_S:
            return False
        return age_s < MIN_WARMUP_S or self.requests <= WARMUP_REQUESTS
