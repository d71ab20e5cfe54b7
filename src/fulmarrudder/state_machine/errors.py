"""Errors and refusals of the state machine."""

import dataclasses

from fulmarrudder.state_machine.outcome import Reason


class StateMachineError(Exception):
    """Base class of the errors of the state machine."""


class OffsetGapError(StateMachineError):
    """A record does not follow the last record that was applied."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a record has no effect; see `Refused`."""

    reason: Reason
    detail: str
