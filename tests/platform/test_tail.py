"""A tail passes on each key's records in order, whatever it reads again."""

import random

import pytest
from twisted.internet.defer import (
    CancelledError,
    Deferred,
    ensureDeferred,
)
from twisted.internet.task import Clock, deferLater

from fulmarrudder.model.position import position_of
from fulmarrudder.platform.errors import (
    ExpiredError,
    StoreRejectedError,
    StoreUnavailableError,
)
from fulmarrudder.platform.rewrites import AWAIT_S
from fulmarrudder.platform.store import (
    CALL_TIMEOUT_S,
    END_TIMEOUT_S,
    READ_TIMEOUT_SLACK_S,
    KeyedRecord,
    RecordBatch,
)
from fulmarrudder.platform.tail import (
    RETRY_MAX_DELAY_S,
    Tail,
)

# The stated time after which a node with a path to the store is up to date.
STABILITY_WINDOW_S = 3.0
# The stated time within which a version is in force.
CONFIG_APPLY_S = 2.5
DOCUMENT_BYTES = 134_000
BASE64_RATIO = 4 / 3
# What requests leave of the thinnest link in use.
THIN_LINK_BYTES_PER_S = 420_000


class FakeStore:
    """A store whose reads are served by the test.

    Attributes:
        reads: Offsets from which was read; None for the latest records.
        waiting: The Deferreds of reads that are not served.
    """

    def __init__(self):
        self.reads = []
        self.waiting = []

    async def read_latest(self, topic, **_):
        return await self._wait(None)

    async def read(self, topic, start, wait_s, *, on_head=None):
        self.on_head = on_head
        return await self._wait(start)

    def _wait(self, start):
        self.reads.append(start)
        self.waiting.append(Deferred())
        return self.waiting[-1]


class CutStore:
    """A store that can be cut off: what is sent meanwhile is lost.

    Attributes:
        is_cut: Whether it is.
        end: Offset of the next record.
        transfer_s: Seconds that records take on the link.
    """

    def __init__(self, clock, transfer_s=0.0):
        self.transfer_s = transfer_s
        self.clock = clock
        self.is_cut = False
        self.end = 1

    async def read_latest(self, topic, **_):
        return RecordBatch(records=(), next_offset=1)

    async def read_end(self, topic):
        if self.is_cut:
            await deferLater(self.clock, END_TIMEOUT_S)
            raise StoreUnavailableError("TimeoutError")
        return self.end

    async def read(self, topic, start, wait_s, **_):
        is_lost = self.is_cut
        if start == self.end:
            await deferLater(self.clock, wait_s)
        if is_lost or self.is_cut:
            await deferLater(self.clock, READ_TIMEOUT_SLACK_S)
            raise StoreUnavailableError("TimeoutError")
        records = tuple(record(offset) for offset in range(start, self.end))
        if records:
            await deferLater(self.clock, self.transfer_s)
        return RecordBatch(records=records, next_offset=self.end)


class ThinStore:
    """A store at the other end of a link that takes time for each record.

    Attributes:
        written_at: Clock seconds at which each record was written.
        bytes_per_s: Speed of the link.
    """

    def __init__(self, clock):
        self.clock = clock
        self.written_at = []
        self.bytes_per_s = THIN_LINK_BYTES_PER_S

    async def read_latest(self, topic, *, timeout_s=CALL_TIMEOUT_S):
        end = len(self.written_at)
        records = (record(end - 1),) if end else ()
        size = len(records) * DOCUMENT_BYTES * BASE64_RATIO
        await self._transfer(size, timeout_s)
        return RecordBatch(records=records, next_offset=end)

    async def read_end(self, topic):
        return len(self.written_at)

    async def read(self, topic, start, wait_s, **_):
        deadline = self.clock.seconds() + wait_s
        while start == len(self.written_at) and self.clock.seconds() < deadline:
            await deferLater(self.clock, 0.01)
        end = len(self.written_at)
        size = (end - start) * DOCUMENT_BYTES
        await self._transfer(size, wait_s + READ_TIMEOUT_SLACK_S)
        records = tuple(record(offset) for offset in range(start, end))
        return RecordBatch(records=records, next_offset=end)

    async def _transfer(self, size, timeout_s):
        seconds = size / self.bytes_per_s
        await deferLater(self.clock, min(seconds, timeout_s))
        if seconds > timeout_s:
            raise StoreUnavailableError("TimeoutError")


def start_tail(store, clock, seed=1):
    """Returns a tail, the records that it passes on, and what runs it."""
    passed = []
    tail = Tail(
        store=store,
        clock=clock,
        rng=random.Random(seed),
        topic="keyed.op",
        on_record=passed.append,
        on_answer=lambda start, batch: None,
        reads_from=lambda: 0.0,
        due_s=CONFIG_APPLY_S,
    )
    return tail, passed, ensureDeferred(tail.run())


