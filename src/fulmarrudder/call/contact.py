"""Contact of an entry node with another data centre.

A data centre that is cut off is silent as a whole. Its endpoints are many, and each
of them would have to be found silent by itself.
"""

import dataclasses
import math

# Silence after which a request is sent now and then only, to hear whether it has ended.
PROBE_AFTER_S = 1.0
MAX_PROBE_INTERVAL_S = 4.0


@dataclasses.dataclass(slots=True, kw_only=True)
class DataCentreContact:
    """When a data centre was asked and not heard since.

    Attributes:
        asked_at: Clock seconds of the first request since it was last heard;
            infinite without one.
        due_at: Clock seconds at which its answer was overdue.
        probe_at: Clock seconds from which a request may be sent to a silent
            data centre.
        probe_interval_s: Seconds until the one after it.
    """

    asked_at: float = math.inf
    due_at: float = math.inf
    probe_at: float = 0.0
    probe_interval_s: float = PROBE_AFTER_S

    def record_sent(self, now: float, due_at: float) -> None:
        """Records that a request was sent there.

        Args:
            now: Clock seconds.
            due_at: Clock seconds at which its answer is overdue.
        """
        if math.isinf(self.asked_at):
            self.asked_at, self.due_at = now, due_at
            self.probe_interval_s = PROBE_AFTER_S
            self.probe_at = due_at + self.probe_interval_s
            return
        if now < self.probe_at:
            return
        self.probe_interval_s = min(
            MAX_PROBE_INTERVAL_S, 2 * self.probe_interval_s
        )
        self.probe_at = now + self.probe_interval_s

    def record_heard(self) -> None:
        """Records that one of its nodes has answered."""
        self.asked_at = self.due_at = math.inf

    def silence_s(self, now: float) -> float:
        """Returns for how long it has been silent.

        Returns:
            Seconds; 0 while no answer is overdue, or if a probe is due.
        """
        if now < self.due_at or now >= self.probe_at:
            return 0.0
        return now - self.asked_at
