"""Errors of the fold."""

import dataclasses

from fulmarrudder.state_machine.outcome import Reason


class StateMachineError(Exception):
    """Base of the fold's errors."""


class OffsetGapError(StateMachineError):
    """A record does not follow the last one applied."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why one record cannot be applied."""

    reason: Reason
    detail: str