class Scene:
    """A running tail and what it has passed on."""

    def __init__(self):
        self.store, self.clock = FakeStore(), Clock()
        self.tail, self.passed, self.running = start_tail(
            self.store, self.clock
        )

    def serve(self, *records, next_offset):
        batch = RecordBatch(records=records, next_offset=next_offset)
        self.store.waiting.pop(0).callback(batch)
        self.clock.advance(1.0)

    def offsets(self):
        return [record.offset for record in self.passed]


@pytest.fixture
def scene():
    return Scene()


def record(offset, key="rollout/caja"):
    return KeyedRecord(key=key, value=b"{}", offset=offset)


# Guards against an order that is taken for a new one, as an older one was read
# after it: pages are no snapshot, so that records are read twice.
def test_older_record_that_is_read_later_is_not_passed_on(scene):
    scene.serve(record(12), next_offset=10)
    assert scene.store.reads == [None, 10]
    scene.serve(record(11), next_offset=12)
    scene.serve(record(12), record(13), next_offset=14)
    assert scene.offsets() == [12, 13]


def test_record_that_is_read_again_is_passed_on_once(scene):
    scene.serve(record(3), record(4, "config"), next_offset=5)
    scene.store.waiting.pop(0).errback(ExpiredError("from"))
    scene.clock.advance(RETRY_MAX_DELAY_S)
    scene.serve(record(3), record(9, "config"), next_offset=10)
    assert scene.offsets() == [3, 4, 9]


def test_catching_up_reads_until_no_record_follows(scene):
    scene.serve(record(3), next_offset=5)
    caught_up = ensureDeferred(scene.tail.catch_up())
    assert scene.store.reads == [None, 5, 5]
    poll = scene.store.waiting.pop(0)
    scene.serve(record(5), record(6), next_offset=7)
    assert not caught_up.called
    scene.serve(next_offset=7)
    assert caught_up.called
    assert scene.offsets() == [3, 6]
    # The long poll that waited meanwhile ends with older records.
    poll.callback(RecordBatch(records=(record(5),), next_offset=6))
    scene.clock.advance(1.0)
    assert scene.offsets() == [3, 6]
    assert scene.store.reads[-1] == 7


# Guards against calls without a pause, while each read tells that its records
# have expired.
def test_reads_that_expire_each_time_are_paused(scene):
    for _ in range(20):
        if scene.store.waiting:
            scene.store.waiting.pop(0).errback(ExpiredError("from"))
        scene.clock.advance(0.01)
    assert len(scene.store.reads) < 10


# A read that was sent within a cut of its data centre was waited for 6 s, most of
# them after the cut, and the node answered as the version before says.
@pytest.mark.parametrize("cut_s", [3.5, 5.5, 6.0, 6.5, 7.0, 8.0, 11.0])
@pytest.mark.parametrize("polled_s", [0.2, 2.5, 4.9])
def test_record_written_during_a_cut_is_read_soon_after_it(cut_s, polled_s):
    clock = Clock()
    store = CutStore(clock)
    _, passed, _ = start_tail(store, clock)
    clock.advance(polled_s)
    store.is_cut = True
    clock.pump([0.1] * round(cut_s * 10))
    # As if it had been written at any moment of the cut.
    store.end = 2
    store.is_cut = False
    clock.pump([0.1] * round(STABILITY_WINDOW_S * 10))
    assert [record.offset for record in passed] == [1]


# A node whose link takes a second for a large version had it 3.05 s after a cut: it
# paused for up to a second after each call that it had waited a second for.
@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("cut_s", [6.5, 8.0, 11.0])
def test_large_version_is_read_in_time_after_a_cut(cut_s, seed):
    clock = Clock()
    store = CutStore(clock, transfer_s=1.0)
    _, passed, _ = start_tail(store, clock, seed=seed)
    clock.advance(2.5)
    store.is_cut = True
    clock.pump([0.1] * round(cut_s * 10 + seed))
    store.end = 2
    store.is_cut = False
    clock.pump([0.1] * round(STABILITY_WINDOW_S * 10))
    assert [record.offset for record in passed] == [1]


# Guards against a tail that never reads again, as the store tells no end.
def test_records_are_read_from_a_store_that_tells_no_end():
    clock = Clock()
    store = CutStore(clock)

    async def refuse(topic):
        raise StoreRejectedError(400, "after")

    store.read_end = refuse
    _, passed, _ = start_tail(store, clock)
    store.is_cut = True
    clock.pump([0.1] * 80)
    store.end = 2
    store.is_cut = False
    clock.pump([0.1] * round(STABILITY_WINDOW_S * 10))
    assert [record.offset for record in passed] == [1]


