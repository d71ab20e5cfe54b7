"""Directory of the nodes: a compacted topic with one record for each node."""

import pydantic

from fulmarrudder.address import Address
from fulmarrudder.distribution import Peer
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.field_types import Name, PlatformModel
from fulmarrudder.platform.store import KeyedRecord, StoreClient

TOPIC = "keyed.nodes"


class _Entry(PlatformModel):
    mesh: Address
    data_centre: Name


class Directory:
    """Registers this node and lists the registered nodes.

    Attributes:
        own: This node, as listed in the directory.
        first_start: Whether the directory holds no records of earlier starts.
        registered: Whether the directory holds this node's own record.
    """

    def __init__(
        self, store: StoreClient, own: Peer, *, first_start: bool = True
    ):
        self.store = store
        self.own = own
        self.first_start = first_start
        self.registered = False

    async def fetch_peers(self) -> tuple[Peer, ...]:
        """Reads the records of all nodes.

        Writes this node's own record, unless it is there already. Of two nodes
        that start together, the one that registers later sees the other.

        Raises:
            StoreError: The store is unavailable or rejects a call.
        """
        if not self.registered and self.first_start:
            await self._register()
        peers = await self._read()
        if not self.registered and self.own in peers:
            self.registered = True
        if not self.registered:
            await self._register()
            peers = await self._read()
        return peers

    async def _read(self) -> tuple[Peer, ...]:
        latest = await self.store.read_latest(TOPIC)
        return tuple(filter(None, map(_parse_peer, latest.records)))

    async def _register(self) -> None:
        entry = _Entry(
            mesh=self.own.mesh_address, data_centre=self.own.data_centre
        )
        value = entry.model_dump_json().encode()
        await self.store.append(
            TOPIC, KeyedRecord(key=self.own.node, value=value)
        )
        self.registered = True

    async def deregister(self) -> None:
        """Deletes this node's record."""
        try:
            await self.store.append(
                TOPIC, KeyedRecord(key=self.own.node, value=None)
            )
        except StoreError as error:
            logs.warning("directory-deregister-failed", detail=error)


def _parse_peer(record: KeyedRecord) -> Peer | None:
    if record.value is None:
        return None
    try:
        entry = _Entry.model_validate_json(record.value)
    except pydantic.ValidationError as error:
        logs.warning("directory-entry-refused", key=record.key, detail=error)
        return None
    return Peer(
        node=record.key,
        data_centre=entry.data_centre,
        mesh_address=entry.mesh,
    )
