"""Circuit breaker beside a target that closes connections without an answer.

A target that fails fast looks idle, so that it draws requests. The node beside it
sees each failure; another node would have to meet several by itself.
"""

LOSSES_TO_OPEN = 3
# Seconds between requests that try an open circuit.
PROBE_PERIOD_S = 0.25


class Circuit:
    """Refuses requests while none gets an answer.

    Attributes:
        incarnation: Incarnation of the target.
        losses: Connections lost in a row, without an answer in between.
        probe_at: Clock seconds from which one request may try the target.
    """

    __slots__ = ("incarnation", "losses", "probe_at")

    def __init__(self, incarnation: int = 0):
        self.incarnation = incarnation
        self.losses = 0
        self.probe_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether requests are refused."""
        return self.losses >= LOSSES_TO_OPEN

    def answered(self) -> None:
        """Records an answer, which closes the circuit."""
        self.losses = 0

    def lost(self, now: float) -> None:
        """Records that a connection was lost without an answer."""
        self.losses += 1
        self.probe_at = now + PROBE_PERIOD_S

    def admits(self, now: float) -> bool:
        """Returns whether a request may be sent; counts it as a probe if open.

        Args:
            now: Clock seconds.
        """
        if not self.is_open:
            return True
        if now < self.probe_at:
            return False
        self.probe_at = now + PROBE_PERIOD_S
        return True
