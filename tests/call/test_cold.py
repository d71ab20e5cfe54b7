"""A target that is cold gets few requests, whenever it becomes cold."""

import random

import pytest

from fulmarrudder.call.target_limits import LimitSource, TargetLimits
from fulmarrudder.membership.announce import WARM_TIMEOUT_S
from fulmarrudder.model import Evacuation, Service
from tests.call.test_host import Harness, RecordingSink

COLD_PER_S = 12.0
BOUND = 1.5 * COLD_PER_S + 8
ANNOUNCED_EACH_S = 1.5
STEP_S = 0.01
COLD_S = 3.0


class Scene(Harness):
    """A target under more load than it takes while cold.

    Attributes:
        sent_at: Clock seconds at which requests were sent to it.
    """

    def __init__(self, cold_per_s=COLD_PER_S):
        super().__init__()
        self.sent_at = []
        self.host.data_centre = "lima-1"
        self.local_target.announcement_timeout_s = 15.0
        service = Service(
            name="caja", target_versions=(), initial="", cold_per_s=cold_per_s
        )
        self.host.cold.set_services([service])
        self.tell()

    def tell(self, cold_s=0.0, **fields):
        """Lets the target announce how long it stays cold."""
        until = self.clock.seconds() + cold_s if cold_s else 0.0
        self.announce(slots=6, cold_until=until, **fields)

    def evacuate(self, offset, *, in_force=True):
        evacuation = Evacuation(
            data_centre="lima-1", offset=offset, in_force=in_force
        )
        self.facts.merge(evacuation, 0.0)
        self.host.apply_evacuation()

    def load(self, seconds):
        """Sends 100 requests a second; the target answers at once."""
        running = []
        for _ in range(round(seconds / STEP_S)):
            running.append(self.send_request(left=0.5)[1])
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


def restarted(scene):
    scene.load(0.5)
    scene.local_target.mark_unreachable()
    scene.load(0.5)
    scene.tell(COLD_S, incarnation=2)


def evacuated(scene):
    """It became cold meanwhile; it offers few slots before traffic returns."""
    scene.evacuate(5)
    scene.tell()
    scene.load(0.5)
    assert not scene.sent_at
    assert scene.local_target.offered_slots < 6
    scene.evacuate(6, in_force=False)


def not_heard(scene):
    """It may have been cut off, and have become cold behind the cut."""
    scene.load(WARM_TIMEOUT_S - 0.5)
    assert not scene.host.cold.is_limiting
    scene.load(0.6)


def frozen(scene):
    """The node did not run, and works off what has queued up at it."""
    scene.load(0.5)
    scene.clock.advance(WARM_TIMEOUT_S)


# A crowd at targets that have just come back made them crash again.
@pytest.mark.parametrize("become", [restarted, evacuated, not_heard, frozen])
def test_target_that_may_be_cold_gets_few_until_it_tells(become):
    scene = Scene()
    become(scene)
    start = scene.clock.seconds()
    scene.load(1.4)
    assert 0 < scene.most_in_a_second(start, scene.clock.seconds()) <= BOUND
    assert scene.host.cold.is_limiting
    scene.tell(incarnation=scene.local_target.latest.incarnation)
    assert not scene.host.cold.is_limiting


@pytest.mark.parametrize("excess", [1.0, 1.5])
@pytest.mark.parametrize("seed", range(4))
def test_target_cold_again_at_any_moment_gets_few_once_told(seed, excess):
    scene, rng = Scene(), random.Random(seed)
    scene.host.cold.set_excess(excess)
    for _ in range(3):
        scene.load(rng.uniform(0.1, ANNOUNCED_EACH_S))
        scene.tell(COLD_S)
        start = scene.clock.seconds()
        scene.load(ANNOUNCED_EACH_S)
        scene.tell(COLD_S - ANNOUNCED_EACH_S)
        scene.load(COLD_S - ANNOUNCED_EACH_S)
        most = scene.most_in_a_second(start + STEP_S, start + COLD_S)
        assert excess * COLD_PER_S - 1 <= most <= BOUND
        scene.load(0.2)
        assert scene.local_target.offered_slots == 6


def test_service_that_names_no_limit_is_not_limited():
    scene = Scene(cold_per_s=0.0)
    scene.tell(COLD_S)
    scene.load(1.0)
    assert scene.most_in_a_second(0.0, 1.0) > BOUND


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
