"""Replicated state machine over the log; pure.

Every node applies the same records in the same order and so reaches the same
state and the same outcomes.
"""

from fulmarrudder.state_machine.apply import ApplyResult, apply
from fulmarrudder.state_machine.duties import (
    CONTROLLER,
    is_relay_of,
    relay_duty,
    relay_prefix,
)
from fulmarrudder.state_machine.errors import OffsetGapError, StateMachineError
from fulmarrudder.state_machine.outcome import (
    Applied,
    Duplicate,
    Outcome,
    Reason,
    Refused,
)
from fulmarrudder.state_machine.state import (
    CLOSED_PHASE,
    EMPTY_STATE,
    OPEN_PHASES,
    CurrentVersion,
    Duty,
    Move,
    Phase,
    State,
    current_version_of,
    duty_named,
    move_by_id,
    open_move_of,
    service_named,
)
from fulmarrudder.state_machine.versions import (
    amendment_between,
    apply_amendment,
    validation_errors,
)

__all__ = [
    "CLOSED_PHASE",
    "CONTROLLER",
    "EMPTY_STATE",
    "OPEN_PHASES",
    "Applied",
    "CurrentVersion",
    "Duplicate",
    "Duty",
    "ApplyResult",
    "StateMachineError",
    "OffsetGapError",
    "Move",
    "Outcome",
    "Phase",
    "Reason",
    "Refused",
    "State",
    "apply_amendment",
    "apply",
    "current_version_of",
    "amendment_between",
    "duty_named",
    "validation_errors",
    "is_relay_of",
    "open_move_of",
    "move_by_id",
    "relay_duty",
    "relay_prefix",
    "service_named",
]
