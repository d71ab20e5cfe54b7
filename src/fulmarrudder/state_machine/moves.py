"""Transition rules for moves."""

import dataclasses

from expression import Error, Ok, Result

from fulmarrudder.model import CloseMove, Decision, EndMove, StartMove, StepMove
from fulmarrudder.state_machine.duties import check_term
from fulmarrudder.state_machine.errors import Refusal
from fulmarrudder.state_machine.outcome import Reason
from fulmarrudder.state_machine.state import (
    CLOSED_PHASE,
    OPEN_PHASES,
    CurrentVersion,
    Move,
    Phase,
    State,
    current_version_of,
    move_by_id,
    open_move_of,
    service_named,
)

MAX_CLOSED_MOVES = 200
FULL_PERMILLE = 1000
DECIDED_PHASE = {
    Decision.COMPLETE: Phase.COMPLETING,
    Decision.TAKE_BACK: Phase.TAKING_BACK,
}


def _refused(reason: Reason, detail: str) -> Result[State, Refusal]:
    return Error(Refusal(reason=reason, detail=detail))


def start(state: State, body: StartMove, offset: int) -> Result[State, Refusal]:
    """Opens a move with a share of 0.

    Args:
        state: State before the record.
        body: The operator's record.
        offset: Offset of the record.

    Returns:
        The state with the move, or why it cannot start.
    """
    if body.expected != state.version:
        return _refused(
            Reason.STALE_VERSION,
            f"version {state.version} is in force, not {body.expected}",
        )
    service = service_named(state.arrangement, body.service)
    if service is None:
        return _refused(Reason.UNKNOWN_SERVICE, f"no service {body.service}")
    if body.to_version not in service.target_versions:
        return _refused(
            Reason.UNKNOWN_TARGET_VERSION,
            f"{body.service} has no target version {body.to_version};"
            f" it has {', '.join(service.target_versions)}",
        )
    current = current_version_of(state, body.service)
    if current == body.to_version:
        return _refused(Reason.ALREADY_CURRENT, f"{body.to_version} is current")
    running = open_move_of(state, body.service)
    if running:
        return _refused(
            Reason.MOVE_OPEN, f"move {running.id} by {running.operator} is open"
        )
    if move_by_id(state, body.move):
        return _refused(Reason.MOVE_OPEN, f"move id {body.move} is taken")
    move = Move(
        id=body.move,
        service=body.service,
        from_version=current or service.initial,
        to_version=body.to_version,
        operator=body.operator,
        deadline=body.deadline,
        opened=offset,
        changed=offset,
    )
    return Ok(_with_move(state, move))


def step(state: State, body: StepMove, offset: int) -> Result[State, Refusal]:
    """Raises the share of a running move.

    Args:
        state: State before the record.
        body: The controller's record.
        offset: Offset of the record.

    Returns:
        The state with the new share, or why it cannot be raised.
    """
    found = _find_running(state, body.move, body.term)
    if found.is_error():
        return found
    move = found.ok
    if move.permille != body.expected_permille:
        return _refused(Reason.STALE_STEP, f"share is {move.permille} permille")
    if not move.permille < body.permille <= FULL_PERMILLE:
        return _refused(
            Reason.STALE_STEP, f"share cannot go to {body.permille}"
        )
    raised = dataclasses.replace(move, permille=body.permille, changed=offset)
    return Ok(_with_move(state, raised))


def end(state: State, body: EndMove, offset: int) -> Result[State, Refusal]:
    """Ends a running move; the first decision in the log wins.

    Args:
        state: State before the record.
        body: The operator's or the controller's record.
        offset: Offset of the record.

    Returns:
        The state with the decision, or a refusal that names the earlier
        decision.
    """
    found = _find_running(state, body.move, body.term or None)
    if found.is_error():
        return found
    move = found.ok
    complete = body.decision is Decision.COMPLETE
    decided = dataclasses.replace(
        move,
        phase=DECIDED_PHASE[body.decision],
        permille=FULL_PERMILLE if complete else 0,
        decision=body.decision,
        by=body.by,
        reason=body.reason,
        changed=offset,
    )
    after = _with_move(state, decided)
    if not complete:
        return Ok(after)
    return Ok(_with_current_version(after, move.service, move.to_version))


def close(state: State, body: CloseMove, offset: int) -> Result[State, Refusal]:
    """Closes a decided move.

    The controller sends the record once every data centre has applied the
    decision or, after a timeout, every data centre that still reports.

    Args:
        state: State before the record.
        body: The controller's record.
        offset: Offset of the record.

    Returns:
        The state with the move in its history, or why it stays open.
    """
    found = _find_move(state, body.move, body.term)
    if found.is_error():
        return found
    move = found.ok
    if move.phase not in CLOSED_PHASE:
        return _refused(
            Reason.MOVE_DECIDED, f"move {move.id} is {move.phase.value}"
        )
    closed = dataclasses.replace(
        move,
        phase=CLOSED_PHASE[move.phase],
        data_centres=body.data_centres,
        changed=offset,
    )
    return Ok(_with_move(state, closed))


def _find_move(
    state: State, move_id: str, term: int | None
) -> Result[Move, Refusal]:
    """Finds a move; checks the controller's term unless `term` is None."""
    stale = None if term is None else check_term(state, term)
    if stale:
        return Error(stale)
    move = move_by_id(state, move_id)
    if move is None:
        return _refused(Reason.UNKNOWN_MOVE, f"no move {move_id}")
    return Ok(move)


def _find_running(
    state: State, move_id: str, term: int | None
) -> Result[Move, Refusal]:
    """Finds a move that is not decided yet; see `_find_move`."""
    found = _find_move(state, move_id, term)
    if found.is_error() or found.ok.phase is Phase.RUNNING:
        return found
    return _refused(Reason.MOVE_DECIDED, _describe_decision(found.ok))


def _describe_decision(move: Move) -> str:
    return f"move {move.id} is {move.phase.value}, decided by {move.by}"


def _with_current_version(state: State, service: str, version: str) -> State:
    currents = tuple(
        CurrentVersion(service=service, target_version=version)
        if current.service == service
        else current
        for current in state.currents
    )
    return dataclasses.replace(state, currents=currents)


def _with_move(state: State, move: Move) -> State:
    others = [other for other in state.moves if other.id != move.id]
    if move.phase in OPEN_PHASES:
        moves = tuple(sorted([*others, move], key=lambda m: m.id))
        return dataclasses.replace(state, moves=moves)
    history = (*state.history, move)[-MAX_CLOSED_MOVES:]
    return dataclasses.replace(state, moves=tuple(others), history=history)
