"""Decisions on what follows an attempt; pure but for the budget's tokens."""

import dataclasses
import enum
from functools import singledispatch

from fulmarrudder.call.ending import (
    Answered,
    Broken,
    Declined,
    Ending,
    Late,
)
from fulmarrudder.call.endpoint_stats import SlotState
from fulmarrudder.call.message import Ran, RefusalReason

# Attempts, with those that nodes turned away before a target saw them.
MAX_ATTEMPTS = 5
# Nodes that may turn a request away because another may have room. After as
# many, only those that are known to have room are asked.
MAX_SPILL_ATTEMPTS = 2
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_LIMIT = 20.0
RETRIED_STATUS = frozenset({502, 503, 504})


class RetryDecision(enum.Enum):
    """What follows an attempt."""

    DELIVER = "deliver"
    RETRY = "retry"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryContext:
    """What is known when an attempt has ended.

    Attributes:
        repeatable: Whether a second run would do no harm, because the
            request is idempotent or its key is claimed before it runs.
        replayable: Whether the whole body is still at hand.
        number: Attempts made so far.
        arrivals: Those that may have reached a target.
        most: Targets that the request may be handed to.
    """

    repeatable: bool
    replayable: bool
    number: int
    arrivals: int = 0
    most: int = 3


class RetryBudget:
    """Bounds retries to a share of requests.

    Attributes:
        tokens: Retries that may be made now.
        ratio: Retries earned by a request.
        limit: Most retries that can be saved up.
    """

    __slots__ = ("limit", "ratio", "tokens")

    def __init__(
        self,
        *,
        ratio: float = RETRY_BUDGET_RATIO,
        limit: float = RETRY_BUDGET_LIMIT,
    ):
        self.ratio = ratio
        self.limit = limit
        self.tokens = limit

    def deposit(self) -> None:
        """Notes a request."""
        self.tokens = min(self.limit, self.tokens + self.ratio)

    def withdraw(self) -> bool:
        """Takes a retry out of the budget, if it holds one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def may_accept(room: SlotState, crowded: int) -> bool:
    """Tells whether a request may find room where a node has not refused it.

    Each question costs two nodes work, just when all are short of it.

    Args:
        room: What is known of the endpoint's slots.
        crowded: Nodes that have turned the request away for want of room.
    """
    if not crowded:
        return True
    if crowded < MAX_SPILL_ATTEMPTS:
        return room is not SlotState.FULL
    return room is SlotState.FREE


@singledispatch
def decide_retry(ending: Ending, attempt: RetryContext) -> RetryDecision:
    """Decides what follows an attempt.

    Args:
        ending: How the attempt ended.
        attempt: What else is known of it.

    Returns:
        Whether to deliver, to try again, or to refuse.
    """
    raise TypeError(f"not an ending: {type(ending).__name__}")


@decide_retry.register
def _(ending: Answered, attempt: RetryContext) -> RetryDecision:
    again = ending.status in RETRIED_STATUS and attempt.repeatable
    return _retry_or(RetryDecision.DELIVER, again, attempt)


@decide_retry.register
def _(ending: Declined, attempt: RetryContext) -> RetryDecision:
    refusal = ending.refusal
    final = refusal.reason in FINAL_REASONS
    again = refusal.ran is Ran.NO and not final
    return _retry_or(RetryDecision.REFUSE, again, attempt)


@decide_retry.register
def _(ending: Broken, attempt: RetryContext) -> RetryDecision:
    return _retry_or(RetryDecision.REFUSE, attempt.repeatable, attempt)


@decide_retry.register
def _(ending: Late, attempt: RetryContext) -> RetryDecision:
    return RetryDecision.REFUSE


FINAL_REASONS = frozenset(
    {
        RefusalReason.MALFORMED,
        RefusalReason.SUSPECT,
        RefusalReason.DEADLINE,
        RefusalReason.KEY_REUSED,
        RefusalReason.CLAIMS_AWAY,
        RefusalReason.NOT_A_PEER,
    }
)


def _retry_or(
    otherwise: RetryDecision, again: bool, attempt: RetryContext
) -> RetryDecision:
    if not again or not attempt.replayable:
        return otherwise
    if attempt.number >= MAX_ATTEMPTS or attempt.arrivals >= attempt.most:
        return otherwise
    return RetryDecision.RETRY
