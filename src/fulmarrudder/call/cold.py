"""Limits the requests of a local target that is cold.

Only the node beside a target sends to it, so it keeps the limit alone.
"""

import math
from collections.abc import Callable, Iterable

from fulmarrudder.call.target_limits import LimitSource, TargetLimits
from fulmarrudder.clock import Clock
from fulmarrudder.membership import LocalTarget
from fulmarrudder.model import Service
from fulmarrudder.observe import logs


class ColdLimit:
    """Limits the requests a second while the local target is cold.

    Attributes:
        per_s_by_service: Requests a second that a cold target takes, by name of
            its service; without those that name none.
        excess: Requests that a cold target may get for each that its service
            names.
        per_s: The limit in force; infinite while the target is warm.
        is_evacuated: Returns whether the target gets no requests. It may have
            become cold once it does again, and offers few slots by then.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        local_target: LocalTarget,
        limits: TargetLimits,
        is_evacuated: Callable[[], bool],
    ):
        self.clock = clock
        self.local_target = local_target
        self.is_evacuated = is_evacuated
        self.limits = limits
        self.per_s_by_service: dict[str, float] = {}
        self.excess = 1.0
        self.per_s = math.inf

    @property
    def is_limiting(self) -> bool:
        """Whether the target is cold and its service names a limit."""
        return not math.isinf(self.per_s)

    def set_services(self, services: Iterable[Service]) -> None:
        """Takes the limits of a configuration version.

        Args:
            services: All its services.
        """
        self.per_s_by_service = {
            s.name: s.cold_per_s for s in services if s.cold_per_s
        }
        self.refresh()

    def set_excess(self, excess: float) -> None:
        """Replaces the excess over what services name.

        Args:
            excess: Requests that a cold target may get for each that is named.
        """
        self.excess = excess
        self.refresh()

    def refresh(self) -> None:
        """Limits the target or lifts the limit, by what is known now."""
        per_s = self._limit_now()
        if per_s != self.per_s:
            self._apply(per_s)

    def _limit_now(self) -> float:
        latest = self.local_target.latest
        if latest is None or not self.per_s_by_service:
            return math.inf
        if not (self.local_target.is_cold or self.is_evacuated()):
            return math.inf
        return self.excess * self.per_s_by_service.get(latest.service, math.inf)

    def _apply(self, per_s: float) -> None:
        self.per_s = per_s
        self.limits.set(LimitSource.COLD, per_s)
        latest = self.local_target.latest
        if not self.is_limiting:
            logs.info("target-warm", target=latest.id if latest else None)
            return
        left_s = max(0.0, latest.cold_until - self.clock.seconds())
        logs.info(
            "target-cold",
            target=latest.id,
            per_s=per_s,
            presumed=not left_s,
            left_ms=int(left_s * 1000),
        )
