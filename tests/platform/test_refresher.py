"""A node that is told of a version reads it once, and only if it lacks it."""

import random

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from fulmarrudder.platform.errors import StoreUnavailableError
from fulmarrudder.platform.refresher import (
    REFRESH_DELAY_S,
    RETRY_DELAY_S,
    Refresher,
)
from fulmarrudder.platform.tail import Tail

# The stated time within which a version is in force.
CONFIG_APPLY_S = 2.0


class FakeTail:
    """A tail whose reads end as the test says.

    Attributes:
        reads: Number of reads.
        brings: Version that the next read brings, or 0 for none.
        error: Error of the next reads, or None.
    """

    def __init__(self):
        self.available = True
        self.receiving = False
        self.reads = 0
        self.brings = 0
        self.version = 3
        self.error = None

    async def refresh(self):
        self.reads += 1
        if self.error is not None:
            raise self.error
        self.version = max(self.version, self.brings)


class Scene:
    """A refresher and its tail."""

    def __init__(self):
        self.clock, self.tail = Clock(), FakeTail()
        self.refresher = Refresher(
            clock=self.clock,
            tail=self.tail,
            active_version=lambda: self.tail.version,
            run=ensureDeferred,
        )

    def tell(self, version):
        self.refresher.version_told(version)
        self.clock.advance(REFRESH_DELAY_S)


@pytest.fixture
def scene():
    return Scene()


def test_version_that_a_neighbour_has_is_read(scene):
    scene.tail.brings = 4
    scene.tell(4)
    assert (scene.tail.version, scene.tail.reads) == (4, 1)
    scene.clock.pump([0.1] * 50)
    assert scene.tail.reads == 1


def test_version_that_has_arrived_meanwhile_is_not_read(scene):
    scene.refresher.version_told(4)
    scene.tail.version = 4
    scene.clock.pump([0.1] * 50)
    assert not scene.tail.reads


# A second copy on a slow link delays the first.
def test_version_that_is_arriving_is_not_read_again(scene):
    scene.tail.receiving = True
    scene.tell(4)
    scene.clock.pump([0.1] * 5)
    assert not scene.tail.reads
    scene.tail.version, scene.tail.receiving = 4, False
    scene.clock.pump([0.1] * 5)
    assert not scene.tail.reads


# Guards against reads without end for a version that this node refuses.
def test_version_that_stays_inactive_once_read_is_not_read_again(scene):
    scene.tell(4)
    scene.clock.pump([0.1] * 50)
    assert scene.tail.reads == 1
    scene.tail.brings = 5
    scene.tell(5)
    assert (scene.tail.version, scene.tail.reads) == (5, 2)


def test_read_that_fails_is_repeated_after_a_pause(scene):
    scene.tail.error = StoreUnavailableError("status 503")
    scene.tell(4)
    assert scene.tail.reads == 1
    scene.tail.error, scene.tail.brings = None, 4
    scene.clock.advance(RETRY_DELAY_S)
    assert (scene.tail.version, scene.tail.reads) == (4, 2)


def test_store_that_does_not_answer_is_left_to_the_tail(scene):
    scene.tail.available = False
    scene.tell(4)
    scene.clock.pump([0.1] * 50)
    assert not scene.tail.reads


# Guards against a stand-in that has drifted from the tail.
def test_stand_in_has_the_attributes_of_a_tail():
    tail = Tail(
        store=None,
        clock=Clock(),
        rng=random.Random(1),
        topic="t",
        on_record=lambda record: None,
        on_answer=lambda: None,
        relies_on_own_reads=lambda: False,
        due_s=CONFIG_APPLY_S,
    )
    for name in ("available", "receiving", "refresh"):
        assert hasattr(tail, name)
