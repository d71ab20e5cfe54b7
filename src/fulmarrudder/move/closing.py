"""Table: phase of a move and event of its verdict to what follows; pure.

The verdict of a move is its record in the store. A holder of the controller's
duty may try to record a verdict that is recorded already: its own, when the
store's answer was lost, or that of another holder.
"""

import enum

from fulmarrudder.state_machine import Phase


class VerdictEvent(enum.Enum):
    """What happened to the verdict of a move.

    Attributes:
        DUE: The decision has taken effect, so the verdict may be recorded.
        RECORDED: The store holds a verdict, of this holder or another.
        UNCONFIRMED: The record failed, or its answer was lost.
    """

    DUE = "due"
    RECORDED = "recorded"
    UNCONFIRMED = "unconfirmed"


class VerdictAction(enum.Enum):
    """What a holder of the duty does about it.

    Attributes:
        NOTHING: Nothing; the move is undecided, or closed already.
        RECORD: Records the verdict, once more if it has tried before.
        REPORT: Reports the recorded verdict to the other nodes.
    """

    NOTHING = "nothing"
    RECORD = "record"
    REPORT = "report"


_RUNNING = {
    VerdictEvent.DUE: VerdictAction.NOTHING,
    # Another holder has decided and closed the move meanwhile.
    VerdictEvent.RECORDED: VerdictAction.REPORT,
    VerdictEvent.UNCONFIRMED: VerdictAction.NOTHING,
}
_DECIDED = {
    VerdictEvent.DUE: VerdictAction.RECORD,
    VerdictEvent.RECORDED: VerdictAction.REPORT,
    VerdictEvent.UNCONFIRMED: VerdictAction.RECORD,
}
# A move is closed only once its verdict is recorded, so nothing is left to do.
_CLOSED = dict.fromkeys(VerdictEvent, VerdictAction.NOTHING)
ACTIONS = {
    Phase.RUNNING: _RUNNING,
    Phase.COMPLETING: _DECIDED,
    Phase.TAKING_BACK: _DECIDED,
    Phase.COMPLETED: _CLOSED,
    Phase.TAKEN_BACK: _CLOSED,
}


def next_verdict_action(phase: Phase, event: VerdictEvent) -> VerdictAction:
    """Returns what follows an event of a move's verdict.

    Args:
        phase: Present phase of the move, as this node knows it.
        event: The event.
    """
    return ACTIONS[phase][event]
