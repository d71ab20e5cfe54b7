"""Refusals that several filters of the call path share."""

from fulmarrudder.call.message import Ran, Refusal, RefusalReason

UNKNOWN_KEY = Refusal(
    status=401,
    reason=RefusalReason.UNKNOWN_KEY,
    ran=Ran.NO,
    detail="the request has no key that is known here",
)


EVACUATED = Refusal(
    status=503,
    reason=RefusalReason.EVACUATED,
    ran=Ran.NO,
    detail="the data centre of the target is evacuated",
)


def malformed(detail: str, status: int = 400) -> Refusal:
    """Returns the refusal of a malformed request."""
    return Refusal(
        status=status,
        reason=RefusalReason.MALFORMED,
        ran=Ran.NO,
        detail=detail,
    )


def not_run(
    reason: RefusalReason,
    detail: str,
    status: int = 503,
    *,
    retry_after_s: float | None = None,
    reached_target: bool = False,
) -> Refusal:
    """Returns the refusal of a request that did not run.

    Args:
        reason: Why it is refused.
        detail: Text for the caller.
        status: HTTP status.
        retry_after_s: Seconds after which the caller should retry, or None.
        reached_target: Whether a target received the request.
    """
    return Refusal(
        status=status,
        reason=reason,
        ran=Ran.NO,
        detail=detail,
        retry_after_s=retry_after_s,
        reached_target=reached_target,
    )


UNCONFIRMED_KEYS = not_run(
    RefusalReason.UNCONFIRMED,
    "keys may have changed: the configuration is not confirmed",
)


def broken(detail: str) -> Refusal:
    """Returns the refusal of a request that may have run."""
    return Refusal(
        status=502,
        reason=RefusalReason.CONNECTION_BROKEN,
        ran=Ran.UNKNOWN,
        detail=detail,
    )


def late(detail: str) -> Refusal:
    """Returns the refusal of a request that was not answered in time."""
    return Refusal(
        status=504,
        reason=RefusalReason.DEADLINE,
        ran=Ran.UNKNOWN,
        detail=detail,
    )
