"""The controller's acts on moves, spread as facts and recorded at their end."""

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

ENDED_PHASE = {
    Decision.COMPLETE: Phase.COMPLETING,
    Decision.TAKE_BACK: Phase.TAKING_BACK,
}
CLOSED_PHASE = {
    Phase.COMPLETING: Phase.COMPLETED,
    Phase.TAKING_BACK: Phase.TAKEN_BACK,
}
# A decision is spread within a fraction of a second; what the old version
# still runs by then is done after this long.
SETTLE_S = 1.5


class ControllerLease(Protocol):
    """The controller's duty, as this node knows it.

    Attributes:
        term: Fences what the holder says.
    """

    term: int

    def holds_lease(self) -> bool:
        """Tells whether this node holds the duty now."""


class MoveExecutor:
    """Turns what the controller decides into courses and records.

    Attributes:
        step: Counts what this node has said.
        decided: Clock seconds at which each change of a move was seen.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        data_centre: str,
        lease: ControllerLease,
        moves: Callable[[], tuple[Move, ...]],
        broadcast: Callable[[MoveProgress], None],
        record: Callable[[Move], Deferred],
    ):
        self.clock = clock
        self.data_centre = data_centre
        self.lease = lease
        self.moves = moves
        self.broadcast = broadcast
        self.record = record
        self.step = 0
        self.decided: dict[int, float] = {}

    def confirmation_of(self, changed: int) -> Confirmation:
        """Tells whether a decision has had its time to be in force.

        Args:
            changed: Names the change of the move.
        """
        now = self.clock.seconds()
        decided = self.decided.setdefault(changed, now)
        missing = () if now - decided >= SETTLE_S else (self.data_centre,)
        return Confirmation(confirmed=(), lagging=missing, unheard=())

    @singledispatchmethod
    def execute(self, body: RecordBody) -> Deferred:
        """Carries out what the controller decided.

        Args:
            body: The step, end or close of a move.

        Returns:
            Deferred that fires once it is done.
        """
        raise TypeError(f"not for a controller: {type(body).__name__}")

    @execute.register
    def _(self, body: StepMove) -> Deferred:
        move = self._move(body.move)
        if move.permille == 0:
            self.record(move)
        self._steer(move, permille=body.permille, phase=Phase.RUNNING)
        return succeed(None)

    @execute.register
    def _(self, body: EndMove) -> Deferred:
        move = self._move(body.move)
        complete = body.decision is Decision.COMPLETE
        phase = ENDED_PHASE[body.decision]
        permille = 1000 if complete else 0
        self._steer(move, permille=permille, phase=phase, reason=body.reason)
        return succeed(None)

    @execute.register
    def _(self, body: CloseMove) -> Deferred:
        move = self._move(body.move)
        closed = dataclasses.replace(move, phase=CLOSED_PHASE[move.phase])

        def recorded(_):
            self._steer(
                move,
                permille=move.permille,
                phase=closed.phase,
                reason=move.reason,
            )

        return self.record(closed).addCallback(recorded)

    def _move(self, move_id: str) -> Move:
        for move in self.moves():
            if move.id == move_id:
                return move
        raise KeyError(move_id)

    def _steer(
        self, move: Move, *, permille: int, phase: Phase, reason: str = ""
    ) -> None:
        self.step += 1
        logs.info(
            "move-steered", move=move.id, permille=permille, phase=phase.value
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
