"""A version is in force on each node of a fleet in the stated time.

Nodes read a store that does not wake a read which begins while a record is
appended, as the one in use.
"""

import dataclasses
import random

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from fulmarrudder.distribution import Document, Peer
from fulmarrudder.distribution.message import ConfigChange
from fulmarrudder.distribution.readers import ReaderDuty
from fulmarrudder.platform.era import EraTracker
from fulmarrudder.platform.errors import StoreUnavailableError
from fulmarrudder.platform.follower import Follower
from fulmarrudder.platform.refresher import Refresher
from fulmarrudder.platform.store import (
    END_TIMEOUT_S,
    READ_TIMEOUT_SLACK_S,
    KeyedRecord,
    RecordBatch,
)
from fulmarrudder.platform.tail import Tail
from tests.distribution.fakes import FakeNetwork

DATA_CENTRES = ("ate", "callao", "surco")
# The stated time after its acknowledgement within which a version is in force.
CONFIG_APPLY_S = 2.0
# The stated time after which a node with a path to the store is up to date.
STABILITY_WINDOW_S = 3.0
STORE_LATENCY_S = 0.004
STEP_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Append:
    """A version that the operator wrote.

    Attributes:
        begun_at: Clock seconds at which the store began to append it.
        readable_at: Clock seconds from which it is read.
        acked_at: Clock seconds at which the operator had its acknowledgement.
    """

    begun_at: float
    readable_at: float
    acked_at: float


class Store:
    """A store with one topic of versions; the first one has offset 0.

    Attributes:
        appends: The versions, in order.
        cut_off: Data centres without a path to the store.
    """

    def __init__(self, clock):
        self.clock = clock
        self.appends = []
        self.cut_off = set()

    def append(self, *, appending_s=0.2, acknowledging_s=0.3):
        now = self.clock.seconds()
        readable_at = now + appending_s
        if self.appends:
            readable_at = max(readable_at, self.appends[-1].readable_at)
        self.appends.append(
            Append(
                begun_at=now,
                readable_at=readable_at,
                acked_at=readable_at + acknowledging_s,
            )
        )

    def end(self):
        now = self.clock.seconds()
        return sum(1 for append in self.appends if append.readable_at <= now)

    def wakes(self, start, read_at):
        """Returns whether a record wakes a read that began at a moment."""
        now = self.clock.seconds()
        return any(
            append.readable_at <= now
            and not append.begun_at <= read_at < append.readable_at
            for append in self.appends[start:]
        )


class StorePath:
    """The path of one node to the store; answers are lost while it is cut."""

    def __init__(self, store, data_centre):
        self.store = store
        self.data_centre = data_centre
        self.clock = store.clock
        self.calls = 0
        self.is_refused = False

    async def read_latest(self, topic, **_):
        return await self._call(self._latest, END_TIMEOUT_S)

    async def read_end(self, topic):
        return await self._call(self.store.end, END_TIMEOUT_S)

    async def read(self, topic, start, wait_s, **_):
        read_at = self.clock.seconds()
        deadline = read_at + wait_s
        is_lost = self._is_cut()
        # The node meets the store as it is then, not as it is once it waits.
        has_more = start < self.store.end()
        while not has_more and self.clock.seconds() < deadline:
            await deferLater(self.clock, STEP_S)
            is_lost = is_lost or self._is_cut()
            has_more = self.store.wakes(start, read_at)
        timeout_s = max(0.0, deadline - self.clock.seconds())
        return await self._call(
            lambda: self._batch(start),
            timeout_s + READ_TIMEOUT_SLACK_S,
            is_lost=is_lost,
        )

    async def _call(self, answer, timeout_s, *, is_lost=False):
        self.calls += 1
        if self.is_refused:
            await deferLater(self.clock, STORE_LATENCY_S)
            raise StoreUnavailableError("503")
        if is_lost or self._is_cut():
            await deferLater(self.clock, timeout_s)
            raise StoreUnavailableError("TimeoutError")
        await deferLater(self.clock, STORE_LATENCY_S)
        return answer()

    def _is_cut(self):
        return self.data_centre in self.store.cut_off

    def _batch(self, start):
        end = self.store.end()
        records = tuple(record(offset) for offset in range(start, end))
        return RecordBatch(records=records, next_offset=end)

    def _latest(self):
        end = self.store.end()
        records = (record(end - 1),) if end else ()
        return RecordBatch(records=records, next_offset=end)


def record(offset):
    return KeyedRecord(key="config", value=b"%d" % (offset + 1), offset=offset)


