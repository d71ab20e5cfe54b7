"""The operator's records, decoded and handed to the node."""

from fulmarrudder.distribution import Document
from fulmarrudder.node.member import Member
from fulmarrudder.observe import logs
from fulmarrudder.platform.config import parse_config
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.rollout import (
    encode_status,
    parse_move_request,
    parse_status,
)
from fulmarrudder.platform.store import KeyedRecord, StoreClient
from fulmarrudder.state_machine import Move

OPERATOR_TOPIC = "keyed.op"
STATUS_TOPIC = "keyed.status"
CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"


class OperatorRecords:
    """Translates between the operator's records and the node.

    Attributes:
        member: The node; set once it is built.
    """

    def __init__(self, store: StoreClient, producer: str):
        self.store = store
        self.producer = producer
        self.member: Member | None = None

    def apply_record(self, record: KeyedRecord) -> None:
        """Takes a record of the operator's."""
        if record.key == CONFIG_KEY:
            self._take_config(record)
        elif record.key.startswith(ROLLOUT_PREFIX):
            self._take_order(record, record.key.removeprefix(ROLLOUT_PREFIX))

    def _take_config(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        self.apply_config(record.value.decode("utf-8", "replace"))

    def apply_document(self, document: Document) -> None:
        """Takes a configuration that another node holds."""
        if document.version > self.member.version:
            self.apply_config(document.text)

    def apply_config(self, text: str) -> None:
        """Takes the text of a configuration."""
        read = parse_config(text.encode())
        if read.is_error():
            logs.warning("config-refused", why=read.error)
            return
        version, arrangement = read.ok
        if version <= self.member.version:
            logs.info(
                "config-old", version=version, in_force=self.member.version
            )
            return
        document = Document(version=version, text=text)
        self.member.take_arrangement(document, arrangement)

    def _take_order(self, record: KeyedRecord, service: str) -> None:
        if record.value is None:
            self.member.drop_order(service)
            return
        read = parse_move_request(
            record.value, offset=record.offset, now=self.member.wall()
        )
        if read.is_error():
            logs.warning("order-refused", service=service, why=read.error)
            return
        self.member.add_move_request(read.ok)

    async def load_move_results(self) -> None:
        """Reads what earlier controllers recorded.

        Raises:
            StoreError: The store is away, or refuses.
        """
        found = await self.store.read_latest(STATUS_TOPIC)
        for record in found.records:
            if not record.key.startswith(ROLLOUT_PREFIX) or not record.value:
                continue
            service = record.key.removeprefix(ROLLOUT_PREFIX)
            read = parse_status(service, record.value)
            if read.is_error():
                logs.warning("status-unread", key=record.key, why=read.error)
            elif read.ok is not None:
                self.member.add_move_result(read.ok)

    async def record_status(self, move: Move) -> None:
        """Records the phase of a move.

        Raises:
            StoreError: The store is away, or refuses.
        """
        value = encode_status(move.phase, move.to_version)
        key = f"{ROLLOUT_PREFIX}{move.service}"
        try:
            await self.store.append(
                STATUS_TOPIC, KeyedRecord(key=key, value=value)
            )
        except StoreError as error:
            logs.warning("status-not-recorded", move=move.id, why=error)
            raise
        logs.info("status-recorded", move=move.id, phase=move.phase.value)
