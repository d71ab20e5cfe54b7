"""Where instances find each other: a topic with a record for each node."""

import pydantic

from fulmarrudder.distribution import Peer
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import StoreError
from fulmarrudder.platform.field_types import Address, Name, PlatformModel
from fulmarrudder.platform.store import KeyedRecord, StoreClient

TOPIC = "keyed.nodes"


class _Entry(PlatformModel):
    mesh: Address
    data_centre: Name


class Directory:
    """The nodes that have written where they can be reached.

    Attributes:
        written: Whether this node has written its own record.
    """

    def __init__(self, store: StoreClient, own: Peer):
        self.store = store
        self.own = own
        self.registered = False

    async def fetch_peers(self) -> tuple[Peer, ...]:
        """Writes this node's record once, and reads all others.

        Raises:
            StoreError: The store is away, or refuses.
        """
        if not self.registered:
            entry = _Entry(
                mesh=self.own.mesh_address, data_centre=self.own.data_centre
            )
            value = entry.model_dump_json().encode()
            record = KeyedRecord(key=self.own.node, value=value)
            await self.store.append(TOPIC, record)
            self.registered = True
        found = await self.store.read_latest(TOPIC)
        return tuple(filter(None, map(_peer, found.records)))

    async def deregister(self) -> None:
        """Drops this node's record."""
        try:
            await self.store.append(
                TOPIC, KeyedRecord(key=self.own.node, value=None)
            )
        except StoreError as error:
            logs.warning("directory-not-left", detail=error)


def _peer(record: KeyedRecord) -> Peer | None:
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
