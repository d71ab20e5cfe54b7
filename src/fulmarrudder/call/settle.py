"""Answers kept for idempotency keys, and answers told in their place."""

from fulmarrudder.call.answer import BufferedAnswer, refusal_answer
from fulmarrudder.call.claims import (
    Away,
    Claimed,
    Mine,
    Pending,
    Reused,
    Settled,
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

KEPT_ANSWER_BYTES = 4_096


def claim_answer(claimed: Claimed) -> BufferedAnswer:
    """Returns the answer to a request whose key is not ours to run."""
    if isinstance(claimed, Settled):
        return _settled_answer(claimed.answer)
    if isinstance(claimed, Away):
        return refusal_answer(
            not_run(RefusalReason.CLAIMS_AWAY, "key could not be claimed")
        )
    if isinstance(claimed, Reused):
        return refusal_answer(
            not_run(
                RefusalReason.KEY_REUSED, "key belongs to another request", 422
            )
        )
    assert isinstance(claimed, Pending)
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
                reason=RefusalReason.KEY_SETTLED,
                ran=Ran.YES,
                detail=f"ran with status {settled.status}; answer not kept",
            )
        )
    data = settled.body.encode("latin-1")
    fields = Headers(
        (
            (b"content-type", settled.content_type.encode("latin-1")),
            (b"idempotent-replayed", b"true"),
        )
    )
    head = ResponseHead(
        status=settled.status,
        reason=b"",
        headers=fields,
        framing=Framing.LENGTH,
        length=len(data),
    )
    return BufferedAnswer(head, data)


def settlement(
    key: str, claimed: Mine, head: ResponseHead, data: bytes
) -> SettleKey:
    """Returns the record that keeps the answer of a request that ran.

    Args:
        key: The caller's key.
        claimed: The claim that it ran under.
        head: Head of the answer.
        data: Body of the answer; not kept when it is large.
    """
    kept = len(data) <= KEPT_ANSWER_BYTES
    media_type = (
        head.headers.get(b"content-type") or b"application/octet-stream"
    )
    return SettleKey(
        key=key,
        claim=claimed.claim,
        status=head.status,
        content_type=media_type.decode("latin-1"),
        body=data.decode("latin-1") if kept else None,
    )
