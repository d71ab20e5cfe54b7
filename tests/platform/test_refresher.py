"""A node that is told of a version begins its read afresh, if it lacks it."""

import pytest
from twisted.internet.task import Clock

from fulmarrudder.platform.refresher import REFRESH_DELAY_S, Refresher


class FakeTail:
    """A tail that counts how often its read was begun afresh."""

    def __init__(self):
        self.refreshes = 0
        self.next_offset = 0

    def refresh(self):
        self.refreshes += 1


class Scene:
    """A refresher and its tail; version 3 is active."""

    def __init__(self):
        self.clock, self.tail, self.version = Clock(), FakeTail(), 3
        self.refresher = Refresher(
            clock=self.clock,
            tail=self.tail,
            active_version=lambda: self.version,
        )


@pytest.fixture
def scene():
    return Scene()


def test_read_begins_afresh_for_a_version_that_is_missing(scene):
    scene.refresher.version_told(4)
    assert not scene.tail.refreshes
    scene.clock.advance(REFRESH_DELAY_S)
    assert scene.tail.refreshes == 1


def test_version_that_has_arrived_meanwhile_is_not_read(scene):
    scene.refresher.version_told(4)
    scene.version = 4
    scene.clock.pump([0.1] * 50)
    assert not scene.tail.refreshes


# Guards against reads without end for a version that this node refuses.
def test_version_is_read_once_however_often_it_is_told(scene):
    for _ in range(50):
        scene.refresher.version_told(4)
        scene.clock.advance(0.1)
    assert scene.tail.refreshes == 1
    scene.refresher.version_told(5)
    scene.clock.advance(REFRESH_DELAY_S)
    assert scene.tail.refreshes == 2


def test_versions_told_in_a_row_begin_one_read(scene):
    for version in range(4, 9):
        scene.refresher.version_told(version)
        scene.clock.advance(REFRESH_DELAY_S / 10)
    scene.clock.pump([0.1] * 50)
    assert scene.tail.refreshes == 1