class Reader:
    """A node: what it reads, and what others of its data centre tell it.

    The first entry of a version's document is its number.
    """

    def __init__(self, fleet, name, data_centre):
        self.fleet = fleet
        self.node = fleet.net.add_gossip_node(name, data_centre)
        self.path = StorePath(fleet.store, data_centre)
        clock = fleet.net.clock
        self.version = self.read_version = 0
        self.duty = ReaderDuty(
            clock=clock,
            node=name,
            due_s=CONFIG_APPLY_S,
            topology=lambda: self.node.mesh.topology,
        )
        self.tail = Tail(
            store=self.path,
            clock=clock,
            rng=fleet.net.rng,
            topic="keyed.op",
            on_record=self._read,
            on_answer=lambda start, batch: self.follower.answer_read(
                start, batch
            ),
            reads_from=self.duty.reads_from,
            due_s=CONFIG_APPLY_S,
        )
        self.refresher = Refresher(
            clock=clock,
            tail=self.tail,
            active_version=lambda: self.version,
        )
        mesh = self.node.mesh
        self.follower = Follower(
            tail=self.tail,
            duty=self.duty,
            refresher=self.refresher,
            active_version=lambda: self.version,
            read_version=lambda: self.read_version,
            tell=mesh.tell_source,
            on_confirmed=lambda: None,
            version_key="config",
            era=EraTracker(self.tail.clock),
        )
        mesh.documents.active_version = lambda: self.version
        mesh.documents.current_document = lambda: Document(
            version=self.version, text=""
        )
        mesh.documents.on_version_told = lambda version, _: (
            self.refresher.version_told(version)
        )
        mesh.documents.on_document = lambda received: self._activate(
            received.version
        )
        mesh.on_source_update = self.follower.receive
        mesh.on_change = self._change

    def _read(self, read):
        before = self.version
        self.read_version = max(self.read_version, int(read.value))
        if self._activate(int(read.value)) and self.fleet.tells_changes:
            self.node.mesh.tell_change(
                ConfigChange(
                    base=before,
                    version=self.version,
                    digest="",
                    removed=(),
                    added=(),
                )
            )

    def _change(self, change):
        if change.base <= self.version:
            self._activate(change.version)

    def _activate(self, version):
        if version <= self.version:
            return False
        self.version = version
        self.node.mesh.tell_version()
        self.follower.settle()
        return True


class Fleet:
    """Nodes of three data centres that read one store.

    Attributes:
        tells_changes: Whether a version is small enough to be told.
    """

    def __init__(self, seed, nodes_each=4, tells_changes=True):
        self.tells_changes = tells_changes
        self.net = FakeNetwork(seed)
        self.store = Store(self.net.clock)
        self.store.append()
        self.readers = [
            Reader(self, f"{data_centre}-{index}", data_centre)
            for data_centre in DATA_CENTRES
            for index in range(nodes_each)
        ]
        self.excused_until = dict.fromkeys(DATA_CENTRES, 0.0)
        self.late = []
        # As a fleet that has run for a while.
        self._introduce()
        self.net.run(4.0)
        for reader in self.readers:
            ensureDeferred(reader.tail.run())
        self.run(self.net.rng.uniform(5.0, 10.0))

    def _introduce(self):
        peers = [
            Peer(
                node=reader.node.name,
                data_centre=reader.node.data_centre,
                mesh_address=reader.node.name,
            )
            for reader in self.readers
        ]
        for reader in self.readers:
            for peer in peers:
                if peer.node != reader.node.name:
                    reader.node.mesh.directory_peers[peer.node] = peer

    def run(self, seconds):
        for _ in range(round(seconds / 0.25)):
            self.net.run(0.25)
            self._check()

    def freeze(self, name):
        """Stops a node; its links stay open."""
        self.net.freeze(name)
        for reader in self.readers:
            if reader.node.name == name:
                reader.tail.on_record = lambda record: None
                reader.follower.tell = lambda update: None

    def kill(self, name):
        """Ends a node; its links break."""
        self.freeze(name)
        self.net.kill(name)

    def turn_away(self, name):
        """Lets the store refuse a node."""
        for reader in self.readers:
            if reader.node.name == name:
                reader.path.is_refused = True

    def cut(self, data_centre, seconds):
        """Cuts a data centre off from the store and from the others."""
        self.store.cut_off.add(data_centre)
        for other in DATA_CENTRES:
            if other != data_centre:
                self.net.partition(data_centre, other)
        self.run(seconds)
        self.store.cut_off.clear()
        self.net.partitions.clear()
        self.excused_until[data_centre] = (
            self.net.clock.seconds() + STABILITY_WINDOW_S
        )

    def _check(self):
        now = self.net.clock.seconds()
        due = sum(
            1
            for append in self.store.appends
            if append.acked_at + CONFIG_APPLY_S <= now
        )
        for reader in self.readers:
            data_centre = reader.node.data_centre
            if data_centre in self.store.cut_off:
                continue
            if now < self.excused_until[data_centre]:
                continue
            if reader.version < due:
                self.late.append((round(now, 2), reader.node.name, due))


