"""The newest announcement of a live target applies."""

import pytest
from twisted.internet.task import Clock

from fulmarrudder.membership import Announcement, LocalTarget
from fulmarrudder.model import Condition

SILENT_S = 3.0
LIVE = 1_000
AHEAD = 9_000


def announcement(sequence, *, incarnation=LIVE, condition=Condition.READY):
    return Announcement(
        service="caja",
        target_version="v1",
        address="10.0.0.1:80",
        incarnation=incarnation,
        sequence=sequence,
        condition=condition,
        slots=3,
        connections=10,
        id=f"i-{incarnation}",
    )


class Scene:
    """A local target, and what is announced of it."""

    def __init__(self):
        self.clock = Clock()
        self.target = LocalTarget(self.clock, announcement_timeout_s=SILENT_S)

    def announce(self, *args, **fields):
        return self.target.update(announcement(*args, **fields))

    def fall_silent(self):
        self.clock.advance(SILENT_S + 0.1)

    def refuse_connections(self):
        self.target.mark_unreachable()

    @property
    def used(self):
        """Id of the target that gets requests, or None."""
        is_ready = self.target.condition is Condition.READY
        return self.target.latest.id if is_ready else None


@pytest.fixture
def scene():
    return Scene()


# Guards against one announcement that started later than the live target, by its own
# account, and keeps that target out for good.
@pytest.mark.parametrize("end", [Scene.fall_silent, Scene.refuse_connections])
def test_live_target_replaces_a_silent_one_that_started_later(scene, end):
    scene.announce(1)
    scene.announce(1, incarnation=AHEAD)
    end(scene)
    assert scene.announce(2)
    assert scene.used == "i-1000"


@pytest.mark.parametrize("end", [Scene.fall_silent, Scene.refuse_connections])
def test_next_start_is_used_though_its_clock_was_set_back(scene, end):
    scene.announce(7, incarnation=AHEAD)
    end(scene)
    scene.announce(1)
    assert scene.used == "i-1000"
    scene.announce(2)
    assert scene.used == "i-1000"


# Guards against a delayed announcement that replaces the live target.
def test_earlier_start_does_not_replace_a_live_target(scene):
    scene.announce(1, incarnation=AHEAD)
    scene.clock.advance(SILENT_S - 0.1)
    assert not scene.announce(99)
    assert scene.used == "i-9000"


# Guards against a repeated announcement that renews a target that has fallen silent.
def test_repeated_announcement_does_not_renew_a_silent_target(scene):
    scene.announce(1)
    scene.fall_silent()
    assert not scene.announce(1)
    assert scene.used is None


# Guards against the return of a target that told that it leaves.
@pytest.mark.parametrize("end", [Scene.fall_silent, Scene.refuse_connections])
def test_target_that_leaves_is_not_replaced_by_an_earlier_start(scene, end):
    scene.announce(1, incarnation=AHEAD)
    scene.target.leave()
    end(scene)
    assert not scene.announce(1)
    assert scene.used is None


# The same once the next target has replaced it.
@pytest.mark.parametrize("end", [Scene.fall_silent, Scene.refuse_connections])
@pytest.mark.parametrize("sequences", [(5,), (5, 6)])
def test_late_announcement_of_a_departed_target_is_not_used(
    scene, end, sequences
):
    scene.announce(1)
    scene.target.leave()
    scene.announce(1, incarnation=AHEAD)
    assert scene.used == "i-9000"
    end(scene)
    for sequence in sequences:
        scene.announce(sequence)
        assert scene.used is None
