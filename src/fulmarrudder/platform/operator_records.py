"""Passes the operator's records to the node; records the status of moves."""

from collections.abc import Callable, Iterable, Iterator

from fulmarrudder.clock import Clock
from fulmarrudder.distribution import Document
from fulmarrudder.distribution.entries import change_between
from fulmarrudder.distribution.message import ConfigChange
from fulmarrudder.move import RecordedMove
from fulmarrudder.node.errors import UnconfirmedError
from fulmarrudder.node.gossip_node import GossipNode, VersionSource
from fulmarrudder.node.supervisor import ignore
from fulmarrudder.observe import logs
from fulmarrudder.platform.config import Config
from fulmarrudder.platform.document import join_config
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.loader import ConfigLoader, WholeConfig
from fulmarrudder.platform.rollout import (
    encode_status,
    parse_move_request,
    parse_status,
)
from fulmarrudder.platform.statuses import lost_statuses
from fulmarrudder.platform.store import KeyedRecord, StoreClient
from fulmarrudder.state_machine import Move, Phase

OPERATOR_TOPIC = "keyed.op"
STATUS_TOPIC = "keyed.status"
CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
# Withdrawn versions of a service that its status tells; targets of older ones
# have long ended.
MAX_WITHDRAWN = 20


class OperatorRecords:
    """Translates between the operator's records and the node.

    Attributes:
        store: Client of the store; set once it is built.
        node: The node; set once it is built.
        loader: Parses configurations.
        on_activated: Called after a configuration has become active.
        is_in_doubt: Returns whether a record may have been known before, under
            a position of an earlier era.
    """

    def __init__(self, store: StoreClient, clock: Clock):
        self.store = store
        self.node: GossipNode | None = None
        self.on_activated: Callable[[], None] = ignore
        self.is_in_doubt: Callable[[], bool] = bool
        self.loader = ConfigLoader(
            clock,
            on_loaded=self._activate,
            on_fault=lambda failure: self.node.supervisor.record_fault(
                "config-loader", failure
            ),
        )

    def apply_record(self, record: KeyedRecord) -> None:
        """Applies one of the operator's records; ignores other ones."""
        if record.key == CONFIG_KEY:
            self._apply_config_record(record)
        elif record.key.startswith(ROLLOUT_PREFIX):
            self._apply_rollout(record, record.key.removeprefix(ROLLOUT_PREFIX))
        elif record.key.startswith(EVACUATION_PREFIX):
            # Whatever it contains: the record itself is the request.
            self.node.evacuations.request(
                record.key.removeprefix(EVACUATION_PREFIX),
                record.offset,
                in_force=bool(record.value),
            )

    def follow_record(self, record: KeyedRecord) -> None:
        """Handles that the latest record of a key has another position."""
        if record.key.startswith(ROLLOUT_PREFIX) and record.value is not None:
            self.node.follow_move_request(
                record.key.removeprefix(ROLLOUT_PREFIX), record.offset
            )

    def _apply_config_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        self.loader.offer(
            WholeConfig(data=record.value, source=VersionSource.STORE)
        )

    def apply_document(self, document: Document) -> None:
        """Applies another node's configuration when it is newer."""
        if document.version > self.node.version:
            self.apply_config(document.text, source=VersionSource.PEER)

    def apply_config(
        self, text: str, *, source: VersionSource = VersionSource.STORE
    ) -> None:
        """Applies a configuration when it is valid and newer.

        Args:
            text: JSON.
            source: Where it came from.
        """
        self.loader.offer(WholeConfig(data=text.encode(), source=source))

    def apply_change(self, change: ConfigChange) -> None:
        """Applies what another node tells to have changed."""
        self.loader.offer(change)

    def _activate(
        self, config: Config, before: Config, source: VersionSource
    ) -> None:
        """Activates a configuration; one from the store is told to others."""
        self.node.apply_version(
            config.version,
            config.arrangement,
            render=lambda: Document(
                version=config.version,
                text=join_config(config.version, config.entries),
            ),
            source=source,
            change=config.change,
            keys=config.keys,
        )
        if source is VersionSource.STORE and before.version:
            self.node.gossip.tell_change(
                change_between(
                    before.entries,
                    config.entries,
                    base=before.version,
                    version=config.version,
                )
            )
        self.on_activated()

    def _apply_rollout(self, record: KeyedRecord, service: str) -> None:
        if record.value is None:
            self.node.remove_move_request(service)
            return
        parsed = parse_move_request(
            record.value, offset=record.offset, now=self.node.wall()
        )
        if parsed.is_error():
            logs.warning(
                "rollout-refused", service=service, detail=parsed.error
            )
            return
        self.node.add_move_request(parsed.ok, is_doubtful=self.is_in_doubt())

    async def load_move_results(self) -> None:
        """Loads the results of moves that earlier controllers recorded.

        Raises:
            StoreError: The store is unavailable or rejects the call.
        """
        latest = await self.store.read_latest(STATUS_TOPIC)
        for recorded in _recorded_moves(latest.records):
            self.node.add_recorded_move(recorded)
        self.node.move_results_loaded = True

    async def write_statuses_again(self, may_write: Callable[[], bool]) -> bool:
        """Writes the statuses that the store lacks but this node knows.

        Args:
            may_write: Returns whether this node is still the one to do it.

        Returns:
            Whether the store now holds all of them.

        Raises:
            StoreError: The store is unavailable or rejects a call.
        """
        latest = await self.store.read_latest(STATUS_TOPIC)
        end = latest.next_offset
        recorded = tuple(
            self.node.move_requests.followed(move)
            for move in _recorded_moves(latest.records)
        )
        for move in lost_statuses(self.node.recorded_moves(), recorded):
            if not may_write():
                return False
            await self._append_status(move, latest.records, end)
            # Another record in between makes the next append fail.
            end += 1
            logs.info(
                "record-written-again",
                topic=STATUS_TOPIC,
                key=f"{ROLLOUT_PREFIX}{move.service}",
                move=move.id,
                phase=move.phase.value,
            )
        return True

    async def record_status(self, move: Move) -> Phase:
        """Writes the status of a move to the store unless it has a verdict.

        A status is written only if no other one was written since the verdict
        was looked for, so that an append that the store executes late, or that
        of an earlier holder of the controller's duty, changes no verdict.

        Returns:
            The phase that the store holds.

        Raises:
            UnconfirmedError: The status is not known to be recorded.
        """
        try:
            recorded = await self._record_status(move)
        except StoreError as error:
            logs.warning("status-not-recorded", move=move.id, detail=error)
            raise UnconfirmedError(move.id) from error
        logs.info("status-recorded", move=move.id, phase=recorded.value)
        return recorded

    async def read_status(self, move: Move) -> Phase:
        """Returns the recorded verdict on a move, or its phase without one.

        Raises:
            UnconfirmedError: The status cannot be read, or is that of a later
                request.
        """
        try:
            latest = await self.store.read_latest(STATUS_TOPIC)
        except StoreError as error:
            logs.warning("status-not-read", move=move.id, detail=error)
            raise UnconfirmedError(move.id) from error
        return self._verdict_on(move, latest.records) or move.phase

    async def _record_status(self, move: Move) -> Phase:
        latest = await self.store.read_latest(STATUS_TOPIC)
        verdict = self._verdict_on(move, latest.records)
        if verdict is not None:
            return verdict
        await self._append_status(move, latest.records, latest.next_offset)
        return move.phase

    async def _append_status(
        self, move: Move, records: tuple[KeyedRecord, ...], end: int
    ) -> None:
        await self.store.append(
            STATUS_TOPIC,
            KeyedRecord(
                key=f"{ROLLOUT_PREFIX}{move.service}",
                value=encode_status(
                    move.phase,
                    move.to_version,
                    move.opened,
                    self._withdrawn_before(move, records),
                ),
            ),
            expected_end=end,
        )

    def _withdrawn_before(
        self, move: Move, records: Iterable[KeyedRecord]
    ) -> tuple[str, ...]:
        """Returns the versions that earlier moves led to without completing.

        They are recorded with the status of the next move, as the store keeps
        only the latest status of a service.

        Args:
            move: The move whose status is to be recorded.
            records: The latest status of each service.
        """
        known = self.node.withdrawn_versions(move.service)
        withdrawn, established = [], set()
        for recorded in _recorded_moves(records):
            if recorded.service != move.service:
                continue
            withdrawn += recorded.withdrawn
            if recorded.phase is Phase.COMPLETED:
                established.add(recorded.to_version)
            else:
                withdrawn.append(recorded.to_version)
        withdrawn += sorted(known - set(withdrawn))
        found = dict.fromkeys(withdrawn)
        for version in (*established, move.to_version):
            found.pop(version, None)
        return tuple(found)[-MAX_WITHDRAWN:]

    def _verdict_on(
        self, move: Move, records: Iterable[KeyedRecord]
    ) -> Phase | None:
        """Returns the recorded verdict on a move, or None.

        Raises:
            UnconfirmedError: A later request of the service has a record, after
                which none of this move may follow.
        """
        for recorded in _recorded_moves(records):
            if recorded.service != move.service:
                continue
            if (recorded.request_offset or 0) > move.opened:
                logs.warning(
                    "move-superseded",
                    move=move.id,
                    offset=recorded.request_offset,
                )
                raise UnconfirmedError(move.id)
            result = recorded.result
            if result is not None and self.node.move_requests.is_result_of(
                result, move
            ):
                return result.phase
        return None


def _recorded_moves(records: Iterable[KeyedRecord]) -> Iterator[RecordedMove]:
    """Yields the moves of valid status records; logs the others."""
    for record in records:
        if not record.key.startswith(ROLLOUT_PREFIX) or not record.value:
            continue
        service = record.key.removeprefix(ROLLOUT_PREFIX)
        parsed = parse_status(service, record.value)
        if parsed.is_error():
            logs.warning("status-invalid", key=record.key, detail=parsed.error)
            continue
        yield parsed.ok
