"""A target that is cold gets few requests, whenever it becomes cold."""

import random

import pytest

from fulmarrudder.call.target_limits import LimitSource, TargetLimits
from fulmarrudder.membership import Announcement
from fulmarrudder.membership.announce import WARM_TIMEOUT_S
from fulmarrudder.model import Condition, Evacuation, Service
from tests.call.test_host import Harness, RecordingSink

COLD_PER_S = 12.0
BOUND = 1.5 * COLD_PER_S + 8
ANNOUNCED_EACH_S = 1.5
STEP_S = 0.01


class Scene(Harness):
    """A target under more load than it takes while cold.

    Attributes:
        cold_until: Clock seconds until which the target is cold.
        sent_at: Clock seconds at which requests were sent to it.
    """

    def __init__(self, cold_per_s=COLD_PER_S):
        super().__init__()
        self.cold_until = 0.0
        self.sent_at = []
        self.host.data_centre = "lima-1"
        self.host.cold.set_services(
            [
                Service(
                    name="caja",
                    target_versions=(),
                    initial="",
                    cold_start_ms=3000,
                    cold_per_s=cold_per_s,
                )
            ]
        )

    def tell(self, incarnation=1):
        """Lets the target announce itself."""
        self.sequence += 1
        self.local_target.update(
            Announcement(
                service="caja",
                target_version="1",
                address="127.0.0.1:1",
                incarnation=incarnation,
                sequence=self.sequence,
                condition=Condition.READY,
                slots=6,
                connections=9,
                cold_until=self.cold_until,
            )
        )
        self.host.apply_announcement()

    def become_cold(self, seconds):
        self.cold_until = self.clock.seconds() + seconds

    def evacuate(self, offset, *, in_force=True):
        self.facts.merge(
            Evacuation(data_centre="lima-1", offset=offset, in_force=in_force),
            0.0,
        )
        self.host.apply_evacuation()

    def load(self, seconds):
        """Sends 100 requests a second; the target answers at once."""
        running = []
        for _ in range(round(seconds / STEP_S)):
            _, found = self.send_request(left=0.5)
            running.append(found)
            self.clock.advance(STEP_S)
            self.host.cold.refresh()
            while len(self.sent_at) < len(self.pool.made):
                self.answer(len(self.sent_at))
                self.sent_at.append(self.clock.seconds())
            running = [f for f in running if not self._read(f)]

    def _read(self, found):
        if found and found[0].refusal is None:
            found[0].stream_to(RecordingSink())
        return bool(found)

    def most_in_a_second(self, start, end):
        times = [t for t in self.sent_at if start <= t < end]
        return max(
            (sum(t <= other < t + 1.0 for other in times) for t in times),
            default=0,
        )


# A crowd at targets that have just come back made them crash again.
@pytest.mark.parametrize("seed", range(8))
def test_target_cold_again_at_any_moment_gets_few_once_told(seed):
    scene, rng = Scene(), random.Random(seed)
    for _ in range(3):
        scene.cold_until = 0.0
        scene.tell()
        scene.load(rng.uniform(0.1, ANNOUNCED_EACH_S))
        scene.become_cold(3.0)
        scene.tell()
        told_at = scene.clock.seconds()
        scene.load(ANNOUNCED_EACH_S)
        scene.tell()
        scene.load(scene.cold_until - scene.clock.seconds())
        most = scene.most_in_a_second(told_at + STEP_S, scene.cold_until)
        assert COLD_PER_S - 1 <= most <= BOUND


def test_target_is_limited_no_longer_once_it_is_warm():
    scene = Scene()
    scene.become_cold(1.0)
    scene.tell()
    assert scene.host.cold.is_limiting
    assert scene.local_target.offered_slots < 6
    scene.load(2.5)
    assert not scene.host.cold.is_limiting
    assert scene.local_target.offered_slots == 6
    assert scene.most_in_a_second(1.2, 2.5) > BOUND


