"""Filter: runs a request that claims its idempotency key, to its end.

Once it may run, neither a lost caller nor a lost entry node cancels it before
its answer is stored.
"""

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred, TimeoutError, ensureDeferred
from twisted.python.failure import Failure

from fulmarrudder.call.answer import Answer, BufferedAnswer, refusal_answer
from fulmarrudder.call.buffering import body_of, buffer_answer
from fulmarrudder.call.claims import Acquired, Claims
from fulmarrudder.call.errors import CallError
from fulmarrudder.call.holding import SlotUse
from fulmarrudder.call.message import Ran, Refusal
from fulmarrudder.call.refusals import broken, late
from fulmarrudder.call.settle import answer_for_claim, settlement
from fulmarrudder.clock import Clock
from fulmarrudder.observe import logs


class ClaimedRuns:
    """Runs requests whose keys are claimed.

    Attributes:
        claims_for: Returns the claims of a service.
    """

    __slots__ = ("clock", "claims_for")

    def __init__(self, clock: Clock, claims_for: Callable[[str], Claims]):
        self.clock = clock
        self.claims_for = claims_for

    async def run(
        self,
        request,
        slot_use: SlotUse,
        *,
        check: Callable[..., Refusal | None],
        send: Callable[[], Awaitable[Answer]],
    ) -> Answer:
        """Claims the key of a request, and runs it if nobody else has.

        Args:
            request: The `HostRequest`.
            slot_use: Its slot, which is kept until its answer is stored.
            check: Returns the refusal of a request that may not run now.
            send: Sends the request to the target.

        Returns:
            The target's answer, the one that is stored, or a refusal.
        """
        claims = self.claims_for(request.service)
        claim = await claims.claim(
            request.key, request.fingerprint, request.deadline
        )
        if not isinstance(claim, Acquired):
            return answer_for_claim(claim)
        # The target or this node may have changed state meanwhile.
        refusal = check(request)
        if refusal is not None:
            claims.release(request.key, claim.claim_id)
            return refusal_answer(refusal, to_node=True)
        slot_use.detached = True
        running = ensureDeferred(
            self._run_to_end(request, slot_use, claims, claim, send)
        )
        waiting: Deferred = Deferred()
        running.addBoth(_forward_result, waiting)
        return await waiting

    async def _run_to_end(
        self,
        request,
        slot_use: SlotUse,
        claims: Claims,
        claim: Acquired,
        send: Callable[[], Awaitable[Answer]],
    ) -> Answer:
        try:
            answer = await send()
            if isinstance(answer, BufferedAnswer):
                if answer.refusal and answer.refusal.ran is Ran.NO:
                    claims.release(request.key, claim.claim_id)
                return answer
            answer = await buffer_answer(answer, self.clock, request.deadline)
        except TimeoutError:
            refusal = late("target's answer is not complete")
            return refusal_answer(refusal, to_node=True)
        except CallError as error:
            return refusal_answer(broken(str(error)), to_node=True)
        finally:
            slot_use.detached = False
            slot_use.release_if_unused()
        # A large answer is not stored, so its body need not be awaited.
        claims.settle(
            settlement(request.key, claim, answer.head, body_of(answer))
        )
        return answer


def _forward_result(result, waiting: Deferred) -> None:
    if not waiting.called:
        waiting.callback(result)
        return
    # The caller has left, and the outcome is stored.
    if not isinstance(result, Failure):
        result.cancel()
        return
    logs.error(
        "claimed-request-failed",
        error=result.type.__name__,
        detail=result.getErrorMessage(),
        trace=result.getBriefTraceback(),
    )
