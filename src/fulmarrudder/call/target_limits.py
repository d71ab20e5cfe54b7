"""Limits on the requests a second of the local target; the lowest counts."""

import enum
import math

from fulmarrudder.call.slots import Slots
from fulmarrudder.membership import LocalTarget


class LimitSource(enum.Enum):
    """Why the requests a second are limited."""

    ADVISED = "advised"
    COLD = "cold"


class TargetLimits:
    """Applies the lowest limit to the slots that are granted and offered.

    Attributes:
        per_s_by_source: The limits in force, in requests a second.
        per_s: The lowest of them; infinite without one.
    """

    def __init__(self, local_target: LocalTarget, slots: Slots):
        self.local_target = local_target
        self.slots = slots
        self.per_s_by_source: dict[LimitSource, float] = {}
        self.per_s = math.inf

    def set(self, source: LimitSource, per_s: float) -> None:
        """Replaces the limit of one source.

        Args:
            source: Why there is the limit.
            per_s: Requests a second; infinite for no limit.
        """
        self.per_s_by_source[source] = per_s
        lowest = min(self.per_s_by_source.values())
        if lowest == self.per_s:
            return
        self.per_s = lowest
        self.slots.limit_rate(lowest)
        # By Little's law: others then send here what fits.
        self.local_target.slot_limit = max(
            1.0, lowest * self.slots.service_time_s
        )
