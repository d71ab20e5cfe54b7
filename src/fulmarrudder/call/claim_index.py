"""Fold of one service's stream of claims; pure."""

import collections
import dataclasses
from functools import singledispatch

from fulmarrudder.log import Envelope
from fulmarrudder.model import ClaimKey, ReleaseKey, SettleKey


@dataclasses.dataclass(slots=True, kw_only=True)
class Entry:
    """What is known of a key.

    Attributes:
        claim: Id of the claim that holds the key.
        fingerprint: Digest of the request that claimed it.
        offset: Offset of the claim.
        settled: The answer that was kept, or None while there is none.
    """

    claim: str
    fingerprint: str
    offset: int
    settled: SettleKey | None = None


class ClaimIndex:
    """Keys of one service by the first claim in the log.

    Attributes:
        next_offset: Offset of the next record to fold.
        entries: What is known of each key.
    """

    def __init__(self):
        self.next_offset = 0
        self.entries: dict[str, Entry] = {}
        self.released: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.order: collections.deque = collections.deque()

    def fold(self, offset: int, envelope: Envelope | None) -> None:
        """Folds one record.

        Args:
            offset: Its offset.
            envelope: What it says, or None when it could not be decoded.
        """
        self.next_offset = offset + 1
        if envelope is not None:
            _change(envelope.body, self, offset, envelope.id)

    def expire(self, first: int) -> None:
        """Forgets claims whose records the log no longer keeps.

        Args:
            first: Offset of the oldest record still kept.
        """
        while self.order and self.order[0][0] < first:
            offset, key = self.order.popleft()
            entry = self.entries.get(key)
            if entry is not None and entry.offset == offset:
                del self.entries[key]
        self.next_offset = max(self.next_offset, first)

    def claimed(self, key: str, claim: str, fingerprint: str, offset: int):
        """Notes a claim; the first one holds, a released one never does."""
        if key in self.entries or claim in self.released:
            return
        self.entries[key] = Entry(
            claim=claim, fingerprint=fingerprint, offset=offset
        )
        self.order.append((offset, key))

    def settled(self, body: SettleKey) -> None:
        """Notes the answer of the claim that holds the key."""
        entry = self.entries.get(body.key)
        if entry is not None and entry.claim == body.claim:
            entry.settled = body

    def release(self, body: ReleaseKey) -> None:
        """Frees a key; a late copy of its claim stays void."""
        self.released[body.claim] = None
        if len(self.released) > RELEASED_LIMIT:
            self.released.popitem(last=False)
        entry = self.entries.get(body.key)
        if entry is None or entry.claim != body.claim:
            return
        if entry.settled is None:
            del self.entries[body.key]


RELEASED_LIMIT = 4096


@singledispatch
def _change(body, index: ClaimIndex, offset: int, record_id: str) -> None:
    """Other kinds of record say nothing of keys."""


@_change.register
def _(body: ClaimKey, index: ClaimIndex, offset: int, record_id: str) -> None:
    index.claimed(body.key, record_id, body.fingerprint, offset)


@_change.register
def _(body: SettleKey, index: ClaimIndex, offset: int, record_id: str) -> None:
    index.settled(body)


@_change.register
def _(body: ReleaseKey, index: ClaimIndex, offset: int, record_id: str) -> None:
    index.release(body)
