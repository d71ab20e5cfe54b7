"""A lease lapses only when the log answers and no heartbeat comes."""

import random

from twisted.internet.task import Clock

from fulmarrudder.distribution import (
    Candidate,
    Claim,
    DelegateClaim,
    LeaseRenewer,
    LeaseWatcher,
    decide_claim,
)
from fulmarrudder.distribution.lease import LEASE_S
from fulmarrudder.fold import duty_named
from tests.call.fakes import FakeLog
from tests.conftest import Story, claim


class Scene:
    """A holder's keeper and another node's watch on one log."""

    def __init__(self):
        self.clock, self.log, self.story = Clock(), FakeLog(), Story()
        self.story.tell(claim(holder="n1/1"))
        self.watch = LeaseWatcher(self.log, self.clock, random.Random(1))
        self.watch.start()
        duty = duty_named(self.story.state, "controller")
        self.keeper = LeaseRenewer(
            self.log, self.clock, "n1/1", lambda: (duty,)
        )
        self.frozen = False

    def run(self, seconds):
        is_expired = False
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            if not self.frozen:
                self.keeper.tick()
            self.watch.track_log_outage()
            is_expired = self.watch.is_expired(self.story.state, "controller")
        return is_expired


def test_lease_that_is_renewed_does_not_lapse():
    scene = Scene()
    assert not scene.run(4 * LEASE_S)
    assert scene.keeper.holds_lease()


def test_lease_of_a_frozen_holder_lapses():
    scene = Scene()
    scene.run(2.0)
    scene.frozen = True
    assert not scene.run(LEASE_S - 2.0)
    assert scene.run(3.0)


def test_nothing_lapses_while_the_log_is_away_or_just_after():
    scene = Scene()
    scene.run(2.0)
    scene.log.away = True
    assert not scene.run(5 * LEASE_S)
    assert not scene.keeper.holds_lease()
    scene.log.away = False
    assert not scene.run(2 * LEASE_S)


def standing(holder="n2/1", **changes):
    values = dict(
        holder=holder,
        data_centre="lima-1",
        relays=2,
        orphaned=False,
        has_children=True,
    )
    return Candidate(**{**values, **changes})


def test_orphan_claims_a_free_relay_duty_and_a_child_does_not():
    story = Story()
    wanted = decide_claim(story.state, standing(orphaned=True), lambda d: True)
    assert wanted == Claim(duty="relay/lima-1/0", expected_term=0)
    assert decide_claim(story.state, standing(), lambda d: True) is None


def test_relay_appoints_an_heir_and_claims_the_controllers_duty():
    story = Story()
    story.tell(claim(duty="relay/lima-1/0", holder="n2/1"))

    def is_expired(duty):
        return duty != "relay/lima-1/0"

    wanted = decide_claim(story.state, standing(), is_expired)
    assert wanted == DelegateClaim(duty="relay/lima-1/1", expected_term=0)
    wanted = decide_claim(story.state, standing(has_children=False), is_expired)
    assert wanted == Claim(duty="controller", expected_term=0)
