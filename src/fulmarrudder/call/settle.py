"""Stored answers of idempotency keys, and refusals of repeated requests."""

from fulmarrudder.call.answer import BufferedAnswer, refusal_answer
from fulmarrudder.call.claims import (
    Acquired,
    ClaimResult,
    Pending,
    Reused,
    Settled,
    Unavailable,
)
from fulmarrudder.call.message import (
    Framing,
    Headers,
    Ran,
    Refusal,
    RefusalReason,
    ResponseHead,
)
from fulmarrudder.call.refusals import not_run
from fulmarrudder.model import SettleKey

MAX_STORED_ANSWER_BYTES = 4_096


def answer_for_claim(claim: ClaimResult) -> BufferedAnswer:
    """Returns the answer to a request whose claim was not acquired."""
    if isinstance(claim, Settled):
        return _settled_answer(claim.answer)
    if isinstance(claim, Unavailable):
        return refusal_answer(
            not_run(
                RefusalReason.CLAIMS_UNAVAILABLE, "key could not be claimed"
            )
        )
    if isinstance(claim, Reused):
        return refusal_answer(
            not_run(
                RefusalReason.KEY_REUSED, "key belongs to another request", 422
            )
        )
    assert isinstance(claim, Pending)
    return refusal_answer(
        Refusal(
            status=409,
            reason=RefusalReason.KEY_PENDING,
            ran=Ran.UNKNOWN,
            detail="key is claimed and its outcome is not known",
        )
    )


def _settled_answer(settled: SettleKey) -> BufferedAnswer:
    if settled.body is None:
        return refusal_answer(
            Refusal(
                status=409,
                reason=RefusalReason.ALREADY_RAN,
                ran=Ran.YES,
                detail=f"ran with status {settled.status}; answer not kept",
            )
        )
    data = settled.body.encode("latin-1")
    headers = Headers(
        (
            (b"content-type", settled.content_type.encode("latin-1")),
            (b"idempotent-replayed", b"true"),
        )
    )
    head = ResponseHead(
        status=settled.status,
        reason=b"",
        headers=headers,
        framing=Framing.LENGTH,
        length=len(data),
    )
    return BufferedAnswer(head, data)


def settlement(
    key: str, claim: Acquired, head: ResponseHead, data: bytes | None
) -> SettleKey:
    """Returns the record that stores the answer of a request that ran.

    Args:
        key: The caller's key.
        claim: The claim under which it ran.
        head: Head of the answer.
        data: Body of the answer, or None if it is streamed; not stored above
            `MAX_STORED_ANSWER_BYTES`.
    """
    is_stored = data is not None and len(data) <= MAX_STORED_ANSWER_BYTES
    media_type = (
        head.headers.get(b"content-type") or b"application/octet-stream"
    )
    return SettleKey(
        key=key,
        claim=claim.claim_id,
        status=head.status,
        content_type=media_type.decode("latin-1"),
        body=data.decode("latin-1") if is_stored else None,
    )
