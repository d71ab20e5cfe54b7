"""Digest of the facts that all nodes of a fleet hold. Pure.

Facts fall into a fixed number of buckets by key. Two nodes whose digests have
the same value for a bucket hold the same facts of that bucket, so that neither
needs to send them. The size of a digest does not grow with the fleet.
"""

import dataclasses
import hashlib
from functools import singledispatch

from expression import Error, Ok, Result

from fulmarrudder.membership.errors import DigestError
from fulmarrudder.model import (
    ConfigStatus,
    ConfigSummary,
    Evidence,
    Fact,
    FactKey,
    key_of,
    precedence_of,
)

BUCKETS = 32
BUCKET_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """Digest of a set of facts.

    Attributes:
        buckets: Exclusive or of the fingerprints of the facts of each bucket.
    """

    buckets: tuple[int, ...] = (0,) * BUCKETS


def toggle(digest: Digest, fact: Fact) -> Digest:
    """Returns a digest with a fact added, or removed if it was in it."""
    if not is_held_by_all(fact):
        return digest
    key = key_of(fact)
    buckets = list(digest.buckets)
    buckets[_bucket_of(key)] ^= _fingerprint_of(key, fact)
    return Digest(buckets=tuple(buckets))


def is_covered(fact: Fact, own: Digest, other: Digest) -> bool:
    """Returns whether a fact of one node is known to be held by another.

    Args:
        fact: A fact of the first node.
        own: Digest of the first node.
        other: Digest of the other node.
    """
    if not is_held_by_all(fact):
        return False
    bucket = _bucket_of(key_of(fact))
    return own.buckets[bucket] == other.buckets[bucket]


@singledispatch
def is_held_by_all(fact: Fact) -> bool:
    """Returns whether a fact is sent to all nodes, and so is in digests."""
    return True


@is_held_by_all.register
def _(fact: Evidence | ConfigStatus | ConfigSummary) -> bool:
    return False


def format_digest(digest: Digest) -> str:
    """Returns a digest in hexadecimal."""
    return b"".join(
        bucket.to_bytes(BUCKET_BYTES, "big") for bucket in digest.buckets
    ).hex()


def parse_digest(text: str) -> Result[Digest, DigestError]:
    """Parses a digest.

    Args:
        text: Hexadecimal, as `format_digest` returns it.

    Returns:
        The digest, or the error that makes the text no digest.
    """
    try:
        data = bytes.fromhex(text)
    except ValueError as error:
        return Error(DigestError(str(error)))
    if len(data) != BUCKETS * BUCKET_BYTES:
        return Error(DigestError(f"digest has {len(data)} bytes"))
    return Ok(
        Digest(
            buckets=tuple(
                int.from_bytes(data[start : start + BUCKET_BYTES], "big")
                for start in range(0, len(data), BUCKET_BYTES)
            )
        )
    )


def _bucket_of(key: FactKey) -> int:
    name = f"{key.kind}/{key.name}".encode()
    return hashlib.blake2b(name, digest_size=1).digest()[0] % BUCKETS


def _fingerprint_of(key: FactKey, fact: Fact) -> int:
    text = f"{key.kind}/{key.name}/{precedence_of(fact)}".encode()
    digest = hashlib.blake2b(text, digest_size=BUCKET_BYTES).digest()
    return int.from_bytes(digest, "big")