# All nodes read again 0.4 s after a version, at once, and the one that came then
# woke none of them. None had anything to tell the others.
@pytest.mark.parametrize("gap_s", [0.3, 0.35, 0.4, 0.45, 0.5, 0.55, 0.6])
def test_version_right_behind_another_is_in_force_in_time(gap_s):
    fleet = Fleet(1)
    for _ in range(4):
        fleet.store.append()
        fleet.net.run(gap_s)
        fleet.store.append()
        fleet.run(7.0)
    assert not fleet.late


# A gateway that had missed a version told its neighbours late, and they waited
# for the store for as long again: 62 ms over the bound of 2 s.
@pytest.mark.parametrize("seed", range(8))
def test_versions_at_any_moment_are_in_force_in_time(seed):
    fleet = Fleet(seed)
    rng = random.Random(seed)
    for _ in range(25):
        fleet.store.append(
            appending_s=rng.uniform(0.01, 0.5),
            acknowledging_s=rng.uniform(0.0, 0.3),
        )
        fleet.run(rng.choice([0.25, 0.5, 1.0, 3.0, 6.0]))
    fleet.run(7.0)
    assert not fleet.late


# Guards against a node that waits for a frozen neighbour to tell it of a version.
@pytest.mark.parametrize("seed", range(4))
def test_frozen_gateway_keeps_no_node_from_a_version(seed):
    fleet = Fleet(seed)
    rng = random.Random(seed)
    frozen = "surco-0"
    fleet.freeze(frozen)
    for _ in range(10):
        fleet.store.append(
            appending_s=rng.uniform(0.3, 0.5), acknowledging_s=0.0
        )
        fleet.run(rng.choice([0.5, 3.0]))
    assert all(name == frozen for _, name, _ in fleet.late)


# Nodes of a data centre that was cut off answered as before a version that was
# written meanwhile, 3 s after the cut: all of them waited for lost reads.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cut_s", [1.0, 3.0, 5.5, 9.0])
def test_versions_written_during_a_cut_are_in_force_soon_after_it(seed, cut_s):
    fleet = Fleet(seed)
    rng = random.Random(seed)
    fleet.net.call_later(rng.uniform(0.0, cut_s), fleet.store.append)
    fleet.cut("surco", cut_s)
    fleet.run(rng.choice([0.0, 0.25, 0.5]))
    fleet.store.append()
    fleet.run(7.0)
    assert not fleet.late


# A reader that is lost, whatever the cause, is replaced within the stated time. The
# number of nodes in a data centre counts.
@pytest.mark.parametrize(("nodes_each", "lost"), [(4, 1), (4, 2), (28, 2)])
@pytest.mark.parametrize("how", ["freeze", "kill", "turn_away"])
def test_lost_readers_keep_no_node_from_a_version(nodes_each, lost, how):
    fleet = Fleet(1, nodes_each=nodes_each)
    rng = random.Random(nodes_each + lost)
    gateways = [f"surco-{index}" for index in range(lost)]
    fleet.store.append()
    fleet.run(rng.choice([0.25, 0.5, 0.75, 1.0]))
    for name in gateways:
        getattr(fleet, how)(name)
    for _ in range(4):
        fleet.store.append(appending_s=rng.uniform(0.01, 0.5))
        fleet.run(rng.choice([0.25, 2.0, 3.0]))
    fleet.run(3.0)
    allowed = set() if how == "turn_away" else set(gateways)
    assert {name for _, name, _ in fleet.late} <= allowed


# Versions that are too large to be told are read by each node.
@pytest.mark.parametrize("seed", range(3))
def test_versions_that_are_not_told_are_in_force_in_time(seed):
    fleet = Fleet(seed, tells_changes=False)
    rng = random.Random(seed)
    for _ in range(12):
        fleet.store.append(appending_s=rng.uniform(0.01, 0.5))
        fleet.run(rng.choice([0.25, 0.5, 1.0, 3.0]))
    fleet.run(7.0)
    assert not fleet.late


# Each node held a read of its own: calls grew with the nodes.
@pytest.mark.parametrize("nodes_each", [4, 28])
def test_calls_grow_with_data_centres_and_not_with_nodes(nodes_each):
    fleet = Fleet(1, nodes_each=nodes_each)
    before = sum(reader.path.calls for reader in fleet.readers)
    for _ in range(20):
        fleet.store.append()
        fleet.run(1.0)
    calls = sum(reader.path.calls for reader in fleet.readers) - before
    # A reader's waits and pauses end after 0.3 of the bound at the earliest.
    assert calls <= 1.25 * len(DATA_CENTRES) * 20.0 / (0.3 * CONFIG_APPLY_S)


# Guards against reads as often as those of the node that tells the others.
def test_few_nodes_read_while_nothing_is_written():
    fleet = Fleet(1)
    before = sum(reader.path.calls for reader in fleet.readers)
    fleet.run(20.0)
    calls = sum(reader.path.calls for reader in fleet.readers) - before
    assert calls <= len(DATA_CENTRES) * 20.0 / (0.3 * CONFIG_APPLY_S)
