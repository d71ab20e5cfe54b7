"""Writes the statuses of moves again after the store has lost some of them."""

import dataclasses
from collections.abc import Callable, Coroutine, Iterable

from fulmarrudder.move import RecordedMove
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.lease import GroupLease
from fulmarrudder.state_machine import OPEN_PHASES, Move, Phase


def lost_statuses(
    moves: Iterable[Move], recorded: Iterable[RecordedMove]
) -> tuple[Move, ...]:
    """Returns the moves whose status the store has lost. Pure.

    A move that is decided but has no verdict yet counts as running.

    Args:
        moves: The moves that are known to have had a status.
        recorded: The latest status of each service that the store holds.
    """
    by_service = {latest.service: latest for latest in recorded}
    lost = []
    for move in moves:
        if move.phase in OPEN_PHASES:
            move = dataclasses.replace(move, phase=Phase.RUNNING)
        held = by_service.get(move.service)
        if held is None or _is_earlier(held, move):
            lost.append(move)
    return tuple(lost)


def _is_earlier(held: RecordedMove, move: Move) -> bool:
    """Returns whether a recorded status is older than that of a move."""
    offset = held.request_offset or 0
    if offset != move.opened:
        return offset < move.opened
    return held.phase is Phase.RUNNING and move.phase is not Phase.RUNNING


class StatusRestorer:
    """Lets the holder of the controller's duty write lost statuses again.

    Each node that knows of a move seeks the duty until it has seen, as its
    holder, that the store holds all statuses.

    Attributes:
        lease: The lease of the duty.
        write: Writes what the store lacks; called with a function that tells
            whether it may go on. Returns whether the store holds all of it.
        era: The era in which statuses may be lacking, or None.
    """

    def __init__(
        self,
        lease: GroupLease,
        write: Callable[[Callable[[], bool]], Coroutine],
    ):
        self.lease = lease
        self.write = write
        self.era: int | None = None

    def enter_era(self, era: int) -> None:
        """Handles that the store has come back from an older copy."""
        self.era = era

    def is_due(self) -> bool:
        """Returns whether statuses may be lacking."""
        return self.era is not None

    def tick(self) -> Coroutine | None:
        """Returns a coroutine that writes what is lacking, if it is due."""
        if not self.is_due() or not self.lease.holds_lease():
            return None
        return self._restore()

    async def _restore(self) -> None:
        era = self.era
        try:
            is_done = await self.write(self.lease.holds_lease)
        except StoreError as error:
            logs.warning("statuses-not-written-again", detail=error)
            return
        if is_done and self.era == era:
            self.era = None
