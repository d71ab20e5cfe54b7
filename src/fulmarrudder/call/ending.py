"""How an attempt ends, and what that says of it; pure."""

import dataclasses
from functools import singledispatch

from fulmarrudder.call.message import Ran, Refusal, RefusalReason
from fulmarrudder.call.refusals import broken, late

FAILED_FROM = 500
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
NOTHING_THERE = frozenset({RefusalReason.UNREACHABLE, RefusalReason.NO_TARGET})
CROWDED = frozenset({RefusalReason.BUSY, RefusalReason.OVERLOADED})
ENDPOINTS_FAULT = NOTHING_THERE | {
    RefusalReason.BROKEN,
    RefusalReason.WRONG_TARGET,
    RefusalReason.DEADLINE,
    RefusalReason.MISDIRECTED,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The target answered."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Declined:
    """The node beside the target, or this one, refused."""

    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Broken:
    """The connection was lost after the request was sent."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Late:
    """The deadline passed before an answer."""


Ending = Answered | Declined | Broken | Late


def shows_no_target(ending: Ending | None) -> bool:
    """Tells whether an attempt shows that its endpoint has no target."""
    if not isinstance(ending, Declined):
        return False
    return ending.refusal.reason in NOTHING_THERE


def shed(ending: Ending | None) -> bool:
    """Tells whether a target turned the request away."""
    if not isinstance(ending, Declined):
        return False
    return ending.refusal.reason is RefusalReason.SHED


def lacks_capacity(ending: Ending) -> bool:
    """Tells whether a node turned the request away for want of room."""
    if not isinstance(ending, Declined):
        return False
    return ending.refusal.reason in CROWDED


def may_have_run(ending: Ending) -> bool:
    """Tells whether an attempt may have run its request."""
    if not isinstance(ending, Declined):
        return True
    return ending.refusal.ran is not Ran.NO


def may_have_reached_target(ending: Ending) -> bool:
    """Tells whether an attempt may have handed the request to a target."""
    if not isinstance(ending, Declined):
        return True
    return ending.refusal.arrived or ending.refusal.ran is not Ran.NO


@singledispatch
def counts_as_failure(ending: Ending) -> bool:
    """Tells whether an attempt speaks against its endpoint."""
    return True


@counts_as_failure.register
def _(ending: Answered) -> bool:
    return ending.status >= FAILED_FROM


@counts_as_failure.register
def _(ending: Declined) -> bool:
    return ending.refusal.reason in ENDPOINTS_FAULT


@singledispatch
def refusal_for(ending: Ending) -> Refusal:
    """Returns the refusal that tells a caller how an attempt ended."""
    return broken("connection was lost before an answer")


@refusal_for.register
def _(ending: Declined) -> Refusal:
    return ending.refusal


@refusal_for.register
def _(ending: Late) -> Refusal:
    return late("no answer in time")


def with_earlier_attempts(
    refusal: Refusal, *, may_have_run_before: bool
) -> Refusal:
    """Returns what holds for all attempts of a call, not for the last.

    Args:
        refusal: The refusal of the last attempt.
        may_have_run_before: Whether any attempt may have run the request.
    """
    if refusal.ran is Ran.NO and may_have_run_before:
        # A status that promises "not run" would be as untrue as the field.
        status = refusal.status
        if status in PROMISES_NOT_RUN:
            status = 502
        return dataclasses.replace(
            refusal, ran=Ran.UNKNOWN, status=status, retry_after_s=None
        )
    return refusal
