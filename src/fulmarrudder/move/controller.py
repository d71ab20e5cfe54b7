"""Pipeline of the controller: findings to records of the log.

Only the holder of the controller's duty runs it. Every record carries the
term, so that a holder that was paused past its lease can do no harm.
"""

from collections.abc import Callable
from functools import singledispatchmethod

from fulmarrudder.clock import Clock, wall_seconds
from fulmarrudder.fold import Move, Phase, State
from fulmarrudder.model import (
    Body,
    CloseMove,
    Decision,
    EndMove,
    StepMove,
)
from fulmarrudder.move.confirm import Confirmation
from fulmarrudder.move.judge import Bad, Finding, Unproven
from fulmarrudder.move.monitor import Monitor
from fulmarrudder.move.schedule import (
    Action,
    Finish,
    GiveUp,
    Raise,
    Wait,
    next_action,
)
from fulmarrudder.observe import logs

BY = "controller"
UNHEARD_LIMIT_S = 900.0


class Controller:
    """Advances, completes, takes back and closes moves.

    Attributes:
        waiting: Moves with a record under way, by id.
        missing: What each open move waits for, by id, for operators.
    """

    def __init__(
        self,
        clock: Clock,
        monitor: Monitor,
        append: Callable[[Body], object],
        confirmed: Callable[[int], Confirmation],
        wall: Callable[[], float] = wall_seconds,
    ):
        self.clock = clock
        self.monitor = monitor
        self.append = append
        self.confirmed = confirmed
        self.wall = wall
        self.waiting: set[str] = set()
        self.missing: dict[str, str] = {}
        self.decided_at: dict[str, float] = {}

    def tick(self, state: State, term: int) -> None:
        """Does what is due on every open move.

        Args:
            state: The folded state.
            term: Term of the controller's duty.
        """
        open_ids = {move.id for move in state.moves}
        for known in (self.missing, self.decided_at):
            for move_id in tuple(known):
                if move_id not in open_ids:
                    del known[move_id]
        for move in state.moves:
            if move.id in self.waiting:
                continue
            if move.phase is Phase.RUNNING:
                self._run(move, term)
            else:
                self._close(move, term)

    def _run(self, move: Move, term: int) -> None:
        watched = self.monitor.watched.get(move.id)
        if watched is None:
            return
        finding = self._finding(move, watched.finding)
        held_s = self.clock.seconds() - watched.since
        action = next_action(move, finding, held_s=held_s, wall=self.wall())
        self._act(action, move, term)

    def _finding(self, move: Move, finding: Finding | None) -> Finding:
        for brake in self.monitor.facts.brakes:
            if brake.move == move.id:
                return Bad(route=brake.route, reason=brake.reason)
        return finding or Unproven(requests=0)

    def _close(self, move: Move, term: int) -> None:
        now = self.clock.seconds()
        decided = self.decided_at.setdefault(move.id, now)
        confirmation = self.confirmed(move.changed)
        self.missing[move.id] = ", ".join(confirmation.missing)
        given_up = not confirmation.lagging and now - decided > UNHEARD_LIMIT_S
        if confirmation.whole or given_up:
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
        self.missing[move.id] = action.missing

    @_act.register
    def _(self, action: Raise, move: Move, term: int) -> None:
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
    def _(self, action: Finish, move: Move, term: int) -> None:
        self._end(move, term, Decision.COMPLETE, "evidence was clear")

    @_act.register
    def _(self, action: GiveUp, move: Move, term: int) -> None:
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

    def _send(self, move: Move, body: Body) -> None:
        self.waiting.add(move.id)
        appending = self.append(body)
        appending.addBoth(lambda _: self.waiting.discard(move.id))