# A node on a thin link read every version of a series, of which each replaced the
# one before, and fell behind: its requests were handled as 2.6 s before.
@pytest.mark.parametrize("period_s", [0.15, 0.2, 0.3, 0.6])
def test_versions_in_a_row_are_in_force_in_time_on_a_thin_link(period_s):
    clock = Clock()
    store = ThinStore(clock)
    tail, passed, _ = start_tail(store, clock)
    for _ in range(round(8.0 / period_s)):
        store.written_at.append(clock.seconds())
        clock.pump([0.01] * round(period_s * 100))
        due_before = clock.seconds() - CONFIG_APPLY_S
        due = [at for at in store.written_at if at <= due_before]
        assert not due or passed[-1].offset >= len(due) - 1
    clock.pump([0.01] * 300)
    assert passed[-1].offset == len(store.written_at) - 1
    assert not tail.lags


# Guards against a node that falls behind and stays there, as the latest version
# takes longer than a call of the store may.
def test_latest_version_is_read_on_a_link_that_is_slower_than_a_call():
    clock = Clock()
    store = ThinStore(clock)
    _, passed, _ = start_tail(store, clock)
    store.bytes_per_s = DOCUMENT_BYTES * BASE64_RATIO / (CALL_TIMEOUT_S + 1.0)
    store.written_at += [0.0, 0.0]
    clock.pump([0.01] * 500)
    store.written_at.append(clock.seconds())
    clock.pump([0.01] * 1000)
    assert passed[-1].offset == 2


# A read that had met an append was waiting, and the next one beside it brought the
# same large records again over a slow link.
def test_refresh_begins_the_waiting_read_afresh(scene):
    scene.serve(record(12), next_offset=13)
    waiting = scene.store.waiting[0]
    scene.tail.refresh()
    assert scene.store.reads == [None, 13, 13]
    waiting.addErrback(lambda failure: failure.trap(CancelledError))
    scene.store.waiting.pop(0)
    scene.serve(record(13), next_offset=14)
    assert scene.offsets() == [12, 13]


def test_refresh_lets_a_read_whose_answer_arrives_go_on(scene):
    scene.serve(record(12), next_offset=13)
    scene.store.on_head()
    assert scene.tail.receiving
    scene.tail.refresh()
    assert scene.store.reads == [None, 13]
    scene.serve(record(13), next_offset=14)
    assert scene.offsets() == [12, 13]


def test_refresh_does_nothing_while_no_read_waits(scene):
    scene.tail.refresh()
    assert scene.store.reads == [None]
    assert scene.tail.receiving
    scene.store.waiting.pop(0).errback(StoreUnavailableError("503"))
    scene.tail.refresh()
    assert scene.store.reads == [None]
    assert not scene.tail.receiving


def test_tail_that_is_stopped_while_it_waits_reads_no_more():
    scene = Scene()
    scene.serve(record(12), next_offset=13)
    scene.running.addErrback(lambda failure: failure.trap(CancelledError))
    scene.running.cancel()
    scene.clock.pump([0.5] * 20)
    assert scene.store.reads == [None, 13]


# A node that was behind read the latest record of each key, and kept an order that
# had been withdrawn meanwhile.
def test_key_that_was_deleted_while_the_node_was_behind_is_deleted(scene):
    scene.serve(record(3, "rollout/caja"), record(4, "config"), next_offset=5)
    scene.store.waiting.pop(0).errback(ExpiredError("from"))
    scene.clock.advance(RETRY_MAX_DELAY_S)
    latest = RecordBatch(
        records=(record(9, "config"),), next_offset=10, is_latest=True
    )
    scene.store.waiting.pop(0).callback(latest)
    scene.clock.advance(1.0)
    deleted = scene.passed[-1]
    assert (deleted.key, deleted.value) == ("rollout/caja", None)
    scene.serve(record(10, "rollout/caja"), next_offset=11)
    assert scene.passed[-1].value == b"{}"


# A neighbour told of the record, and it was deleted before this node read.
def test_deletion_of_a_key_that_others_told_of_is_noticed(scene):
    scene.tail.learn("evacuate/lima-2", 7)
    latest = RecordBatch(records=(record(8),), next_offset=10, is_latest=True)
    scene.store.waiting.pop(0).callback(latest)
    deleted = scene.passed[-1]
    assert (deleted.key, deleted.value) == ("evacuate/lima-2", None)
    assert deleted.offset == 9


# The answer that arrived as the awaited records were due told nothing of them.
def test_awaited_records_are_read_though_an_answer_is_arriving(scene):
    end = position_of(1, 3)
    scene.serve(record(3, "rollout/caja"), next_offset=4)
    scene.tail.enter_era()
    # The read that waited was cancelled.
    scene.store.waiting.pop(0)
    latest = RecordBatch(records=(), next_offset=end, is_latest=True)
    scene.store.waiting.pop(0).callback(latest)
    assert len(scene.passed) == 1
    scene.store.on_head()
    scene.clock.advance(AWAIT_S)
    scene.serve(next_offset=end)
    assert scene.store.reads[-1] is None
    scene.store.waiting.pop(0).callback(latest)
    assert scene.passed[-1].value is None
