"""Endpoints are chosen from what is observed, near ones first."""

import collections
import random

from fulmarrudder.call.endpoint_stats import (
    LOAD_REPORT_TTL_S,
    LoadReport,
    SlotState,
)
from fulmarrudder.call.load_balancer import (
    BASE_EJECTION_S,
    SLOW_START_S,
    LoadBalancer,
)
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


def balancer():
    return LoadBalancer("lima-1", random.Random(1))


def shares(choosing, present, now, count=400, version="1"):
    found = collections.Counter()
    for _ in range(count):
        chosen = choosing.choose(present, version, now)
        found[chosen.node if chosen else None] += 1
    return found


def test_own_data_centre_comes_first_until_it_has_no_room():
    choosing = balancer()
    present = (endpoint("near"), endpoint("far", place="lima-2"))
    assert set(shares(choosing, present, 10.0)) == {"near"}
    choosing.record_sent(present[0], 10.0)
    choosing.record_sent(present[0], 10.0)
    assert set(shares(choosing, present, 10.0)) == {"far"}


def test_answer_that_comes_soon_enough_is_taken_from_near():
    """Played pozarnik-mesh scale-1: bytes between data centres cost 0.18 of it.

    Answers from far that came sooner than from near had no greater worth, as
    both came within the latency that callers hoped for.
    """
    choosing = balancer()
    near, far = endpoint("near"), endpoint("far", place="lima-2")
    shares(choosing, (near, far), 0.0)
    choosing.record_load_report(
        near, 10.0, LoadReport(load=0, service_time_s=0.15)
    )
    choosing.record_load_report(
        far, 10.0, LoadReport(load=0, service_time_s=0.05)
    )
    assert choosing.choose((near, far), "1", 10.0, aim_s=0.4) is near
    assert choosing.choose((near, far), "1", 10.0, aim_s=0.1) is far


def test_target_beside_is_asked_first_while_it_is_soon_enough():
    """The same day: half of the processor time went into hops."""
    choosing = LoadBalancer("lima-1", random.Random(1), node="own")
    own, near = endpoint("own"), endpoint("near")
    shares(choosing, (own, near), 0.0)
    choosing.record_load_report(
        own, 10.0, LoadReport(load=1, service_time_s=0.1)
    )
    choosing.record_load_report(
        near, 10.0, LoadReport(load=0, service_time_s=0.02)
    )
    assert choosing.choose((own, near), "1", 10.0, aim_s=0.4) is own
    choosing.record_load_report(
        own, 10.0, LoadReport(load=2, service_time_s=0.1)
    )
    assert choosing.choose((own, near), "1", 10.0, aim_s=0.4) is near


def test_large_body_is_not_sent_anywhere_just_to_learn():
    """Played quiet-1: uploads crossed data centres to targets yet unknown."""
    choosing = balancer()
    near, far = endpoint("near"), endpoint("far", place="lima-2")
    choosing.record_load_report(
        near, 10.0, LoadReport(load=0, service_time_s=0.1)
    )
    found = {
        choosing.choose((near, far), "1", 10.0, body_bytes=60_000).node
        for _ in range(400)
    }
    assert found == {"near"}


def test_endpoint_that_owes_answers_and_tells_nothing_is_left():
    """The same day: for 6 s of a cut, most requests went into it and died."""
    choosing = balancer()
    near, far = endpoint("near"), endpoint("far", place="lima-2")
    shares(choosing, (near, far), 0.0)
    for presence in (near, far):
        choosing.record_load_report(
            presence, 10.0, LoadReport(load=0, service_time_s=0.05)
        )
    choosing.record_sent(near, 10.0)
    assert choosing.choose((near, far), "1", 10.01, aim_s=0.4) is near
    assert choosing.choose((near, far), "1", 10.5, aim_s=0.4) is far
    choosing.record_load_report(
        near, 10.5, LoadReport(load=0, service_time_s=0.05)
    )
    assert choosing.choose((near, far), "1", 10.51, aim_s=0.4) is near


def test_leaving_and_other_versions_get_nothing():
    choosing = balancer()
    present = (
        endpoint("a", condition=Condition.LEAVING),
        endpoint("b", version="2"),
    )
    assert choosing.choose(present, "1", 0.0) is None


def test_failing_endpoint_is_ejected_and_returns_slowly():
    choosing = balancer()
    present = (endpoint("good"), endpoint("bad"))
    shares(choosing, present, 0.0)
    for _ in range(3):
        choosing.record_sent(present[1], 100.0)
        choosing.record_finished(present[1], 100.0, 0.001, failed=True)
    assert set(shares(choosing, present, 100.1)) == {"good"}
    back = shares(choosing, present, 100.0 + BASE_EJECTION_S + 0.1)
    warm = shares(choosing, present, 100.0 + BASE_EJECTION_S + 2 * SLOW_START_S)
    assert 0 <= back["bad"] < warm["bad"]


def test_endpoint_where_nothing_listens_is_ejected_at_once():
    """Found in CI: three dead endpoints took all attempts of a request."""
    choosing = balancer()
    present = (endpoint("good"), endpoint("dead"))
    choosing.record_sent(present[1], 100.0)
    choosing.record_finished(present[1], 100.0, 0.001, failed=True, gone=True)
    assert set(shares(choosing, present, 100.1)) == {"good"}


