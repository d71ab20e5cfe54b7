"""How current a node's configuration is, as far as the node can tell."""

import dataclasses
import math

from fulmarrudder.call.host_report import to_ms


@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigFreshness:
    """When a node last heard of its configuration, in clock seconds.

    Attributes:
        activated_at: When the active version was activated.
        confirmed_at: When the source of versions last answered.
        told_version: Newest version that a neighbour told of; 0 for none.
        told_at: When that version was first told.
    """

    activated_at: float = -math.inf
    confirmed_at: float = -math.inf
    told_version: int = 0
    told_at: float = -math.inf

    def record_told(self, version: int, now: float) -> bool:
        """Records a version that a neighbour told of.

        Returns:
            Whether it is newer than those told before.
        """
        if version <= self.told_version:
            return False
        self.told_version, self.told_at = version, now
        return True

    def log_fields(self, now: float) -> dict:
        """Returns the fields that explain a request without a route."""
        return {
            "version_ms": _age_ms(self.activated_at, now),
            "source_ms": _age_ms(self.confirmed_at, now),
            "told": self.told_version,
            "told_ms": _age_ms(self.told_at, now),
        }


def _age_ms(at: float, now: float) -> float | str:
    return to_ms(now - at) if math.isfinite(at) else "-"
