"""State of one service's stream of claims."""

import collections
import dataclasses
from functools import singledispatch

from fulmarrudder.log import Envelope
from fulmarrudder.model import ClaimKey, ReleaseKey, SettleKey


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyEntry:
    """State of a claimed key.

    Attributes:
        claim_id: Id of the claim that holds the key.
        fingerprint: Digest of the request that claimed it.
        offset: Offset of the claim.
        settled: The stored answer, or None before there is one.
    """

    claim_id: str
    fingerprint: str
    offset: int
    settled: SettleKey | None = None


class ClaimIndex:
    """Claimed keys of one service; the first claim in the log holds a key.

    Attributes:
        next_offset: Offset of the next record to apply.
        entries: State by key.
        released: Ids of released claims, the latest `RELEASED_LIMIT` of them.
        claim_offsets: Pairs of offset and key of the claims, oldest first.
    """

    def __init__(self):
        self.next_offset = 0
        self.entries: dict[str, KeyEntry] = {}
        self.released: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.claim_offsets: collections.deque = collections.deque()

    def apply(self, offset: int, envelope: Envelope | None) -> None:
        """Applies one record.

        Args:
            offset: The record's offset.
            envelope: The record, or None when it could not be decoded.
        """
        self.next_offset = offset + 1
        if envelope is not None:
            _apply(envelope.body, self, offset, envelope.id)

    def expire(self, first: int) -> None:
        """Drops claims whose records the log no longer retains.

        Args:
            first: Offset of the oldest retained record.
        """
        while self.claim_offsets and self.claim_offsets[0][0] < first:
            offset, key = self.claim_offsets.popleft()
            entry = self.entries.get(key)
            if entry is not None and entry.offset == offset:
                del self.entries[key]
        self.next_offset = max(self.next_offset, first)

    def add_claim(self, key: str, claim: str, fingerprint: str, offset: int):
        """Adds a claim unless the key is claimed or the claim was released."""
        if key in self.entries or claim in self.released:
            return
        self.entries[key] = KeyEntry(
            claim_id=claim, fingerprint=fingerprint, offset=offset
        )
        self.claim_offsets.append((offset, key))

    def settle(self, body: SettleKey) -> None:
        """Stores the answer of the claim that holds the key."""
        entry = self.entries.get(body.key)
        if entry is not None and entry.claim_id == body.claim:
            entry.settled = body

    def release(self, body: ReleaseKey) -> None:
        """Releases a key; a late duplicate of its claim has no effect."""
        self.released[body.claim] = None
        if len(self.released) > RELEASED_LIMIT:
            self.released.popitem(last=False)
        entry = self.entries.get(body.key)
        if entry is None or entry.claim_id != body.claim:
            return
        if entry.settled is None:
            del self.entries[body.key]


RELEASED_LIMIT = 4096


@singledispatch
def _apply(body, index: ClaimIndex, offset: int, record_id: str) -> None:
    """Ignores records that do not concern keys."""


@_apply.register
def _(body: ClaimKey, index: ClaimIndex, offset: int, record_id: str) -> None:
    index.add_claim(body.key, record_id, body.fingerprint, offset)


@_apply.register
def _(body: SettleKey, index: ClaimIndex, offset: int, record_id: str) -> None:
    index.settle(body)


@_apply.register
def _(body: ReleaseKey, index: ClaimIndex, offset: int, record_id: str) -> None:
    index.release(body)
