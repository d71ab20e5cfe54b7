"""Pure pipeline from records to state and outcomes."""

from fulmarrudder.fold.apply import Folded, apply
from fulmarrudder.fold.duties import (
    CONTROLLER,
    is_relay_of,
    relay_duty,
    relay_prefix,
)
from fulmarrudder.fold.errors import FoldError, GapError
from fulmarrudder.fold.outcome import (
    Applied,
    Duplicate,
    Outcome,
    Reason,
    Refused,
)
from fulmarrudder.fold.state import (
    EMPTY,
    Current,
    Duty,
    Move,
    Phase,
    State,
    current_of,
    duty_named,
    move_of,
    move_with,
    service_named,
)
from fulmarrudder.fold.versions import amended, differences, faults_of

__all__ = [
    "CONTROLLER",
    "EMPTY",
    "Applied",
    "Current",
    "Duplicate",
    "Duty",
    "Folded",
    "FoldError",
    "GapError",
    "Move",
    "Outcome",
    "Phase",
    "Reason",
    "Refused",
    "State",
    "amended",
    "apply",
    "current_of",
    "differences",
    "duty_named",
    "faults_of",
    "is_relay_of",
    "move_of",
    "move_with",
    "relay_duty",
    "relay_prefix",
    "service_named",
]
