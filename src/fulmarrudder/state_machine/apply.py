"""Transition function: `apply(state, record)` returns state and outcome."""

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

MAX_SEEN_IDS = 1024
DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyResult:
    """State after a record, and the outcome of the record."""

    state: State
    outcome: Outcome


def apply(state: State, record: Record) -> ApplyResult:
    """Applies one record to the state.

    Args:
        state: State before the record.
        record: The record at the next offset.

    Returns:
        The state after the record, and its outcome.

    Raises:
        OffsetGapError: The record's offset is not the one after the state's.
    """
    if record.offset != state.offset + 1:
        raise OffsetGapError(f"record {record.offset} after {state.offset}")
    advanced = dataclasses.replace(
        state,
        offset=record.offset,
        digest=_next_digest(state.digest, record.checksum),
    )
    if record.id in state.seen:
        outcome = Duplicate(offset=record.offset, id=record.id)
        return ApplyResult(state=advanced, outcome=outcome)
    seen = (*state.seen, record.id)[-MAX_SEEN_IDS:]
    base = dataclasses.replace(advanced, seen=seen)
    result = _apply_body(record.body, base, record.offset)
    if result.is_error():
        refusal = result.error
        outcome = Refused(
            offset=record.offset,
            id=record.id,
            reason=refusal.reason,
            detail=refusal.detail,
        )
        return ApplyResult(state=base, outcome=outcome)
    outcome = Applied(offset=record.offset, id=record.id)
    return ApplyResult(state=result.ok, outcome=outcome)


def _next_digest(digest: str, checksum: str) -> str:
    joined = f"{digest}{checksum}".encode()
    return hashlib.blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()


@singledispatch
def _apply_body(
    body: object, state: State, offset: int
) -> Result[State, Refusal]:
    return Error(
        Refusal(reason=Reason.UNREADABLE, detail="record could not be decoded")
    )


@_apply_body.register
def _(body: Publish, state: State, offset: int) -> Result[State, Refusal]:
    return versions.publish(state, body)


@_apply_body.register
def _(body: Amend, state: State, offset: int) -> Result[State, Refusal]:
    return versions.amend(state, body)


@_apply_body.register
def _(body: StartMove, state: State, offset: int) -> Result[State, Refusal]:
    return moves.start(state, body, offset)


@_apply_body.register
def _(body: StepMove, state: State, offset: int) -> Result[State, Refusal]:
    return moves.step(state, body, offset)


@_apply_body.register
def _(body: EndMove, state: State, offset: int) -> Result[State, Refusal]:
    return moves.end(state, body, offset)


@_apply_body.register
def _(body: CloseMove, state: State, offset: int) -> Result[State, Refusal]:
    return moves.close(state, body, offset)


@_apply_body.register
def _(body: ClaimDuty, state: State, offset: int) -> Result[State, Refusal]:
    return duties.claim(state, body)
