"""Keeps the tail of a node in step with what other nodes have read."""

from collections.abc import Callable

from fulmarrudder.distribution.message import SourceRecord, SourceUpdate
from fulmarrudder.distribution.readers import ReaderDuty
from fulmarrudder.model.position import era_of
from fulmarrudder.platform.era import EraTracker
from fulmarrudder.platform.refresher import Refresher
from fulmarrudder.platform.store import KeyedRecord, RecordBatch
from fulmarrudder.platform.tail import Tail


class Follower:
    """Takes over what readers of the operator's topic tell, and tells others.

    A node that is told of everything need not read. The records of versions
    are not told: a version counts as read once it is active.

    Attributes:
        tail: This node's tail of the topic.
        duty: Decides whether this node reads itself.
        refresher: Reads what did not arrive.
        active_version: Returns the active version.
        read_version: Returns the latest version that was read, also if it was
            refused.
        tell: Tells the other nodes of the data centre.
        on_confirmed: Called when it is known that there is no later version.
        version_key: Key of the records of versions.
        era: The highest era of the store that was seen.
        end: Offset before which all records are known, except versions.
        told_version: Latest version before that offset.
    """

    def __init__(
        self,
        *,
        tail: Tail,
        duty: ReaderDuty,
        refresher: Refresher,
        active_version: Callable[[], int],
        read_version: Callable[[], int],
        tell: Callable[[SourceUpdate], None],
        on_confirmed: Callable[[], None],
        version_key: str,
        era: EraTracker,
    ):
        self.tail = tail
        self.duty = duty
        self.refresher = refresher
        self.active_version = active_version
        self.read_version = read_version
        self.tell = tell
        self.on_confirmed = on_confirmed
        self.version_key = version_key
        self.era = era
        self.end = 0
        self.told_version = 0

    def answer_read(self, start: int, batch: RecordBatch) -> None:
        """Handles an answer of the store; tells it if others count on this node.

        Args:
            start: Offset from which was read, or -1 for the latest records.
            batch: The records.
        """
        self.on_confirmed()
        if not self.duty.reads():
            return
        records = tuple(
            SourceRecord(
                key=record.key,
                value=_text_of(record.value),
                offset=record.offset,
            )
            for record in batch.records
            if record.key != self.version_key and 0 <= start <= record.offset
        )
        self.tell(
            SourceUpdate(
                start=start if start >= 0 else batch.next_offset,
                end=batch.next_offset,
                version=self.read_version(),
                records=records,
            )
        )

    def enter_era(self) -> None:
        """Handles that the store has come back from an older copy."""
        self.end = 0

    def receive(self, update: SourceUpdate) -> None:
        """Handles what another node of the data centre has read.

        Its positions tell the era in which it was read.
        """
        era = era_of(max(0, update.end))
        if era:
            self.era.note(era)
        if era < self.era.current:
            return
        self.duty.hear()
        if self.tail.next_offset < 0:
            # The first read of this node brings all of it.
            return
        self.refresher.version_told(update.version)
        known_end = max(self.tail.next_offset, self.end)
        if update.start > known_end:
            self.refresher.end_told(update.end)
            return
        for record in update.records:
            value = None if record.value is None else record.value.encode()
            self.tail.pass_on(
                KeyedRecord(key=record.key, value=value, offset=record.offset)
            )
        self.end = max(known_end, update.end)
        self.told_version = max(self.told_version, update.version)
        self.settle()

    def settle(self) -> None:
        """Counts as read what is known, once its latest version is active."""
        if self.end and self.active_version() >= self.told_version:
            self.tail.follow(self.end)
            self.on_confirmed()


def _text_of(value: bytes | None) -> str | None:
    return None if value is None else value.decode("utf-8", "replace")
