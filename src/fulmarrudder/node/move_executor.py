"""Carries out the controller's decisions in a fleet without relays.

Progress of moves is broadcast as facts; only the start and the end of a move
are recorded for the operator.
"""

import dataclasses
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Protocol

from twisted.internet.defer import Deferred, succeed

from fulmarrudder.clock import Clock
from fulmarrudder.model import (
    CloseMove,
    Decision,
    EndMove,
    MoveProgress,
    RecordBody,
    StepMove,
)
from fulmarrudder.move import Confirmation
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import Move, Phase

DECIDED_PHASE = {
    Decision.COMPLETE: Phase.COMPLETING,
    Decision.TAKE_BACK: Phase.TAKING_BACK,
}
CLOSED_PHASE = {
    Phase.COMPLETING: Phase.COMPLETED,
    Phase.TAKING_BACK: Phase.TAKEN_BACK,
}
# A decision reaches all nodes within a fraction of a second. After this time,
# requests that the other version was still serving have finished.
DECISION_SETTLE_S = 1.5


class ControllerLease(Protocol):
    """Lease of the controller's duty.

    Attributes:
        term: Fencing token of the lease.
    """

    term: int

    def holds_lease(self) -> bool:
        """Returns whether this node holds the lease now."""


class MoveExecutor:
    """Turns the controller's decisions into progress facts and records.

    Attributes:
        step: Counts the progress facts of this node.
        first_seen: Clock seconds at which each change of a move was first
            seen, by the change's number.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        data_centre: str,
        lease: ControllerLease,
        moves: Callable[[], tuple[Move, ...]],
        broadcast: Callable[[MoveProgress], None],
        record_status: Callable[[Move], Deferred],
    ):
        self.clock = clock
        self.data_centre = data_centre
        self.lease = lease
        self.moves = moves
        self.broadcast = broadcast
        self.record_status = record_status
        self.step = 0
        self.first_seen: dict[int, float] = {}

    def confirmation_of(self, changed: int) -> Confirmation:
        """Returns whether a decision has had time to take effect.

        Args:
            changed: Number of the move's latest change.

        Returns:
            A confirmation that lists this data centre as lagging until then.
        """
        now = self.clock.seconds()
        first_seen = self.first_seen.setdefault(changed, now)
        lagging = (
            () if now - first_seen >= DECISION_SETTLE_S else (self.data_centre,)
        )
        return Confirmation(confirmed=(), lagging=lagging, unheard=())

    @singledispatchmethod
    def execute(self, body: RecordBody) -> Deferred:
        """Carries out a decision of the controller.

        Args:
            body: The step, end or close of a move.

        Returns:
            Deferred that fires once it is done.
        """
        raise TypeError(f"not a controller decision: {type(body).__name__}")

    @execute.register
    def _(self, body: StepMove) -> Deferred:
        move = self._find_move(body.move)
        if move.permille == 0:
            self.record_status(move)
        self._broadcast_progress(
            move, permille=body.permille, phase=Phase.RUNNING
        )
        return succeed(None)

    @execute.register
    def _(self, body: EndMove) -> Deferred:
        move = self._find_move(body.move)
        complete = body.decision is Decision.COMPLETE
        phase = DECIDED_PHASE[body.decision]
        permille = 1000 if complete else 0
        self._broadcast_progress(
            move, permille=permille, phase=phase, reason=body.reason
        )
        return succeed(None)

    @execute.register
    def _(self, body: CloseMove) -> Deferred:
        move = self._find_move(body.move)
        closed = dataclasses.replace(move, phase=CLOSED_PHASE[move.phase])

        def on_recorded(_):
            self._broadcast_progress(
                move,
                permille=move.permille,
                phase=closed.phase,
                reason=move.reason,
            )

        return self.record_status(closed).addCallback(on_recorded)

    def _find_move(self, move_id: str) -> Move:
        for move in self.moves():
            if move.id == move_id:
                return move
        raise KeyError(move_id)

    def _broadcast_progress(
        self, move: Move, *, permille: int, phase: Phase, reason: str = ""
    ) -> None:
        self.step += 1
        logs.info(
            "move-progress", move=move.id, permille=permille, phase=phase.value
        )
        self.broadcast(
            MoveProgress(
                move=move.id,
                service=move.service,
                to_version=move.to_version,
                permille=permille,
                phase=phase.value,
                deadline=move.deadline,
                term=self.lease.term,
                step=self.step,
                reason=reason,
            )
        )
