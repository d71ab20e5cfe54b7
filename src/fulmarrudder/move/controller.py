"""Pipeline of the controller: findings to records of the log.

Only the holder of the controller's duty runs it. Every record carries the
duty's term, so that the records of a holder that was paused past its lease are
refused.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.model import (
    CloseMove,
    Decision,
    EndMove,
    RecordBody,
    StepMove,
)
from fulmarrudder.move.analysis import Finding, NoRegression, Regression
from fulmarrudder.move.closing import (
    VerdictAction,
    VerdictEvent,
    next_verdict_action,
)
from fulmarrudder.move.confirm import Confirmation
from fulmarrudder.move.monitor import Monitor
from fulmarrudder.move.schedule import (
    Action,
    Complete,
    RaiseShare,
    TakeBack,
    Wait,
    next_action,
)
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import Move, Phase, State

DECIDED_BY = "controller"
CONFIRM_TIMEOUT_S = 900.0


class Controller:
    """Advances, completes, takes back and closes moves.

    Attributes:
        append: Appends a record to the log.
        confirmation_of: Returns the confirmation of the record at an offset.
        wall: Returns wall-clock seconds.
        pending: Ids of moves with an append in progress.
        waiting_for: Reason for which each open move waits, by id, for
            operators.
        decided_at: Clock seconds at which this node first received the
            decision of each open move, by id.
    """

    def __init__(
        self,
        clock: Clock,
        monitor: Monitor,
        append: Callable[[RecordBody], object],
        confirmation_of: Callable[[int], Confirmation],
        wall: Callable[[], float] = wall_seconds,
    ):
        self.clock = clock
        self.monitor = monitor
        self.append = append
        self.confirmation_of = confirmation_of
        self.wall = wall
        self.pending: set[str] = set()
        self.waiting_for: dict[str, str] = {}
        self.decided_at: dict[str, float] = {}

    def tick(self, state: State, term: int) -> None:
        """Executes the next action on every open move.

        Args:
            state: State with the open moves.
            term: Term of the controller's duty.
        """
        open_ids = {move.id for move in state.moves}
        for by_move in (self.waiting_for, self.decided_at):
            for move_id in tuple(by_move):
                if move_id not in open_ids:
                    del by_move[move_id]
        for move in state.moves:
            if move.id in self.pending:
                continue
            if move.phase is Phase.RUNNING:
                self._advance(move, term)
                continue
            due = next_verdict_action(move.phase, VerdictEvent.DUE)
            if due is VerdictAction.RECORD:
                self._close(move, term)

    def _advance(self, move: Move, term: int) -> None:
        monitored = self.monitor.monitored.get(move.id)
        if monitored is None:
            return
        finding = self._finding(move, monitored.finding)
        held_s = self.clock.seconds() - monitored.held_since
        action = next_action(move, finding, held_s=held_s, wall=self.wall())
        self._act(action, move, term)

    def _finding(self, move: Move, finding: Finding | None) -> Finding:
        for brake in self.monitor.facts.brakes:
            if brake.move == move.id:
                return Regression(route=brake.route, reason=brake.reason)
        return finding or NoRegression(requests=0)

    def _close(self, move: Move, term: int) -> None:
        now = self.clock.seconds()
        # The earlier time, should the clock run back.
        decided = min(self.decided_at.get(move.id, now), now)
        self.decided_at[move.id] = decided
        confirmation = self.confirmation_of(move.changed)
        self.waiting_for[move.id] = ", ".join(confirmation.missing)
        timed_out = (
            not confirmation.lagging and now - decided > CONFIRM_TIMEOUT_S
        )
        if confirmation.complete or timed_out:
            self._send(
                move,
                CloseMove(
                    move=move.id,
                    term=term,
                    data_centres=confirmation.confirmed,
                ),
            )

    @singledispatchmethod
    def _act(self, action: Action, move: Move, term: int) -> None:
        raise TypeError(f"not an action: {type(action).__name__}")

    @_act.register
    def _(self, action: Wait, move: Move, term: int) -> None:
        self.waiting_for[move.id] = action.missing

    @_act.register
    def _(self, action: RaiseShare, move: Move, term: int) -> None:
        self._send(
            move,
            StepMove(
                move=move.id,
                term=term,
                expected_permille=move.permille,
                permille=action.permille,
            ),
        )

    @_act.register
    def _(self, action: Complete, move: Move, term: int) -> None:
        self._end(move, term, Decision.COMPLETE, "evidence was clear")

    @_act.register
    def _(self, action: TakeBack, move: Move, term: int) -> None:
        reason = action.reason
        if action.route:
            reason = f"route {action.route}: {reason}"
        self._end(move, term, Decision.TAKE_BACK, reason)

    def _end(self, move: Move, term: int, decision, reason: str) -> None:
        logs.info(
            "move-decided", move=move.id, decision=decision.value, reason=reason
        )
        self._send(
            move,
            EndMove(
                move=move.id,
                decision=decision,
                by=DECIDED_BY,
                reason=reason,
                term=term,
            ),
        )

    def _send(self, move: Move, body: RecordBody) -> None:
        appending = self.append(body)
        # Added only now: after an exception the move is not pending.
        self.pending.add(move.id)
        appending.addBoth(self._append_ended, move.id)

    def _append_ended(self, result, move_id: str):
        self.pending.discard(move_id)
        return result
