"""How an attempt ended, and the consequences; pure functions."""

import dataclasses
from functools import singledispatch

from fulmarrudder.call.message import Ran, Refusal, RefusalReason
from fulmarrudder.call.refusals import broken, late, not_run

FIRST_FAILURE_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
NO_TARGET_REASONS = frozenset(
    {RefusalReason.UNREACHABLE, RefusalReason.NO_TARGET}
)
NO_CAPACITY_REASONS = frozenset({RefusalReason.BUSY, RefusalReason.OVERLOADED})
ENDPOINT_FAILURE_REASONS = NO_TARGET_REASONS | {
    RefusalReason.CONNECTION_BROKEN,
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
    """The host node, or this node, refused the request."""

    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Broken:
    """The connection was lost after the request was sent.

    Attributes:
        stale: Whether it was a kept connection that was lost before any byte of
            the answer, so that the node may not have read the request.
    """

    stale: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Late:
    """The deadline passed before an answer was received."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withheld:
    """The request was not sent: other attempts were, before it could be."""


Ending = Answered | Declined | Broken | Late | Withheld


def shows_no_target(ending: Ending | None) -> bool:
    """Returns whether an attempt shows that its endpoint has no target."""
    if not isinstance(ending, Declined):
        return False
    return ending.refusal.reason in NO_TARGET_REASONS


def shed(ending: Ending | None) -> bool:
    """Returns whether the target shed the request."""
    if not isinstance(ending, Declined):
        return False
    return ending.refusal.reason is RefusalReason.TARGET_SHED


def lacks_capacity(ending: Ending) -> bool:
    """Returns whether a node refused the request for lack of capacity."""
    if not isinstance(ending, Declined):
        return False
    return ending.refusal.reason in NO_CAPACITY_REASONS


def is_stale(ending: Ending) -> bool:
    """Returns whether an attempt was sent on a connection that was closed."""
    return isinstance(ending, Broken) and ending.stale


def may_have_run(ending: Ending) -> bool:
    """Returns whether an attempt may have run its request."""
    if not isinstance(ending, Declined):
        return not isinstance(ending, Withheld)
    return ending.refusal.ran is not Ran.NO


def may_have_reached_target(ending: Ending) -> bool:
    """Returns whether an attempt may have sent the request to a target."""
    if not isinstance(ending, Declined):
        return not isinstance(ending, Withheld)
    return ending.refusal.reached_target or ending.refusal.ran is not Ran.NO


@singledispatch
def counts_as_failure(ending: Ending) -> bool:
    """Returns whether an attempt counts as a failure of its endpoint."""
    return True


@counts_as_failure.register
def _(ending: Answered) -> bool:
    return ending.status >= FIRST_FAILURE_STATUS


@counts_as_failure.register
def _(ending: Declined) -> bool:
    return ending.refusal.reason in ENDPOINT_FAILURE_REASONS


@singledispatch
def refusal_for(ending: Ending) -> Refusal:
    """Returns the refusal that reports the end of an attempt to a caller."""
    return broken("connection was lost before an answer")


@refusal_for.register
def _(ending: Declined) -> Refusal:
    return ending.refusal


@refusal_for.register
def _(ending: Late) -> Refusal:
    return late("no answer in time")


@refusal_for.register
def _(ending: Withheld) -> Refusal:
    return not_run(
        RefusalReason.UNREACHABLE, "connection opened after another attempt"
    )


def with_earlier_attempts(
    refusal: Refusal, *, may_have_run_before: bool
) -> Refusal:
    """Returns the refusal that is correct for all attempts of a call.

    Args:
        refusal: The refusal of the last attempt.
        may_have_run_before: Whether any attempt may have run the request.
    """
    if refusal.ran is Ran.NO and may_have_run_before:
        # A status that implies "not run" would be wrong as well.
        status = refusal.status
        if status in NOT_RUN_STATUSES:
            status = 502
        return dataclasses.replace(
            refusal, ran=Ran.UNKNOWN, status=status, retry_after_s=None
        )
    return refusal
