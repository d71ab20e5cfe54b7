"""Counts of requests by workspace, as nodes tell them to each other."""

import hashlib
from collections.abc import Iterable, Iterator, Mapping

WORKSPACE_ID_BYTES = 4

# Requests admitted and refused, by workspace id.
Counts = Mapping[int, tuple[int, int]]


def workspace_id(name: str) -> int:
    """Returns the number by which links name a workspace."""
    digest = hashlib.blake2b(name.encode(), digest_size=WORKSPACE_ID_BYTES)
    return int.from_bytes(digest.digest())


def flat_counts(counts: Counts) -> tuple[int, ...]:
    """Returns counts as a flat sequence of id, admitted and refused."""
    flat = []
    for workspace, (admitted, refused) in counts.items():
        flat += (workspace, admitted, refused)
    return tuple(flat)


def counts_of(flat: tuple[int, ...]) -> Iterator[tuple[int, int, int]]:
    """Returns id, admitted and refused of each workspace of a flat sequence."""
    fields = iter(flat)
    return zip(fields, fields, fields, strict=False)


def add_counts(total: dict[int, tuple[int, int]], flat: Iterable[int]) -> None:
    """Adds counts to a sum."""
    for workspace, admitted, refused in counts_of(flat):
        before = total.get(workspace, (0, 0))
        total[workspace] = (before[0] + admitted, before[1] + refused)
