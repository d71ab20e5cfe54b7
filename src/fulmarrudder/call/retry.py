"""Decision after an attempt: to deliver its answer, retry or refuse."""

import dataclasses
import enum
from functools import singledispatch

from fulmarrudder.call.ending import (
    FIRST_FAILURE_STATUS,
    Answered,
    Broken,
    Declined,
    Ending,
    Late,
    Withheld,
)
from fulmarrudder.call.endpoint_stats import SlotState
from fulmarrudder.call.message import Ran, RefusalReason

# Upper bound of all attempts, including those that nodes refused before a
# target received the request.
MAX_ATTEMPTS = 5
# Attempts at which a node may refuse a request so that it spills over to
# another endpoint. After as many refusals, only endpoints that reported a free
# slot are tried.
MAX_SPILL_ATTEMPTS = 2
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_LIMIT = 20.0
RETRIABLE_STATUSES = frozenset({502, 503, 504})


class RetryDecision(enum.Enum):
    """Step that follows an attempt.

    `WAIT` goes on with the attempts in progress, and keeps the answer of the
    one that has ended, if there is one. `RESEND` sends the call to the same node again, over a new connection.
    """

    DELIVER = "deliver"
    WAIT = "wait"
    RETRY = "retry"
    RESEND = "resend"
    REFUSE = "refuse"


REPEATING_DECISIONS = frozenset({RetryDecision.RETRY, RetryDecision.RESEND})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryContext:
    """State of a call after an attempt.

    Attributes:
        repeatable: Whether the request may safely be sent again, because it
            is idempotent or its key is claimed before it runs.
        replayable: Whether every byte of the body received is still buffered.
        attempts: Attempts made so far.
        may_run_beside: Whether it may be sent beside the attempts in progress.
        in_progress: Attempts in progress that have been sent.
        target_attempts: Attempts that may have reached a target, those in
            progress included.
        max_target_attempts: Upper bound of `target_attempts`.
    """

    repeatable: bool
    replayable: bool
    attempts: int
    may_run_beside: bool = False
    in_progress: int = 0
    target_attempts: int = 0
    max_target_attempts: int = 3


