"""Filter: refuses poison requests, which have crashed targets before."""

import hashlib

from fulmarrudder.call.header_names import (
    DEFAULT_HEADER_NAMES,
    HeaderNames,
    key_of,
)
from fulmarrudder.call.message import Ran, Refusal, RefusalReason, RequestHead
from fulmarrudder.membership import FactStore

FINGERPRINT_BODY_BYTES = 1_024
DIGEST_BYTES = 12
MAX_CRASHES = 1
STRIKE_TTL_S = 600.0


def fingerprint_of(
    head: RequestHead,
    prefix: bytes,
    header_names: HeaderNames = DEFAULT_HEADER_NAMES,
) -> str:
    """Returns a digest that is the same when a request is sent again.

    Args:
        head: Its head.
        prefix: The first `FINGERPRINT_BODY_BYTES` of its body.
        header_names: Field names.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    key = key_of(head, header_names)
    for part in (head.method, head.target, key, prefix):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()


def refuse_poison_request(
    facts: FactStore, fingerprint: str, wall: float
) -> Refusal | None:
    """Refuses a request that has crashed more than `MAX_CRASHES` targets.

    Args:
        facts: Facts that this node has received.
        fingerprint: Digest of the request.
        wall: Wall-clock seconds.
    """
    if not facts.strikes:
        return None
    if facts.strikes_against(fingerprint, wall) <= MAX_CRASHES:
        return None
    return Refusal(
        status=503,
        reason=RefusalReason.POISON,
        ran=Ran.NO,
        detail="targets died while they ran this request",
    )
