"""The limit of a workspace, and how much of it the fleet's bucket holds."""

import dataclasses

from fulmarrudder.model import Workspace

# Least part of what a window allows beyond its rate that the bucket holds. The
# rest is left for requests that other nodes have admitted without being heard.
MIN_HELD_PART = 0.36
# Seconds of the rate that nodes may admit before they hear of each other.
UNHEARD_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaBounds:
    """How exactly a deployment demands that quotas are kept.

    Attributes:
        window_s: Seconds over which the requests of a workspace are counted.
        excess: Part by which a workspace may exceed its limit in a window.
        slack: Requests by which it may exceed its limit in a window.
    """

    window_s: float = 5.0
    excess: float = 0.1
    slack: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """The bucket of one workspace.

    Attributes:
        per_s: Tokens that it gains a second.
        capacity: Tokens that it holds at most.
    """

    per_s: float
    capacity: float


def limit_of(workspace: Workspace, bounds: QuotaBounds) -> Limit | None:
    """Returns the bucket of a workspace, or None if it has no limit."""
    per_s = workspace.requests_per_s
    if not per_s:
        return None
    in_window = per_s * bounds.window_s
    room = (in_window + workspace.burst) * (1 + bounds.excess)
    room += bounds.slack - in_window
    unheard = UNHEARD_S * per_s + bounds.slack
    return Limit(
        per_s=per_s, capacity=max(1.0, MIN_HELD_PART * room, room - unheard)
    )
