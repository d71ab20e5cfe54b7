"""Pipeline of the controller: findings to records of the log.

Only the holder of the controller's duty runs it. Every record carries the
term, so that a holder that was paused past its lease can do no harm.
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

BY = "controller"
CONFIRM_TIMEOUT_S = 900.0


class Controller:
    """Advances, completes, takes back and closes moves.

    Attributes:
        pending: Moves with a record under way, by id.
        missing: What each open move waits for, by id, for operators.
    """

    def __init__(
        self,
        clock: Clock,
        monitor: Monitor,
        append: Callable[[RecordBody], object],
        confirmed: Callable[[int], Confirmation],
        wall: Callable[[], float] = wall_seconds,
    ):
        self.clock = clock
        self.monitor = monitor
        self.append = append
        self.confirmed = confirmed
        self.wall = wall
        self.pending: set[str] = set()
        self.waiting_for: dict[str, str] = {}
        self.decided_at: dict[str, float] = {}

    def tick(self, state: State, term: int) -> None:
        """Does what is due on every open move.

        Args:
            state: The folded state.
            term: Term of the controller's duty.
        """
        open_ids = {move.id for move in state.moves}
        for known in (self.waiting_for, self.decided_at):
            for move_id in tuple(known):
                if move_id not in open_ids:
                    del known[move_id]
        for move in state.moves:
            if move.id in self.pending:
                continue
            if move.phase is Phase.RUNNING:
                self._run(move, term)
            else:
                self._close(move, term)

    def _run(self, move: Move, term: int) -> None:
        watched = self.monitor.monitored.get(move.id)
        if watched is None:
            return
        finding = self._finding(move, watched.finding)
        held_s = self.clock.seconds() - watched.held_since
        action = next_action(move, finding, held_s=held_s, wall=self.wall())
        self._act(action, move, term)

    def _finding(self, move: Move, finding: Finding | None) -> Finding:
        for brake in self.monitor.facts.brakes:
            if brake.move == move.id:
                return Regression(route=brake.route, reason=brake.reason)
        return finding or NoRegression(requests=0)

    def _close(self, move: Move, term: int) -> None:
        now = self.clock.seconds()
        decided = self.decided_at.setdefault(move.id, now)
        confirmation = self.confirmed(move.changed)
        self.waiting_for[move.id] = ", ".join(confirmation.missing)
        given_up = (
            not confirmation.lagging and now - decided > CONFIRM_TIMEOUT_S
        )
        if confirmation.complete or given_up:
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
            "move-decided", move=move.id, decision=decision.value, why=reason
        )
        self._send(
            move,
            EndMove(
                move=move.id,
                decision=decision,
                by=BY,
                reason=reason,
                term=term,
            ),
        )

    def _send(self, move: Move, body: RecordBody) -> None:
        self.pending.add(move.id)
        appending = self.append(body)
        appending.addBoth(lambda _: self.pending.discard(move.id))
