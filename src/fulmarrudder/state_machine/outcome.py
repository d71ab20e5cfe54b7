"""Outcomes of applying a record."""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why a record was refused."""

    UNREADABLE = "unreadable"
    STALE_VERSION = "stale-version"
    INVALID = "invalid"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_TARGET_VERSION = "unknown-target-version"
    ALREADY_CURRENT = "already-current"
    MOVE_OPEN = "move-open"
    UNKNOWN_MOVE = "unknown-move"
    MOVE_DECIDED = "move-decided"
    STALE_TERM = "stale-term"
    STALE_STEP = "stale-step"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The record took effect."""

    offset: int
    id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The record changed nothing.

    Attributes:
        detail: The conflict found; names the winner of a race.
    """

    offset: int
    id: str
    reason: Reason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Duplicate:
    """The record repeats an earlier append and changed nothing."""

    offset: int
    id: str


Outcome = Applied | Refused | Duplicate
