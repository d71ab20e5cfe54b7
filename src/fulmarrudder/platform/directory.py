"""Directory of the nodes: a compacted topic with one record for each node.

A node's record also holds the departure of its target, so that it outlives a
restart of all nodes and costs no further read at a start.
"""

import pydantic

from fulmarrudder.address import Address
from fulmarrudder.distribution import Peer
from fulmarrudder.membership import DepartedTarget
from fulmarrudder.node.errors import DepartureRecordError
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.field_types import Count, Name, PlatformModel
from fulmarrudder.platform.store import KeyedRecord, StoreClient

TOPIC = "keyed.nodes"


class _Departed(PlatformModel):
    id: Name
    incarnation: Count


class _Entry(PlatformModel):
    mesh: Address
    data_centre: Name
    departed: _Departed | None = None


class Directory:
    """Registers this node and lists the registered nodes.

    Attributes:
        own: This node, as listed in the directory.
        first_start: Whether the directory holds no records of earlier starts.
        registered: Whether the directory holds this node's own record.
        departed: The target that left last beside this node, of this or an
            earlier start, or None.
    """

    def __init__(
        self, store: StoreClient, own: Peer, *, first_start: bool = True
    ):
        self.store = store
        self.own = own
        self.first_start = first_start
        self.registered = False
        self.departed: DepartedTarget | None = None

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
        peers = []
        for record in latest.records:
            entry = _parse_entry(record)
            if entry is None:
                continue
            peers.append(_peer_of(record.key, entry))
            if record.key == self.own.node:
                self._recall(entry)
        return tuple(peers)

    def _recall(self, entry: _Entry) -> None:
        if self.departed is None and entry.departed is not None:
            self.departed = DepartedTarget(**dict(entry.departed))

    async def _register(self) -> None:
        departed = self.departed
        entry = _Entry(
            mesh=self.own.mesh_address,
            data_centre=self.own.data_centre,
            departed=departed
            and _Departed(id=departed.id, incarnation=departed.incarnation),
        )
        value = entry.model_dump_json(exclude_none=True).encode()
        await self.store.append(
            TOPIC, KeyedRecord(key=self.own.node, value=value)
        )
        self.registered = True

    async def record_departure(self, departed: DepartedTarget) -> None:
        """Writes the departure of this node's target into its record.

        Raises:
            DepartureRecordError: The store is unavailable or rejects the call.
        """
        self.departed = departed
        try:
            await self._register()
        except StoreError as error:
            raise DepartureRecordError(str(error)) from error

    async def deregister(self) -> None:
        """Deletes this node's record."""
        try:
            await self.store.append(
                TOPIC, KeyedRecord(key=self.own.node, value=None)
            )
        except StoreError as error:
            logs.warning("directory-deregister-failed", detail=error)


def _parse_entry(record: KeyedRecord) -> _Entry | None:
    if record.value is None:
        return None
    try:
        return _Entry.model_validate_json(record.value)
    except pydantic.ValidationError as error:
        logs.warning("directory-entry-refused", key=record.key, detail=error)
        return None


def _peer_of(node: str, entry: _Entry) -> Peer:
    return Peer(
        node=node,
        data_centre=entry.data_centre,
        mesh_address=entry.mesh,
    )