def test_when_all_are_ejected_they_are_still_tried():
    choosing = balancer()
    present = (endpoint("only"),)
    for _ in range(3):
        choosing.record_sent(present[0], 0.0)
        choosing.record_finished(present[0], 0.0, 0.001, failed=True)
    assert choosing.choose(present, "1", 0.1) == present[0]


def test_slow_endpoint_gets_less_whatever_it_reports():
    choosing = balancer()
    present = (endpoint("fast"), endpoint("slow"))
    for _ in range(50):
        for one, took in zip(present, (0.002, 0.2), strict=True):
            choosing.record_sent(one, 0.0)
            choosing.record_finished(one, 0.0, took, failed=False)
    found = shares(choosing, present, 100.0)
    assert found["fast"] > 10 * found["slow"]


def test_endpoint_that_is_told_to_be_full_is_left_for_one_with_room():
    """Many entry nodes: what this one has sent says little of the load."""
    choosing = balancer()
    present = (endpoint("near"), endpoint("far", place="lima-2"))
    told = LoadReport(load=4, service_time_s=0.1)
    choosing.record_load_report(present[0], 9.9, told)
    assert set(shares(choosing, present, 10.0)) == {"far"}
    assert choosing.slot_state(present[0], 10.0) is SlotState.FULL
    assert choosing.slot_state(present[0], 20.0) is SlotState.UNKNOWN


def test_room_is_known_only_of_late():
    """Played pozarnik-mesh scale-1: 58 of 100 hops were turned away.

    Nodes took what had not been told of late for room, and sent requests from
    one full target to the next.
    """
    choosing = balancer()
    one = endpoint("one")
    assert choosing.slot_state(one, 10.0) is SlotState.UNKNOWN
    choosing.record_load_report(
        one, 10.0, LoadReport(load=1, service_time_s=0.1)
    )
    assert choosing.slot_state(one, 10.0) is SlotState.FREE
    assert (
        choosing.slot_state(one, 10.1 + LOAD_REPORT_TTL_S) is SlotState.UNKNOWN
    )


def test_target_that_turns_requests_away_gets_fewer():
    """The same day: four targets that shed everything looked idle and quick."""
    choosing = balancer()
    present = (endpoint("good", slots=9), endpoint("shedding", slots=9))
    shares(choosing, present, 0.0)
    choosing.record_load_report(
        present[0], 10.0, LoadReport(load=18, service_time_s=0.1)
    )
    choosing.record_load_report(
        present[1], 10.0, LoadReport(load=0, service_time_s=0.1)
    )
    assert set(shares(choosing, present, 10.0)) == {"shedding"}
    for _ in range(8):
        choosing.record_sent(present[1], 10.0)
        choosing.record_finished(
            present[1], 10.0, None, failed=False, shed=True
        )
    assert set(shares(choosing, present, 10.0)) == {"good"}
    assert choosing.slot_state(present[1], 10.0) is SlotState.FREE


def test_kinds_of_requests_are_weighed_by_their_own_time():
    """Played quiet-1: lookups that take long were taken for average ones."""
    choosing = balancer()
    near, far = endpoint("near"), endpoint("far", place="lima-2")
    shares(choosing, (near, far), 0.0)
    for presence, lookup_s in ((near, 0.3), (far, 0.1)):
        choosing.record_load_report(
            presence,
            10.0,
            LoadReport(load=0, service_time_s=lookup_s),
            "lookup",
        )
        choosing.record_load_report(
            presence, 10.0, LoadReport(load=0, service_time_s=0.02), "check"
        )

    def chosen(kind):
        return choosing.choose((near, far), "1", 10.0, kind=kind, aim_s=0.4)

    assert (chosen("check"), chosen("lookup")) == (near, far)


def test_large_body_stays_in_its_data_centre_longer():
    choosing = balancer()
    present = (endpoint("near"), endpoint("far", place="lima-2"))
    choosing.record_load_report(
        present[0], 10.0, LoadReport(load=3, service_time_s=0.1)
    )
    choosing.record_load_report(
        present[1], 10.0, LoadReport(load=0, service_time_s=0.1)
    )
    small = choosing.choose(present, None, 10.0)
    large = choosing.choose(present, None, 10.0, body_bytes=60_000)
    assert (small.node, large.node) == ("far", "near")


def test_newcomer_is_asked_although_others_are_enough():
    """Pozarnik's quiet-1: targets that joined elsewhere got nothing."""
    choosing = balancer()
    present = (endpoint("near"), endpoint("new", place="lima-2"))
    choosing.record_load_report(
        present[0], 10.0, LoadReport(load=0, service_time_s=0.1)
    )
    assert 0 < shares(choosing, present, 10.0)["new"] < 100


def test_wait_is_known_only_while_all_have_told_of_late():
    choosing = balancer()
    present = (endpoint("a"), endpoint("b"))
    choosing.record_load_report(
        present[0], 10.0, LoadReport(load=5, service_time_s=0.1)
    )
    assert choosing.shortest_wait(present, 10.0) is None
    choosing.record_load_report(
        present[1], 10.0, LoadReport(load=3, service_time_s=0.1)
    )
    assert 0.05 < choosing.shortest_wait(present, 10.0).wait_s < 0.15
    assert choosing.shortest_wait(present, 11.0) is None
