"""Endpoints are chosen from what is observed, near ones first."""

import collections
import random

from fulmarrudder.call.choose import EJECT_BASE_S, RAMP_S, Chooser, Told
from fulmarrudder.model import Condition, Presence


def endpoint(name, place="lima-1", version="1", slots=2, **changes):
    return Presence(
        node=name,
        incarnation=1,
        sequence=1,
        data_centre=place,
        call_address="",
        mesh_address="",
        service="caja",
        target_version=version,
        slots=slots,
        condition=changes.get("condition", Condition.READY),
    )


def chooser():
    return Chooser("lima-1", random.Random(1))


def shares(choosing, present, now, count=400, version="1"):
    found = collections.Counter()
    for _ in range(count):
        chosen = choosing.choose(present, version, now)
        found[chosen.node if chosen else None] += 1
    return found


def test_own_data_centre_comes_first_until_it_has_no_room():
    choosing = chooser()
    present = (endpoint("near"), endpoint("far", place="lima-2"))
    assert set(shares(choosing, present, 10.0)) == {"near"}
    choosing.sent(present[0], 10.0)
    choosing.sent(present[0], 10.0)
    assert set(shares(choosing, present, 10.0)) == {"far"}


def test_leaving_and_other_versions_get_nothing():
    choosing = chooser()
    present = (
        endpoint("a", condition=Condition.LEAVING),
        endpoint("b", version="2"),
    )
    assert choosing.choose(present, "1", 0.0) is None


def test_failing_endpoint_is_ejected_and_returns_slowly():
    choosing = chooser()
    present = (endpoint("good"), endpoint("bad"))
    shares(choosing, present, 0.0)
    for _ in range(3):
        choosing.sent(present[1], 100.0)
        choosing.finished(present[1], 100.0, 0.001, failed=True)
    assert set(shares(choosing, present, 100.1)) == {"good"}
    back = shares(choosing, present, 100.0 + EJECT_BASE_S + 0.1)
    warm = shares(choosing, present, 100.0 + EJECT_BASE_S + 2 * RAMP_S)
    assert 0 <= back["bad"] < warm["bad"]


def test_endpoint_where_nothing_listens_is_ejected_at_once():
    """Found in CI: three dead endpoints took all attempts of a request."""
    choosing = chooser()
    present = (endpoint("good"), endpoint("dead"))
    choosing.sent(present[1], 100.0)
    choosing.finished(present[1], 100.0, 0.001, failed=True, gone=True)
    assert set(shares(choosing, present, 100.1)) == {"good"}


def test_when_all_are_ejected_they_are_still_tried():
    choosing = chooser()
    present = (endpoint("only"),)
    for _ in range(3):
        choosing.sent(present[0], 0.0)
        choosing.finished(present[0], 0.0, 0.001, failed=True)
    assert choosing.choose(present, "1", 0.1) == present[0]


def test_slow_endpoint_gets_less_whatever_it_reports():
    choosing = chooser()
    present = (endpoint("fast"), endpoint("slow"))
    for _ in range(50):
        for one, took in zip(present, (0.002, 0.2), strict=True):
            choosing.sent(one, 0.0)
            choosing.finished(one, 0.0, took, failed=False)
    found = shares(choosing, present, 100.0)
    assert found["fast"] > 10 * found["slow"]


def test_endpoint_that_is_told_to_be_full_is_left_for_one_with_room():
    """Many entry nodes: what this one has sent says little of the load."""
    choosing = chooser()
    present = (endpoint("near"), endpoint("far", place="lima-2"))
    told = Told(load=4, held_s=0.1)
    choosing.told(present[0], 9.9, told)
    assert set(shares(choosing, present, 10.0)) == {"far"}
    assert not choosing.has_room(present[0], 10.0)
    assert choosing.has_room(present[0], 20.0)


def test_large_body_stays_in_its_data_centre_longer():
    choosing = chooser()
    present = (endpoint("near"), endpoint("far", place="lima-2"))
    choosing.told(present[0], 10.0, Told(load=3, held_s=0.1))
    choosing.told(present[1], 10.0, Told(load=0, held_s=0.1))
    small = choosing.choose(present, None, 10.0)
    large = choosing.choose(present, None, 10.0, body_bytes=60_000)
    assert (small.node, large.node) == ("far", "near")


def test_newcomer_is_asked_although_others_are_enough():
    """Pozarnik's quiet-1: targets that joined elsewhere got nothing."""
    choosing = chooser()
    present = (endpoint("near"), endpoint("new", place="lima-2"))
    choosing.told(present[0], 10.0, Told(load=0, held_s=0.1))
    assert 0 < shares(choosing, present, 10.0)["new"] < 100


def test_wait_is_known_only_while_all_have_told_of_late():
    choosing = chooser()
    present = (endpoint("a"), endpoint("b"))
    choosing.told(present[0], 10.0, Told(load=5, held_s=0.1))
    assert choosing.shortest_wait(present, 10.0) is None
    choosing.told(present[1], 10.0, Told(load=3, held_s=0.1))
    assert 0.05 < choosing.shortest_wait(present, 10.0).wait_s < 0.15
    assert choosing.shortest_wait(present, 11.0) is None
