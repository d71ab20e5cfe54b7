"""A node that is told what others read misses no record of the topic."""

import random

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.distribution.message import SourceRecord, SourceUpdate
from fulmarrudder.distribution.readers import ReaderDuty
from fulmarrudder.distribution.topology import Topology
from fulmarrudder.model.position import position_of
from fulmarrudder.platform.era import EraTracker
from fulmarrudder.platform.follower import Follower
from fulmarrudder.platform.refresher import REFRESH_DELAY_S, Refresher
from fulmarrudder.platform.store import KeyedRecord, RecordBatch
from fulmarrudder.platform.tail import Tail
from tests.platform.test_tail import FakeStore

VERSION_KEY = "config"


class Scene:
    """The tail of a node that has read up to offset 10, and its follower."""

    def __init__(self):
        self.store, self.clock = FakeStore(), Clock()
        self.passed, self.told, self.version = [], [], 3
        self.rank = 5
        self.duty = ReaderDuty(
            clock=self.clock,
            node="n5",
            due_s=2.0,
            topology=lambda: Topology(
                local_gateways=("n0", "n1"), rank=self.rank
            ),
        )
        self.tail = Tail(
            store=self.store,
            clock=self.clock,
            rng=random.Random(1),
            topic="keyed.op",
            on_record=self.passed.append,
            on_answer=lambda start, batch: self.follower.answer_read(
                start, batch
            ),
            reads_from=self.duty.reads_from,
            due_s=2.0,
        )
        self.refresher = Refresher(
            clock=self.clock,
            tail=self.tail,
            active_version=lambda: self.version,
        )
        self.follower = Follower(
            tail=self.tail,
            duty=self.duty,
            refresher=self.refresher,
            active_version=lambda: self.version,
            read_version=lambda: self.version,
            tell=self.told.append,
            on_confirmed=lambda: None,
            version_key=VERSION_KEY,
            era=EraTracker(self.tail.clock),
        )
        self.running = ensureDeferred(self.tail.run())
        self.hear(10, 10)
        self.serve(next_offset=10)

    def serve(self, *records, next_offset):
        batch = RecordBatch(records=records, next_offset=next_offset)
        self.store.waiting.pop(0).callback(batch)

    def hear(self, start, end, version=3, records=()):
        self.follower.receive(
            SourceUpdate(
                start=start, end=end, version=version, records=tuple(records)
            )
        )

    def offsets(self):
        return [record.offset for record in self.passed]


@pytest.fixture
def scene():
    return Scene()


def order(offset, value="{}"):
    return SourceRecord(key=f"rollout/{offset}", value=value, offset=offset)


def test_node_that_hears_of_reads_makes_none(scene):
    for index in range(20):
        scene.hear(10, 10)
        scene.clock.advance(0.9)
        assert scene.store.reads == [None], index


def test_records_that_are_told_are_passed_on_once(scene):
    scene.hear(10, 12, records=[order(10), order(11)])
    scene.hear(10, 12, records=[order(10), order(11)])
    scene.hear(12, 13, records=[order(12, None)])
    assert scene.offsets() == [10, 11, 12]
    assert scene.passed[-1].value is None
    assert scene.tail.next_offset == 13


# What lies between would never be read.
def test_records_behind_a_gap_are_read_from_the_store(scene):
    scene.hear(12, 13, records=[order(12)])
    assert scene.offsets() == []
    assert scene.tail.next_offset == 10
    scene.clock.advance(REFRESH_DELAY_S)
    assert scene.store.reads == [None, 10]
    records = [KeyedRecord(key="r", value=b"{}", offset=o) for o in (10, 12)]
    scene.serve(*records, next_offset=13)
    assert scene.tail.next_offset == 13


def test_version_counts_as_read_once_it_is_active(scene):
    scene.hear(10, 11, version=4)
    assert scene.tail.next_offset == 10
    scene.version = 4
    scene.follower.settle()
    assert scene.tail.next_offset == 11
    scene.clock.advance(REFRESH_DELAY_S)
    assert scene.store.reads == [None]


def test_version_that_does_not_arrive_is_read_from_the_store(scene):
    scene.hear(10, 11, version=4)
    scene.clock.advance(REFRESH_DELAY_S)
    assert scene.store.reads == [None, 10]


# A reader that could not activate a version kept the others from it.
def test_reader_tells_of_a_version_that_it_has_refused(scene):
    scene.follower.read_version = lambda: 4
    scene.rank = 0
    scene.clock.advance(2.0)
    scene.serve(next_offset=11)
    assert [update.version for update in scene.told] == [4]


def test_node_reads_and_tells_when_no_reader_is_heard(scene):
    scene.clock.advance(1.5)
    assert scene.store.reads == [None, 10]
    record = KeyedRecord(key="rollout/caja", value=b"{}", offset=10)
    scene.serve(record, next_offset=11)
    assert scene.told == [
        SourceUpdate(
            start=10,
            end=11,
            version=3,
            records=(SourceRecord(key="rollout/caja", value="{}", offset=10),),
        )
    ]


def test_read_on_its_own_account_is_told_to_nobody(scene):
    scene.hear(10, 11, version=4)
    scene.clock.advance(REFRESH_DELAY_S)
    scene.serve(next_offset=11)
    assert scene.told == []


def test_update_of_an_earlier_era_is_ignored_and_a_later_one_adopted(scene):
    before = scene.tail.next_offset
    scene.follower.era.note(1)
    scene.hear(10, 30)
    assert scene.tail.next_offset == before
    later = position_of(2, 5)
    scene.hear(later, later)
    assert scene.follower.era.number == 2
