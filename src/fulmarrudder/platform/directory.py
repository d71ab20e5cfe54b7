"""Directory of the nodes: a compacted topic with one record for each node.

A node's record also holds the departure of its target, so that it outlives a
restart of all nodes and costs no further read at a start.
"""

import pydantic
from twisted.internet.defer import DeferredLock

from fulmarrudder.address import Address
from fulmarrudder.distribution import Peer
from fulmarrudder.membership import DepartedTarget
from fulmarrudder.node.errors import DepartureRecordError
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import StoreError, StoreRejectedError
from fulmarrudder.platform.field_types import Count, Name, PlatformModel
from fulmarrudder.platform.store import (
    CONFLICT_STATUSES,
    KeyedRecord,
    StoreClient,
)

TOPIC = "keyed.nodes"
# Added to the epoch when the store knows a higher one: the clock may have been set
# back since an earlier start, by less than this.
FENCED_EPOCH_STEP = 3_600_000


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
        is_lost: Whether the store may have lost this node's own record, which
            is then looked for before it is written.
        own_entry: This node's own record as it was last read, or None.
        turns: Lets one look for the record, and write it, at a time.
        epoch: Fencing epoch of the latest write. A write whose answer was lost
            may be executed seconds later; each one fences those before it.
    """

    def __init__(
        self,
        store: StoreClient,
        own: Peer,
        *,
        first_start: bool = True,
        epoch: int = 0,
    ):
        self.store = store
        self.own = own
        self.first_start = first_start
        self.registered = False
        self.departed: DepartedTarget | None = None
        self.is_lost = False
        self.own_entry: _Entry | None = None
        self.turns = DeferredLock()
        self.epoch = epoch

    def enter_era(self) -> None:
        """Handles that the store has come back from an older copy."""
        self.registered = False
        self.first_start = False
        self.is_lost = True
        self.own_entry = None

    async def fetch_peers(self) -> tuple[Peer, ...]:
        """Reads the records of all nodes.

        Writes this node's own record, unless it is there already. Of two nodes
        that start together, the one that registers later sees the other.

        Raises:
            StoreError: The store is unavailable or rejects a call.
        """
        await self.turns.acquire()
        try:
            return await self._fetch_peers()
        finally:
            self.turns.release()

    async def _fetch_peers(self) -> tuple[Peer, ...]:
        if not self.registered and self.first_start:
            await self._register()
        peers = await self._read()
        if not self.registered and self._is_recorded(peers):
            self.registered = True
            self.is_lost = False
        if not self.registered:
            await self._register()
            peers = await self._read()
        return peers

    def _is_recorded(self, peers: tuple[Peer, ...]) -> bool:
        if self.own not in peers:
            return False
        # Departures are otherwise recorded on their own.
        return not self.is_lost or self.own_entry == self._entry()

    async def _read(self) -> tuple[Peer, ...]:
        latest = await self.store.read_latest(TOPIC)
        self.own_entry = None
        peers = []
        for record in latest.records:
            entry = _parse_entry(record)
            if entry is None:
                continue
            peers.append(_peer_of(record.key, entry))
            if record.key == self.own.node:
                self.own_entry = entry
                self._recall(entry)
        return tuple(peers)

    def _recall(self, entry: _Entry) -> None:
        if self.departed is None and entry.departed is not None:
            self.departed = DepartedTarget(**dict(entry.departed))

    def _entry(self) -> _Entry:
        departed = self.departed
        return _Entry(
            mesh=self.own.mesh_address,
            data_centre=self.own.data_centre,
            departed=departed
            and _Departed(id=departed.id, incarnation=departed.incarnation),
        )

    async def _register(self) -> None:
        value = self._entry().model_dump_json(exclude_none=True).encode()
        self.epoch += 1
        epoch = self.epoch
        try:
            await self.store.append(
                TOPIC,
                KeyedRecord(key=self.own.node, value=value),
                producer=self.own.node,
                epoch=epoch,
            )
        except StoreRejectedError as error:
            if error.status in CONFLICT_STATUSES and epoch == self.epoch:
                self.epoch += FENCED_EPOCH_STEP
            raise
        self.registered = True
        if self.is_lost:
            self.is_lost = False
            logs.info("record-written-again", topic=TOPIC, key=self.own.node)

    async def record_departure(self, departed: DepartedTarget) -> None:
        """Writes the departure of this node's target into its record.

        Raises:
            DepartureRecordError: The store is unavailable or rejects the call.
        """
        self.departed = departed
        try:
            if self.is_lost:
                await self.fetch_peers()
            if not self.registered or self.own_entry != self._entry():
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
