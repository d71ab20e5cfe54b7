"""Records that others write again after the store has come from an older copy.

The copy may lack what was written last, or hold what that replaced. Until the
writers had time to write it again, neither counts.
"""

import enum
import hashlib
from collections.abc import Iterable

from fulmarrudder.clock import Clock
from fulmarrudder.model.position import era_of
from fulmarrudder.observe import logs
from fulmarrudder.platform.store import KeyedRecord

# Time in which what the copy lacks is written again.
AWAIT_S = 10.0
# Values of a key that are known again.
MAX_VALUES = 8
DIGEST_BYTES = 8


class Standing(enum.Enum):
    """What a record means after what is known of its key.

    Attributes:
        NEW: It tells something new.
        KNOWN: It is the latest record, written again.
        AWAITED: It is older than the latest one, which is awaited.
    """

    NEW = "new"
    KNOWN = "known"
    AWAITED = "awaited"


class Rewrites:
    """Tells records that were written again, or were replaced, from new ones.

    Attributes:
        versioned_keys: Keys whose values tell themselves which is later; they
            are always new.
        awaits_until: Clock seconds until which records are awaited.
        awaited: Keys whose latest record is awaited.
        values: Digests of the latest values of each key, in order; None stands
            for a deletion.
        eras: Era of the latest record of each key.
    """

    def __init__(self, clock: Clock, versioned_keys: frozenset[str]):
        self.clock = clock
        self.versioned_keys = versioned_keys
        self.awaits_until = 0.0
        self.awaited: set[str] = set()
        self.values: dict[str, tuple[bytes | None, ...]] = {}
        self.eras: dict[str, int] = {}

    def enter_era(self) -> None:
        """Handles that the store has come back from an older copy."""
        self.awaits_until = self.clock.seconds() + AWAIT_S
        self.awaited.clear()

    def stop_awaiting(self) -> None:
        """Handles that what was not written again by now counts as it is."""
        self.awaits_until = 0.0

    def is_awaiting(self) -> bool:
        """Returns whether records may still be written again."""
        # The earlier time, should the clock run back.
        self.awaits_until = min(
            self.awaits_until, self.clock.seconds() + AWAIT_S
        )
        return self.clock.seconds() < self.awaits_until

    def wait_for(self, keys: Iterable[str]) -> None:
        """Handles that the copy lacks keys."""
        for key in keys:
            if self.values.get(key, (None,))[-1] is not None:
                self._wait_for(key, "absent")

    def is_only_told(self, key: str, offset: int, end: int) -> bool:
        """Returns whether only others know a record, from an earlier era.

        Args:
            key: Key of the record.
            offset: Position of the record.
            end: Position at which the topic ends.
        """
        if key in self.values or key in self.versioned_keys:
            return False
        return era_of(max(0, offset)) < era_of(end)

    def standing_of(self, record: KeyedRecord) -> Standing:
        """Returns the standing of a record that is later by its position."""
        values = self.values.get(record.key)
        if values is None:
            return Standing.NEW
        digest = _digest_of(record.value)
        awaiting = self.is_awaiting()
        if digest == values[-1]:
            if awaiting or era_of(record.offset) > self.eras[record.key]:
                self.eras[record.key] = era_of(record.offset)
                self.awaited.discard(record.key)
                return Standing.KNOWN
        elif awaiting and digest in values:
            self._wait_for(record.key, "older")
            return Standing.AWAITED
        return Standing.NEW

    def passed(self, record: KeyedRecord) -> None:
        """Handles that a record counts as the latest one of its key."""
        if record.key in self.versioned_keys:
            return
        self.awaited.discard(record.key)
        values = (*self.values.get(record.key, ()), _digest_of(record.value))
        self.values[record.key] = values[-MAX_VALUES:]
        self.eras[record.key] = era_of(max(0, record.offset))

    def _wait_for(self, key: str, found: str) -> None:
        if key not in self.awaited:
            logs.info("store-record-awaited", key=key, found=found)
        self.awaited.add(key)


def _digest_of(value: bytes | None) -> bytes | None:
    if value is None:
        return None
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).digest()
