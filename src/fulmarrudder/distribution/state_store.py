"""Pipeline that puts the log's records in force on this node.

Left to right: raw record, typed record, fold, state in force. A state is
swapped whole and only for one of a higher offset.
"""

import collections
from collections.abc import Callable, Iterable

from fulmarrudder.distribution.errors import DivergedError
from fulmarrudder.distribution.message import Delta, Snapshot, UpToDate
from fulmarrudder.fold import EMPTY, Folded, GapError, Outcome, State, apply
from fulmarrudder.log import RawRecord, record_from
from fulmarrudder.model import Record
from fulmarrudder.pipe import Pipeline

RECENT_LIMIT = 2_048


class StateStore:
    """Holds the folded state and the records that led to it lately.

    Attributes:
        state: The state after the last record taken.
        synced: Whether the state has ever caught up with its source.
        recent_records: The latest raw records, oldest first.
        on_outcome: Called with the outcome of each record.
        on_advance: Called with the offset before, after one or more records
            or a whole state have been taken.
    """

    def __init__(
        self,
        *,
        on_outcome: Callable[[Outcome], None],
        on_advance: Callable[[int], None],
    ):
        self.state: State = EMPTY
        self.synced = False
        self.recent_records: collections.deque[RawRecord] = collections.deque(
            maxlen=RECENT_LIMIT
        )
        self.on_outcome = on_outcome
        self.on_advance = on_advance
        self.pipeline = Pipeline(
            self._skip_known, self._to_record, self._fold, sink=self._swap
        )

    def apply_records(self, records: Iterable[RawRecord]) -> None:
        """Takes records in order; those already held are skipped.

        Args:
            records: Raw records without gaps among them.

        Raises:
            GapError: They do not follow the state.
        """
        before = self.state.offset
        try:
            for raw in records:
                self.pipeline.put(raw)
        finally:
            if self.state.offset > before:
                self.on_advance(before)

    def apply_delta(self, delta: Delta) -> None:
        """Takes records from another node.

        Args:
            delta: The records.

        Raises:
            GapError: They do not follow the state.
            DivergedError: Their end has another digest here.
        """
        if delta.after > self.state.offset:
            raise GapError(f"delta after {delta.after}")
        self.apply_records(delta.records)
        end = delta.after + len(delta.records)
        if end == self.state.offset and delta.digest != self.state.digest:
            raise DivergedError(f"at offset {end}")

    def apply_snapshot(self, state: State) -> bool:
        """Swaps the state for a newer one.

        Args:
            state: A whole state from the log or another node.

        Returns:
            Whether it was newer.
        """
        if state.offset <= self.state.offset:
            return False
        before = self.state.offset
        self.state = state
        self.recent_records.clear()
        self.on_advance(before)
        return True

    def mark_synced(self) -> None:
        """Notes that the source has nothing newer."""
        if not self.synced:
            self.synced = True
            self.on_advance(self.state.offset)

    def updates_since(self, offset: int) -> Delta | Snapshot | UpToDate:
        """Answers a node that holds an offset, in as few bytes as will do.

        Args:
            offset: Offset that the node holds.
        """
        state = self.state
        if offset >= state.offset:
            return UpToDate(offset=state.offset, digest=state.digest)
        first = (
            self.recent_records[0].offset
            if self.recent_records
            else state.offset + 1
        )
        if offset + 1 < first:
            return Snapshot(state=state)
        records = tuple(
            raw for raw in self.recent_records if raw.offset > offset
        )
        return Delta(after=offset, digest=state.digest, records=records)

    def _skip_known(self, raw: RawRecord) -> Iterable[RawRecord]:
        if raw.offset > self.state.offset:
            yield raw

    def _to_record(self, raw: RawRecord) -> Iterable[Record]:
        record = record_from(raw)
        if record.offset != self.state.offset + 1:
            raise GapError(f"{record.offset} after {self.state.offset}")
        self.recent_records.append(raw)
        yield record

    def _fold(self, record: Record) -> Iterable[Folded]:
        yield apply(self.state, record)

    def _swap(self, folded: Folded) -> None:
        self.state = folded.state
        self.on_outcome(folded.outcome)
