"""Carries out the controller's decisions in a fleet without relays.

Progress of moves is broadcast as facts; only the start and the verdict of a
move are recorded for the operator. The record is the verdict: a holder of the
duty looks for it before it raises a share, and reports the one that it finds,
whatever it has decided itself.
"""

import dataclasses
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Protocol

from twisted.internet.defer import Deferred, succeed

from fulmarrudder.clock import Clock
from fulmarrudder.model import (
    Brake,
    CloseMove,
    Decision,
    EndMove,
    MoveProgress,
    RecordBody,
    StepMove,
)
from fulmarrudder.move import (
    Confirmation,
    VerdictAction,
    VerdictEvent,
    next_verdict_action,
)
from fulmarrudder.node.errors import UnconfirmedError
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import CLOSED_PHASE, OPEN_PHASES, Move, Phase

DECIDED_PHASE = {
    Decision.COMPLETE: Phase.COMPLETING,
    Decision.TAKE_BACK: Phase.TAKING_BACK,
}
FULL_PERMILLE = 1000
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

    def resign(self) -> None:
        """Gives the lease up for some seconds, so that another node gets it."""


class MoveExecutor:
    """Turns the controller's decisions into progress facts and records.

    Attributes:
        record_status: Records the status of a move; the Deferred fires with
            the phase that the store then holds, or fails with
            `UnconfirmedError`.
        read_status: Reads the status of a move, with the same outcomes, and
            the phase of the move itself while it has no verdict.
        brakes: Returns the brakes that this node has received.
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
        read_status: Callable[[Move], Deferred],
        brakes: Callable[[], tuple[Brake, ...]],
    ):
        self.clock = clock
        self.data_centre = data_centre
        self.lease = lease
        self.moves = moves
        self.broadcast = broadcast
        self.record_status = record_status
        self.read_status = read_status
        self.brakes = brakes
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
        # The earlier time, should the clock run back.
        first_seen = min(self.first_seen.get(changed, now), now)
        self.first_seen[changed] = first_seen
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
        if move is None or move.phase is not Phase.RUNNING:
            return succeed(None)
        if move.permille == 0:
            return self._continue_after(self.record_status(move), body)
        return self._continue_after(self.read_status(move), body)

    @execute.register
    def _(self, body: EndMove) -> Deferred:
        move = self._find_move(body.move)
        if move is None or move.phase is not Phase.RUNNING:
            return succeed(None)
        if body.decision is Decision.COMPLETE:
            return self._continue_after(self.read_status(move), body)
        # A bad version is stopped without the store, too.
        self._broadcast_decision(move, body)
        return succeed(None)

    @execute.register
    def _(self, body: CloseMove) -> Deferred:
        move = self._find_move(body.move)
        if move is None:
            return succeed(None)
        action = next_verdict_action(move.phase, VerdictEvent.DUE)
        if action is not VerdictAction.RECORD:
            return succeed(None)
        closed = dataclasses.replace(move, phase=CLOSED_PHASE[move.phase])
        return self._continue_after(self.record_status(closed), body)

    def _continue_after(self, reading: Deferred, body: RecordBody) -> Deferred:
        return reading.addCallbacks(
            self._known,
            self._unconfirmed,
            callbackArgs=(body,),
            errbackArgs=(body.move,),
        )

    def _known(self, recorded: Phase, body: RecordBody) -> None:
        """Continues with a decision once the store's verdict is known.

        Args:
            recorded: Phase that the store holds, which may be the verdict of
                another holder of the duty.
            body: The decision.
        """
        move = self._find_move(body.move)
        if move is None:
            return
        if recorded not in OPEN_PHASES:
            self._report(move, recorded, body.term)
        elif self._is_current(move, body):
            self._carry_out(body, move)

    def _is_current(self, move: Move, body: RecordBody) -> bool:
        """Returns whether a decision still holds after a call of the store."""
        if move.phase is not Phase.RUNNING:
            return False
        if any(brake.move == move.id for brake in self.brakes()):
            return False
        return self.lease.holds_lease() and self.lease.term == body.term

    def _report(self, move: Move, recorded: Phase, term: int) -> None:
        action = next_verdict_action(move.phase, VerdictEvent.RECORDED)
        if action is VerdictAction.NOTHING:
            return
        permille = FULL_PERMILLE if recorded is Phase.COMPLETED else 0
        self._broadcast_progress(
            move,
            permille=permille,
            phase=recorded,
            term=term,
            reason=move.reason,
        )

    @singledispatchmethod
    def _carry_out(self, body: RecordBody, move: Move) -> None:
        raise TypeError(f"no open phase follows: {type(body).__name__}")

    @_carry_out.register
    def _(self, body: StepMove, move: Move) -> None:
        # Another holder may have raised the share meanwhile.
        if move.permille == body.expected_permille:
            self._broadcast_progress(
                move,
                permille=body.permille,
                phase=Phase.RUNNING,
                term=body.term,
            )

    @_carry_out.register
    def _(self, body: EndMove, move: Move) -> None:
        self._broadcast_decision(move, body)

    def _broadcast_decision(self, move: Move, body: EndMove) -> None:
        complete = body.decision is Decision.COMPLETE
        self._broadcast_progress(
            move,
            permille=FULL_PERMILLE if complete else 0,
            phase=DECIDED_PHASE[body.decision],
            term=body.term,
            reason=body.reason,
        )

    def _unconfirmed(self, failure, move_id: str) -> None:
        failure.trap(UnconfirmedError)
        move = self._find_move(move_id)
        if move is None:
            return
        action = next_verdict_action(move.phase, VerdictEvent.UNCONFIRMED)
        # The controller's next tick records it once more.
        logs.warning("move-unconfirmed", move=move_id, next_action=action.value)

    def _find_move(self, move_id: str) -> Move | None:
        for move in self.moves():
            if move.id == move_id:
                return move
        # The operator has withdrawn or replaced the request meanwhile.
        return None

    def _broadcast_progress(
        self,
        move: Move,
        *,
        permille: int,
        phase: Phase,
        term: int,
        reason: str = "",
    ) -> None:
        """Reports the progress of a move to all nodes.

        Args:
            move: The move.
            permille: Its share.
            phase: Its phase.
            term: Term in which it was decided. The lease may have another one
                by now.
            reason: Why it ended.
        """
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
                term=term,
                step=self.step,
                reason=reason,
            )
        )