def test_restarted_target_is_as_cold_as_its_new_start_tells():
    scene = Scene()
    scene.tell()
    scene.load(0.5)
    scene.local_target.mark_unreachable()
    scene.load(0.5)
    scene.become_cold(3.0)
    scene.tell(incarnation=2)
    told_at = scene.clock.seconds()
    scene.load(2.9)
    assert scene.most_in_a_second(told_at, scene.clock.seconds()) <= BOUND


# Targets become cold while nothing is sent to them, and the traffic of a whole data
# centre returns at one moment.
@pytest.mark.parametrize("told_after_s", [0.05, 1.4])
def test_target_counts_as_cold_after_an_evacuation_until_it_tells(told_after_s):
    scene = Scene()
    scene.tell()
    scene.evacuate(5)
    scene.load(0.5)
    assert not scene.sent_at
    scene.evacuate(6, in_force=False)
    back_at = scene.clock.seconds()
    scene.load(told_after_s)
    scene.become_cold(2.0)
    scene.tell()
    scene.load(1.5)
    end = scene.clock.seconds()
    assert 0 < scene.most_in_a_second(back_at, end) <= BOUND


def test_warm_target_is_limited_after_an_evacuation_only_until_it_tells():
    scene = Scene()
    scene.tell()
    scene.evacuate(5)
    scene.evacuate(6, in_force=False)
    assert scene.host.cold.is_limiting
    scene.tell()
    assert not scene.host.cold.is_limiting


@pytest.mark.parametrize("excess", [1.0, 1.5])
def test_limit_grows_by_the_excess_that_is_allowed(excess):
    scene = Scene()
    scene.host.cold.set_excess(excess)
    scene.become_cold(3.0)
    scene.tell()
    scene.load(2.9)
    most = scene.most_in_a_second(1.0, 2.9)
    assert excess * COLD_PER_S - 1 <= most <= BOUND


def test_service_that_names_no_limit_is_not_limited():
    scene = Scene(cold_per_s=0.0)
    scene.become_cold(3.0)
    scene.tell()
    scene.load(1.0)
    assert not scene.host.cold.is_limiting
    assert scene.most_in_a_second(0.0, 1.0) > BOUND


# It may have been cut off, and have become cold behind the cut.
def test_target_that_was_not_heard_for_long_counts_as_cold():
    scene = Scene()
    scene.tell()
    scene.load(WARM_TIMEOUT_S - 0.5)
    assert not scene.host.cold.is_limiting
    scene.load(0.6)
    assert scene.host.cold.is_limiting
    scene.tell()
    assert not scene.host.cold.is_limiting


def test_evacuated_target_offers_few_slots_before_traffic_returns():
    scene = Scene()
    scene.tell()
    scene.evacuate(5)
    scene.tell()
    assert scene.local_target.offered_slots < 6


# Thawed, a node works off what had queued up at it meanwhile.
@pytest.mark.parametrize(("told_s", "frozen_s"), [(8.0, 3.0), (0.0, 5.0)])
def test_node_that_was_frozen_sends_few_to_its_cold_target(told_s, frozen_s):
    scene = Scene()
    scene.local_target.announcement_timeout_s = 15.0
    scene.become_cold(told_s)
    scene.tell()
    scene.load(0.5)
    scene.clock.advance(frozen_s)
    thawed_at = scene.clock.seconds()
    scene.load(2.0)
    most = scene.most_in_a_second(thawed_at, scene.clock.seconds())
    assert 0 < most <= BOUND


@pytest.mark.parametrize(
    ("advised", "cold", "lowest"),
    [(8.0, 12.0, 8.0), (30.0, 12.0, 12.0), (30.0, float("inf"), 30.0)],
)
def test_lowest_of_two_limits_counts(advised, cold, lowest):
    scene = Scene()
    limits = TargetLimits(scene.local_target, scene.host.slots)
    limits.set(LimitSource.ADVISED, advised)
    limits.set(LimitSource.COLD, cold)
    assert limits.per_s == scene.host.slots.rate.per_s == lowest
