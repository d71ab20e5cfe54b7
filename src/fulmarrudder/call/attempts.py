"""Attempts of one call, of which several can be in progress at once."""

import dataclasses
from collections.abc import Callable, Coroutine

from twisted.internet.defer import Deferred, DeferredQueue, ensureDeferred
from twisted.python.failure import Failure

from fulmarrudder.call.answer import Answer
from fulmarrudder.call.ending import Broken, Ending
from fulmarrudder.call.exchange import Exchange
from fulmarrudder.call.plan import Call
from fulmarrudder.call.retry import RetryContext
from fulmarrudder.model import Presence


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Result of an attempt.

    Attributes:
        ending: How it ended.
        answer: The answer, or None.
        exchange: The exchange that still receives the answer's body, or None.
    """

    ending: Ending
    answer: Answer | None = None
    exchange: Exchange | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """Basis on which an endpoint was chosen.

    Attributes:
        basis: Why it was chosen; see `LoadBalancer.basis`.
        reported_at: Clock seconds of its last load report then; 0 if none.
        chosen_at: Clock seconds.
    """

    basis: str
    reported_at: float
    chosen_at: float


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One attempt of a call.

    Attributes:
        presence: Endpoint that the call is sent to.
        number: Number of the attempt within the call, from 1.
        choice: Basis on which the endpoint was chosen.
        is_resent: Whether the node was tried before, so that the call is sent
            over a new connection.
        sent: Whether its request may have been sent.
        is_paid: Whether it has cost a retry token.
        stalled: Whether its connection does not open, or its node has sent no
            load report for too long or was declared lost.
        outrun: Whether it was cancelled because another attempt was answered.
        result: How it ended, or None before that.
        task: Deferred of the coroutine that runs it, or None before the start.
    """

    presence: Presence
    number: int
    choice: Choice
    is_resent: bool = False
    sent: bool = False
    is_paid: bool = False
    stalled: bool = False
    outrun: bool = False
    result: AttemptResult | None = None
    task: Deferred | None = None


class RunningAttempts:
    """The attempts of a call that are in progress.

    Attributes:
        running: Attempts without a result.
        ended: Queue of the attempts that have ended.
        kept_answer: Answer of a target that is delivered if no later attempt
            is answered, or None.
    """

    __slots__ = ("ended", "kept_answer", "running")

    def __init__(self):
        self.running: list[Attempt] = []
        self.ended = DeferredQueue()
        self.kept_answer: Answer | None = None

    def start(
        self,
        attempt: Attempt,
        run: Callable[[Attempt], Coroutine[Deferred, object, AttemptResult]],
    ) -> None:
        """Starts an attempt.

        Args:
            attempt: The attempt.
            run: Runs it and returns its result.
        """
        self.running.append(attempt)
        attempt.task = ensureDeferred(run(attempt))
        attempt.task.addBoth(self._end, attempt)

    def next_ended(self) -> Deferred:
        """Returns a Deferred of the next attempt that ends."""
        return self.ended.get()

    def sent(self) -> list[Attempt]:
        """Returns the attempts in progress that may have been sent."""
        return [attempt for attempt in self.running if attempt.sent]

    def all_stalled(self) -> bool:
        """Returns whether no attempt is expected to be answered soon."""
        return all(attempt.stalled for attempt in self.running)

    @property
    def has_kept_answer(self) -> bool:
        """Whether an answer is delivered if no later attempt is answered."""
        return self.kept_answer is not None

    def keep(self, answer: Answer) -> None:
        """Keeps an answer in place of the one kept so far."""
        self._cancel_kept()
        self.kept_answer = answer

    def take_kept(self) -> Answer | None:
        """Returns the kept answer, or None."""
        answer, self.kept_answer = self.kept_answer, None
        return answer

    def cancel(self, *, outrun: bool = False) -> None:
        """Cancels the attempts in progress and the kept answer.

        Args:
            outrun: Whether the call has been answered by another attempt.
        """
        self._cancel_kept()
        running, self.running = self.running, []
        for attempt in running:
            attempt.outrun = outrun
            attempt.task.cancel()

    def _cancel_kept(self) -> None:
        answer = self.take_kept()
        if answer is not None:
            answer.cancel()

    def _end(self, result: AttemptResult | Failure, attempt: Attempt) -> None:
        if attempt not in self.running:
            return
        self.running.remove(attempt)
        if isinstance(result, Failure):
            self.ended.put(result)
            return
        attempt.result = result
        self.ended.put(attempt)


def retry_context(
    call: Call, attempts: RunningAttempts, ending: Ending | None = None
) -> RetryContext:
    """Returns the state of a call by which the next attempt is decided.

    Args:
        call: The call.
        attempts: Its attempts.
        ending: How an attempt has just ended, or None if none has.
    """
    is_broken = isinstance(ending, Broken)
    sent = attempts.sent()
    return RetryContext(
        repeatable=call.idempotent or (is_broken and bool(call.key)),
        replayable=call.body.replayable,
        attempts=call.attempts,
        may_run_beside=(
            call.idempotent
            and call.body.shareable
            and all(attempt.stalled for attempt in sent)
        ),
        in_progress=len(sent),
        target_attempts=call.target_attempts + len(sent),
        max_target_attempts=call.route.attempts,
    )
