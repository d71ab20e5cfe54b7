"""The fold itself: `apply(state, record)` gives state and outcome."""

import dataclasses
import hashlib
from functools import singledispatch

from expression import Error, Result

from fulmarrudder.model import (
    Amend,
    ClaimDuty,
    CloseMove,
    EndMove,
    Publish,
    Record,
    StartMove,
    StepMove,
)
from fulmarrudder.state_machine import duties, moves, versions
from fulmarrudder.state_machine.errors import OffsetGapError, Refusal
from fulmarrudder.state_machine.outcome import (
    Applied,
    Duplicate,
    Outcome,
    Reason,
    Refused,
)
from fulmarrudder.state_machine.state import State

SEEN_LIMIT = 1024
DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyResult:
    """State after a record, and what became of the record."""

    state: State
    outcome: Outcome


def apply(state: State, record: Record) -> ApplyResult:
    """Folds one record into the state.

    Args:
        state: State before the record.
        record: The record at the next offset.

    Returns:
        The state after it, and the outcome.

    Raises:
        OffsetGapError: The record does not follow the state.
    """
    if record.offset != state.offset + 1:
        raise OffsetGapError(f"record {record.offset} after {state.offset}")
    moved_on = dataclasses.replace(
        state,
        offset=record.offset,
        digest=_chain(state.digest, record.checksum),
    )
    if record.id in state.seen:
        outcome = Duplicate(offset=record.offset, id=record.id)
        return ApplyResult(state=moved_on, outcome=outcome)
    seen = (*state.seen, record.id)[-SEEN_LIMIT:]
    noted = dataclasses.replace(moved_on, seen=seen)
    result = _change(record.body, noted, record.offset)
    if result.is_error():
        refusal = result.error
        outcome = Refused(
            offset=record.offset,
            id=record.id,
            reason=refusal.reason,
            detail=refusal.detail,
        )
        return ApplyResult(state=noted, outcome=outcome)
    outcome = Applied(offset=record.offset, id=record.id)
    return ApplyResult(state=result.ok, outcome=outcome)


def _chain(digest: str, checksum: str) -> str:
    joined = f"{digest}{checksum}".encode()
    return hashlib.blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()


@singledispatch
def _change(body: object, state: State, offset: int) -> Result[State, Refusal]:
    return Error(
        Refusal(reason=Reason.UNREADABLE, detail="record could not be decoded")
    )


@_change.register
def _(body: Publish, state: State, offset: int) -> Result[State, Refusal]:
    return versions.publish(state, body)


@_change.register
def _(body: Amend, state: State, offset: int) -> Result[State, Refusal]:
    return versions.amend(state, body)


@_change.register
def _(body: StartMove, state: State, offset: int) -> Result[State, Refusal]:
    return moves.start(state, body, offset)


@_change.register
def _(body: StepMove, state: State, offset: int) -> Result[State, Refusal]:
    return moves.step(state, body, offset)


@_change.register
def _(body: EndMove, state: State, offset: int) -> Result[State, Refusal]:
    return moves.end(state, body, offset)


@_change.register
def _(body: CloseMove, state: State, offset: int) -> Result[State, Refusal]:
    return moves.close(state, body, offset)


@_change.register
def _(body: ClaimDuty, state: State, offset: int) -> Result[State, Refusal]:
    return duties.claim(state, body)