class RetryBudget:
    """Token bucket that bounds retries to a fraction of requests.

    Attributes:
        tokens: Retries that may be made now.
        ratio: Tokens that one request adds.
        limit: Most tokens that the bucket holds.
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
        """Adds the tokens of one request."""
        self.tokens = min(self.limit, self.tokens + self.ratio)

    @property
    def has_token(self) -> bool:
        """Whether a retry may be made now."""
        return self.tokens >= 1.0

    def refund(self) -> None:
        """Returns the token of a retry that reached no target."""
        self.tokens = min(self.limit, self.tokens + 1.0)

    def withdraw(self) -> bool:
        """Removes one token, and returns whether there was one."""
        if not self.has_token:
            return False
        self.tokens -= 1.0
        return True


class RetryBudgets:
    """Retry budgets of one node, by service.

    Attributes:
        by_service: The budgets of the services that were asked for so far.
        ratio: Tokens that one request adds.
        limit: Most tokens that a budget holds.
    """

    __slots__ = ("by_service", "limit", "ratio")

    def __init__(self):
        self.by_service: dict[str, RetryBudget] = {}
        self.ratio = RETRY_BUDGET_RATIO
        self.limit = RETRY_BUDGET_LIMIT

    def of(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = RetryBudget(ratio=self.ratio, limit=self.limit)
            self.by_service[service] = budget
        return budget

    def resize(self, *, ratio: float, limit: float) -> None:
        """Sets this node's part of the retry budget of all nodes.

        Args:
            ratio: Tokens that one request adds.
            limit: Most tokens that the budget of a service holds.
        """
        self.ratio, self.limit = ratio, limit
        for budget in self.by_service.values():
            budget.ratio, budget.limit = ratio, limit
            budget.tokens = min(budget.tokens, limit)


def may_accept(
    slot_state: SlotState, capacity_refusals: int, *, tells_work: bool = False
) -> bool:
    """Returns whether an endpoint is likely enough to accept a request.

    Each refused attempt costs processor time on two nodes while capacity is
    short.

    Args:
        slot_state: State of the endpoint's slots, by its last load report.
        capacity_refusals: Nodes that have refused the request for lack of
            capacity.
        tells_work: Whether the endpoint tells how long a request waits there,
            so that it is known to be full when it is.
    """
    if not capacity_refusals:
        return True
    if capacity_refusals < MAX_SPILL_ATTEMPTS + tells_work:
        return slot_state is not SlotState.FULL
    return slot_state is SlotState.FREE


def allows_attempt(attempt: RetryContext) -> bool:
    """Returns whether the limits of a call allow one more attempt.

    Args:
        attempt: State of the call.
    """
    return attempt.attempts < MAX_ATTEMPTS and allows_sending(attempt)


def allows_sending(attempt: RetryContext, *, is_resent: bool = False) -> bool:
    """Returns whether an attempt that was started may be sent now.

    Args:
        attempt: State of the call.
        is_resent: Whether the attempt goes to a target that was tried before.
    """
    if not attempt.replayable:
        return False
    if attempt.in_progress and not attempt.may_run_beside:
        return False
    return is_resent or attempt.target_attempts < attempt.max_target_attempts


def allows_resend(attempt: RetryContext) -> bool:
    """Returns whether the limits of a call allow another attempt at its target.

    Args:
        attempt: State of the call.
    """
    return (
        attempt.replayable
        and attempt.attempts < MAX_ATTEMPTS
        and not attempt.in_progress
    )


@singledispatch
def decide_retry(ending: Ending, attempt: RetryContext) -> RetryDecision:
    """Decides the step that follows an attempt.

    Args:
        ending: How the attempt ended.
        attempt: State of the call.
    """
    raise TypeError(f"not an ending: {type(ending).__name__}")


@decide_retry.register
def _(ending: Answered, attempt: RetryContext) -> RetryDecision:
    retriable = ending.status in RETRIABLE_STATUSES and attempt.repeatable
    is_failure = ending.status >= FIRST_FAILURE_STATUS
    fallback = RetryDecision.DELIVER
    if is_failure and attempt.in_progress:
        fallback = RetryDecision.WAIT
    return _retry_or(fallback, retriable, attempt)


@decide_retry.register
def _(ending: Declined, attempt: RetryContext) -> RetryDecision:
    refusal = ending.refusal
    is_final = refusal.reason in NON_RETRIABLE_REASONS
    retriable = refusal.ran is Ran.NO and not is_final
    if refusal.run_ended:
        # Once only: it may be the request that makes targets crash.
        retriable |= attempt.repeatable and attempt.target_attempts <= 1
    return _retry_or(RetryDecision.REFUSE, retriable, attempt)


@decide_retry.register
def _(ending: Broken, attempt: RetryContext) -> RetryDecision:
    fallback = RetryDecision.REFUSE
    if ending.stale and attempt.repeatable and allows_resend(attempt):
        fallback = RetryDecision.RESEND
    return _retry_or(fallback, attempt.repeatable, attempt)


@decide_retry.register
def _(ending: Late, attempt: RetryContext) -> RetryDecision:
    return RetryDecision.REFUSE


@decide_retry.register
def _(ending: Withheld, attempt: RetryContext) -> RetryDecision:
    return RetryDecision.WAIT if attempt.in_progress else RetryDecision.REFUSE


NON_RETRIABLE_REASONS = frozenset(
    {
        RefusalReason.MALFORMED,
        RefusalReason.POISON,
        RefusalReason.DEADLINE,
        RefusalReason.KEY_REUSED,
        RefusalReason.CLAIMS_UNAVAILABLE,
        RefusalReason.NOT_A_PEER,
    }
)


def _retry_or(
    fallback: RetryDecision, retriable: bool, attempt: RetryContext
) -> RetryDecision:
    if retriable and allows_attempt(attempt):
        return RetryDecision.RETRY
    return fallback
