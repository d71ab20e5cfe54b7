"""What a node does while the results of moves cannot be read.

Seen in pozarnik-mesh trouble-2: a node that started while the store was slow
did not know that a move had ended.
"""

import json

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from fulmarrudder.platform.directory import TOPIC as NODES_TOPIC
from fulmarrudder.platform.errors import StoreUnavailableError
from fulmarrudder.platform.lease import RENEW_PERIOD_S
from fulmarrudder.platform.operator_records import OPERATOR_TOPIC, STATUS_TOPIC
from fulmarrudder.platform.store import (
    GroupMembership,
    KeyedRecord,
    RecordBatch,
)
from tests.node.fakes import request_of
from tests.platform.test_task_faults import new_daemon

ORDER = KeyedRecord(
    key="rollout/caja",
    value=b'{"service":"caja","targetVersion":"v2","duration":"20s"}',
    offset=0,
)
ENTRY = json.dumps({"mesh": "10.0.0.9:7000", "data_centre": "lima-1"}).encode()


class FakeStore:
    """A store that refuses the reads of some topics.

    Attributes:
        refused: Topics whose reads are refused.
        reads: Topics that were read, in order.
        later: Records of the operator's topic that follow, by offset.
    """

    def __init__(self):
        self.refused = set()
        self.reads = []
        self.later = {}
        self.records = {NODES_TOPIC: (KeyedRecord(key="n9", value=ENTRY),)}

    async def append(self, topic, record, **_):
        pass

    async def read_latest(self, topic, **_):
        self.reads.append(topic)
        if topic in self.refused:
            raise StoreUnavailableError("503")
        return RecordBatch(records=self.records.get(topic, ()), next_offset=1)

    async def read(self, topic, start, wait_s, **_):
        if start not in self.later:
            raise StoreUnavailableError("503")
        return RecordBatch(records=self.later[start], next_offset=2)

    async def join_group(self, group, member, topic, *, ttl_s, generation):
        return GroupMembership(generation=2, holds_partition=True)

    async def leave_group(self, group, member):
        pass


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def daemon(tmp_path, store):
    daemon = new_daemon(tmp_path)
    for client in (daemon.directory, daemon.operator_records, daemon.lease):
        client.store = store
    daemon.tail.store = store
    return daemon


# Guards against a node without peers, which serves callers with its own target
# alone: the peers were dropped when the read that followed failed.
def test_peers_are_used_though_results_of_moves_cannot_be_read(daemon, store):
    store.refused.add(STATUS_TOPIC)
    daemon.start()
    daemon.reactor.pump([0.25] * 8)
    assert not daemon.node.move_results_loaded
    assert "n9" in daemon.node.gossip.directory_peers


def test_results_of_moves_are_read_until_it_succeeds(daemon, store):
    store.refused.add(STATUS_TOPIC)
    store.records[OPERATOR_TOPIC] = (ORDER,)
    daemon.start()
    daemon.reactor.pump([0.25] * 20)
    assert 2 <= store.reads.count(STATUS_TOPIC) <= 12
    store.refused.clear()
    daemon.reactor.pump([0.25] * 8)
    assert daemon.node.move_results_loaded
    read = store.reads.count(STATUS_TOPIC)
    daemon.reactor.pump([0.25] * 40)
    assert store.reads.count(STATUS_TOPIC) == read


# A node that starts after a move has ended must not take it for an open one for as
# long as a period: the old targets are gone.
def test_results_are_read_at_once_when_there_is_an_order(daemon, store):
    store.records[OPERATOR_TOPIC] = (ORDER,)
    daemon.start()
    assert daemon.node.move_results_loaded


def test_no_results_are_read_while_there_is_no_order(daemon, store):
    daemon.start()
    daemon.reactor.pump([0.25] * 20)
    assert STATUS_TOPIC not in store.reads


def seek_lease(daemon):
    ensureDeferred(daemon.lease.tick(is_candidate=True))
    ensureDeferred(daemon.lease.read_records())


def is_moving(daemon):
    return any(m.service == "caja" for m in daemon.node.open_moves())


# A node that had started before the verdict did not read it when it obtained
# the lease, and went on with the move.
def test_verdict_written_since_the_start_is_read_before_the_lease_is_held(
    daemon, store
):
    daemon.start()
    daemon.reactor.pump([0.25] * 8)
    daemon.node.add_move_request(request_of("caja"))
    verdict = {
        "state": "rolled_back",
        "targetVersion": "v2",
        "requestOffset": 1,
    }
    store.records[STATUS_TOPIC] = (
        KeyedRecord(key="rollout/caja", value=json.dumps(verdict).encode()),
    )
    store.later = {1: ()}
    assert is_moving(daemon)
    seek_lease(daemon)
    assert not is_moving(daemon)


def test_lease_is_not_held_while_the_results_cannot_be_read(daemon, store):
    daemon.tail.next_offset = 1
    store.later = {1: (), 2: ()}
    store.refused.add(STATUS_TOPIC)
    seek_lease(daemon)
    assert not daemon.lease.holds_lease()
    store.refused.clear()
    daemon.reactor.advance(RENEW_PERIOD_S)
    seek_lease(daemon)
    assert daemon.lease.holds_lease()


def test_orders_are_read_before_the_lease_is_held(daemon, store):
    order = {"service": "caja", "targetVersion": "v3", "duration": "16s"}
    daemon.tail.next_offset = 1
    store.later = {
        1: (
            KeyedRecord(
                key="rollout/caja", value=json.dumps(order).encode(), offset=1
            ),
        ),
        2: (),
    }
    seek_lease(daemon)
    assert daemon.lease.holds_lease()
    assert [m.to_version for m in daemon.node.open_moves()] == ["v3"]


class SlowStore(FakeStore):
    """A store that takes a while for each answer.

    Attributes:
        generation: Generation of the group; a member that is not heard in time
            is removed, and joins as a new one.
        heard_at: Time at which the member was last heard.
    """

    ANSWER_S = 0.8

    def __init__(self, reactor):
        super().__init__()
        self.reactor = reactor
        self.generation = 0
        self.heard_at = -1000.0

    async def read_latest(self, topic, **_):
        await deferLater(self.reactor, self.ANSWER_S)
        return await super().read_latest(topic)

    async def read(self, topic, start, wait_s, **_):
        await deferLater(self.reactor, self.ANSWER_S + wait_s)
        return RecordBatch(records=(), next_offset=start)

    async def join_group(self, group, member, topic, *, ttl_s, generation):
        now = self.reactor.seconds()
        self.generation += now - self.heard_at > ttl_s
        self.heard_at = now
        answer = GroupMembership(
            generation=self.generation, holds_partition=True
        )
        await deferLater(self.reactor, self.ANSWER_S)
        return answer


# The membership lapsed while the records were read, so that each term ended
# before it was held.
def test_lease_is_held_while_the_store_is_slow(tmp_path):
    daemon = new_daemon(tmp_path)
    store = SlowStore(daemon.reactor)
    for client in (daemon.directory, daemon.operator_records, daemon.lease):
        client.store = store
    daemon.tail.store = store
    daemon.node.is_controller_candidate = lambda: True
    daemon.start()
    held = 0
    for _ in range(200):
        daemon.reactor.advance(0.1)
        held += daemon.lease.holds_lease()
    assert held > 150
    assert store.generation == 1
