"""Applies the log's records to the state of this node.

The pipeline parses a raw record, applies it and replaces the state. A state is
immutable, and is only replaced by one with a higher offset.
"""

import collections
from collections.abc import Callable, Iterable

from fulmarrudder.distribution.errors import DivergedError
from fulmarrudder.distribution.message import Delta, Snapshot, UpToDate
from fulmarrudder.log import RawRecord, decode_record
from fulmarrudder.model import Record
from fulmarrudder.pipe import Pipeline
from fulmarrudder.state_machine import (
    EMPTY_STATE,
    ApplyResult,
    OffsetGapError,
    Outcome,
    State,
    apply,
)

RECENT_RECORDS_LIMIT = 2_048


class StateStore:
    """Stores the replicated state and the latest records.

    Attributes:
        state: The state after the last applied record.
        synced: Whether the state has been up to date with its source at least
            once.
        recent_records: The latest raw records, oldest first.
        on_outcome: Called with the outcome of each record.
        on_advance: Called with the previous offset after records or a
            snapshot have been applied, and once when the store first becomes
            synced.
    """

    def __init__(
        self,
        *,
        on_outcome: Callable[[Outcome], None],
        on_advance: Callable[[int], None],
    ):
        self.state: State = EMPTY_STATE
        self.synced = False
        self.recent_records: collections.deque[RawRecord] = collections.deque(
            maxlen=RECENT_RECORDS_LIMIT
        )
        self.on_outcome = on_outcome
        self.on_advance = on_advance
        self.pipeline = Pipeline(
            self._skip_applied, self._parse, self._apply, sink=self._commit
        )

    def apply_records(self, records: Iterable[RawRecord]) -> None:
        """Applies records in order; skips those applied already.

        Args:
            records: Consecutive raw records.

        Raises:
            OffsetGapError: The records do not follow the state.
        """
        previous_offset = self.state.offset
        try:
            for raw in records:
                self.pipeline.put(raw)
        finally:
            if self.state.offset > previous_offset:
                self.on_advance(previous_offset)

    def apply_delta(self, delta: Delta) -> None:
        """Applies records from another node.

        Args:
            delta: The records.

        Raises:
            OffsetGapError: The records do not follow the state.
            DivergedError: The digest after the last record differs from the
                sender's.
        """
        if delta.after > self.state.offset:
            raise OffsetGapError(f"delta starts after offset {delta.after}")
        self.apply_records(delta.records)
        end = delta.after + len(delta.records)
        if end == self.state.offset and delta.digest != self.state.digest:
            raise DivergedError(f"digests differ at offset {end}")

    def apply_snapshot(self, state: State) -> bool:
        """Replaces the state if the given one is newer.

        Args:
            state: A complete state from the log or another node.

        Returns:
            Whether the state was replaced.
        """
        if state.offset <= self.state.offset:
            return False
        previous_offset = self.state.offset
        self.state = state
        self.recent_records.clear()
        self.on_advance(previous_offset)
        return True

    def mark_synced(self) -> None:
        """Records that the source has no newer records."""
        if not self.synced:
            self.synced = True
            self.on_advance(self.state.offset)

    def updates_since(self, offset: int) -> Delta | Snapshot | UpToDate:
        """Returns the smallest message that updates another node.

        Args:
            offset: Offset of the other node's state.

        Returns:
            `UpToDate` if the node has every record, a `Delta` if the missing
            records are still in `recent_records`, else a `Snapshot`.
        """
        state = self.state
        if offset >= state.offset:
            return UpToDate(offset=state.offset, digest=state.digest)
        oldest_offset = (
            self.recent_records[0].offset
            if self.recent_records
            else state.offset + 1
        )
        if offset + 1 < oldest_offset:
            return Snapshot(state=state)
        records = tuple(
            raw for raw in self.recent_records if raw.offset > offset
        )
        return Delta(after=offset, digest=state.digest, records=records)

    def _skip_applied(self, raw: RawRecord) -> Iterable[RawRecord]:
        if raw.offset > self.state.offset:
            yield raw

    def _parse(self, raw: RawRecord) -> Iterable[Record]:
        record = decode_record(raw)
        if record.offset != self.state.offset + 1:
            raise OffsetGapError(
                f"{record.offset} does not follow {self.state.offset}"
            )
        self.recent_records.append(raw)
        yield record

    def _apply(self, record: Record) -> Iterable[ApplyResult]:
        yield apply(self.state, record)

    def _commit(self, result: ApplyResult) -> None:
        self.state = result.state
        self.on_outcome(result.outcome)
