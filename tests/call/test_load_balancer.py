"""Endpoints are selected by observed and reported load, local ones first."""

import collections
import random

from fulmarrudder.call.ejection import BASE_EJECTION_S
from fulmarrudder.call.endpoint_stats import (
    LOAD_REPORT_TTL_S,
    LoadReport,
    SlotState,
)
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.scoring import SLOW_START_S
from fulmarrudder.model import Condition, Presence


def endpoint(name, data_centre="lima-1", version="1", slots=2, **changes):
    return Presence(
        node=name,
        incarnation=1,
        sequence=1,
        data_centre=data_centre,
        call_address="",
        mesh_address="",
        service="caja",
        target_version=version,
        slots=slots,
        condition=changes.get("condition", Condition.READY),
    )


def make_balancer():
    return LoadBalancer("lima-1", random.Random(1))


def count_choices(balancer, endpoints, now, count=400, version="1"):
    found = collections.Counter()
    for _ in range(count):
        chosen = balancer.choose(endpoints, version, now)
        found[chosen.node if chosen else None] += 1
    return found


def test_own_data_centre_is_preferred_until_its_slots_are_taken():
    balancer = make_balancer()
    endpoints = (endpoint("near"), endpoint("far", data_centre="lima-2"))
    assert set(count_choices(balancer, endpoints, 10.0)) == {"near"}
    balancer.record_sent(endpoints[0], 10.0)
    balancer.record_sent(endpoints[0], 10.0)
    assert set(count_choices(balancer, endpoints, 10.0)) == {"far"}


def test_local_endpoint_is_preferred_while_it_meets_the_objective():
    """Bytes sent between data centres are expensive.

    Requests went to another data centre because its answers were expected
    sooner, although the local endpoint met the latency objective as well.
    """
    balancer = make_balancer()
    near, far = endpoint("near"), endpoint("far", data_centre="lima-2")
    count_choices(balancer, (near, far), 0.0)
    balancer.record_load_report(
        near, 10.0, LoadReport(load=0, service_time_s=0.15)
    )
    balancer.record_load_report(
        far, 10.0, LoadReport(load=0, service_time_s=0.05)
    )
    assert (
        balancer.choose((near, far), "1", 10.0, latency_objective_s=0.4) is near
    )
    assert (
        balancer.choose((near, far), "1", 10.0, latency_objective_s=0.1) is far
    )


def test_local_target_is_preferred_while_it_meets_the_objective():
    """Calls through a second node used half of the processor time."""
    balancer = LoadBalancer("lima-1", random.Random(1), node="own")
    own, near = endpoint("own"), endpoint("near")
    count_choices(balancer, (own, near), 0.0)
    balancer.record_load_report(
        own, 10.0, LoadReport(load=1, service_time_s=0.1)
    )
    balancer.record_load_report(
        near, 10.0, LoadReport(load=0, service_time_s=0.02)
    )
    assert (
        balancer.choose((own, near), "1", 10.0, latency_objective_s=0.4) is own
    )
    balancer.record_load_report(
        own, 10.0, LoadReport(load=2, service_time_s=0.1)
    )
    assert (
        balancer.choose((own, near), "1", 10.0, latency_objective_s=0.4) is near
    )


def test_large_body_is_not_used_to_explore():
    """Uploads were sent to other data centres to explore unreported targets."""
    balancer = make_balancer()
    near, far = endpoint("near"), endpoint("far", data_centre="lima-2")
    balancer.record_load_report(
        near, 10.0, LoadReport(load=0, service_time_s=0.1)
    )
    found = {
        balancer.choose((near, far), "1", 10.0, body_bytes=60_000).node
        for _ in range(400)
    }
    assert found == {"near"}


def test_stalled_endpoint_is_avoided():
    """During a 6 s partition most requests went to cut-off nodes and failed."""
    balancer = make_balancer()
    near, far = endpoint("near"), endpoint("far", data_centre="lima-2")
    count_choices(balancer, (near, far), 0.0)
    for presence in (near, far):
        balancer.record_load_report(
            presence, 10.0, LoadReport(load=0, service_time_s=0.05)
        )
    balancer.record_sent(near, 10.0)
    assert (
        balancer.choose((near, far), "1", 10.01, latency_objective_s=0.4)
        is near
    )
    assert (
        balancer.choose((near, far), "1", 10.5, latency_objective_s=0.4) is far
    )
    balancer.record_load_report(
        near, 10.5, LoadReport(load=0, service_time_s=0.05)
    )
    assert (
        balancer.choose((near, far), "1", 10.51, latency_objective_s=0.4)
        is near
    )


def test_leaving_targets_and_other_versions_get_no_requests():
    balancer = make_balancer()
    endpoints = (
        endpoint("a", condition=Condition.LEAVING),
        endpoint("b", version="2"),
    )
    assert balancer.choose(endpoints, "1", 0.0) is None


def test_failing_endpoint_is_ejected_and_returns_with_slow_start():
    balancer = make_balancer()
    endpoints = (endpoint("good"), endpoint("bad"))
    count_choices(balancer, endpoints, 0.0)
    for _ in range(3):
        balancer.record_sent(endpoints[1], 100.0)
        balancer.record_finished(endpoints[1], 100.0, 0.001, failed=True)
    assert set(count_choices(balancer, endpoints, 100.1)) == {"good"}
    back = count_choices(balancer, endpoints, 100.0 + BASE_EJECTION_S + 0.1)
    warm = count_choices(
        balancer, endpoints, 100.0 + BASE_EJECTION_S + 2 * SLOW_START_S
    )
    assert 0 <= back["bad"] < warm["bad"]


def test_unreachable_endpoint_is_ejected_at_once():
    """Three unreachable endpoints exhausted the attempts of a request."""
    balancer = make_balancer()
    endpoints = (endpoint("good"), endpoint("dead"))
    balancer.record_sent(endpoints[1], 100.0)
    balancer.record_finished(
        endpoints[1], 100.0, 0.001, failed=True, unreachable=True
    )
    assert set(count_choices(balancer, endpoints, 100.1)) == {"good"}


def test_ejected_endpoints_are_used_when_there_are_no_others():
    balancer = make_balancer()
    endpoints = (endpoint("only"),)
    for _ in range(3):
        balancer.record_sent(endpoints[0], 0.0)
        balancer.record_finished(endpoints[0], 0.0, 0.001, failed=True)
    assert balancer.choose(endpoints, "1", 0.1) == endpoints[0]


def test_endpoint_with_higher_observed_latency_gets_fewer_requests():
    balancer = make_balancer()
    endpoints = (endpoint("fast"), endpoint("slow"))
    for _ in range(50):
        for one, latency_s in zip(endpoints, (0.002, 0.2), strict=True):
            balancer.record_sent(one, 0.0)
            balancer.record_finished(one, 0.0, latency_s, failed=False)
    found = count_choices(balancer, endpoints, 100.0)
    assert found["fast"] > 10 * found["slow"]


def test_endpoint_reported_full_is_passed_over_for_one_with_a_free_slot():
    """With many entry nodes, the requests of one say little about the load."""
    balancer = make_balancer()
    endpoints = (endpoint("near"), endpoint("far", data_centre="lima-2"))
    report = LoadReport(load=4, service_time_s=0.1)
    balancer.record_load_report(endpoints[0], 9.9, report)
    assert set(count_choices(balancer, endpoints, 10.0)) == {"far"}
    assert balancer.slot_state(endpoints[0], 10.0) is SlotState.FULL
    assert balancer.slot_state(endpoints[0], 20.0) is SlotState.UNKNOWN


def test_slot_state_is_unknown_without_a_recent_report():
    """Under overload, 58 of 100 calls between nodes were refused.

    Entry nodes treated endpoints without a recent report as free, and sent
    requests from one full target to the next.
    """
    balancer = make_balancer()
    one = endpoint("one")
    assert balancer.slot_state(one, 10.0) is SlotState.UNKNOWN
    balancer.record_load_report(
        one, 10.0, LoadReport(load=1, service_time_s=0.1)
    )
    assert balancer.slot_state(one, 10.0) is SlotState.FREE
    assert (
        balancer.slot_state(one, 10.1 + LOAD_REPORT_TTL_S) is SlotState.UNKNOWN
    )


def test_target_that_sheds_requests_gets_fewer():
    """Four targets that shed every request looked idle and fast."""
    balancer = make_balancer()
    endpoints = (endpoint("good", slots=9), endpoint("shedding", slots=9))
    count_choices(balancer, endpoints, 0.0)
    balancer.record_load_report(
        endpoints[0], 10.0, LoadReport(load=18, service_time_s=0.1)
    )
    balancer.record_load_report(
        endpoints[1], 10.0, LoadReport(load=0, service_time_s=0.1)
    )
    assert set(count_choices(balancer, endpoints, 10.0)) == {"shedding"}
    for _ in range(8):
        balancer.record_sent(endpoints[1], 10.0)
        balancer.record_finished(
            endpoints[1], 10.0, None, failed=False, shed=True
        )
    assert set(count_choices(balancer, endpoints, 10.0)) == {"good"}
    assert balancer.slot_state(endpoints[1], 10.0) is SlotState.FREE


def test_routes_are_compared_by_their_own_service_time():
    """Slow lookups were estimated by the average over all routes."""
    balancer = make_balancer()
    near, far = endpoint("near"), endpoint("far", data_centre="lima-2")
    count_choices(balancer, (near, far), 0.0)
    for presence, lookup_s in ((near, 0.3), (far, 0.1)):
        balancer.record_load_report(
            presence,
            10.0,
            LoadReport(load=0, service_time_s=lookup_s),
            "lookup",
        )
        balancer.record_load_report(
            presence, 10.0, LoadReport(load=0, service_time_s=0.02), "check"
        )

    def chosen(route):
        return balancer.choose(
            (near, far), "1", 10.0, route=route, latency_objective_s=0.4
        )

    assert (chosen("check"), chosen("lookup")) == (near, far)


def test_large_body_needs_a_greater_gain_to_leave_its_data_centre():
    balancer = make_balancer()
    endpoints = (endpoint("near"), endpoint("far", data_centre="lima-2"))
    balancer.record_load_report(
        endpoints[0], 10.0, LoadReport(load=3, service_time_s=0.1)
    )
    balancer.record_load_report(
        endpoints[1], 10.0, LoadReport(load=0, service_time_s=0.1)
    )
    small = balancer.choose(endpoints, None, 10.0)
    large = balancer.choose(endpoints, None, 10.0, body_bytes=60_000)
    assert (small.node, large.node) == ("far", "near")


# Answers of some kilobytes crossed between data centres for a few milliseconds, as
# only the bodies of requests counted (rko-mesh: bytes took 0.18 of a busy day).
def test_large_answer_needs_a_greater_gain_to_cross():
    balancer = make_balancer()
    near, far = endpoint("near"), endpoint("far", data_centre="lima-2")
    count_choices(balancer, (near, far), 0.0)
    for presence, service_time_s in ((near, 0.08), (far, 0.04)):
        report = LoadReport(load=0, service_time_s=service_time_s)
        balancer.record_load_report(presence, 10.0, report)
    for route, size in (("photo", 5_000), ("status", 200)):
        for _ in range(50):
            balancer.record_answer_bytes(route, size)

    def chosen(route):
        return balancer.choose((near, far), "1", 10.0, route=route)

    assert chosen("status") is far
    assert chosen("photo") is near


def test_endpoint_without_report_gets_some_requests():
    """Targets that joined in other data centres got no requests."""
    balancer = make_balancer()
    endpoints = (endpoint("near"), endpoint("new", data_centre="lima-2"))
    balancer.record_load_report(
        endpoints[0], 10.0, LoadReport(load=0, service_time_s=0.1)
    )
    assert 0 < count_choices(balancer, endpoints, 10.0)["new"] < 100


def test_wait_is_estimated_only_from_fresh_reports_of_all_endpoints():
    balancer = make_balancer()
    endpoints = (endpoint("a"), endpoint("b"))
    balancer.record_load_report(
        endpoints[0], 10.0, LoadReport(load=5, service_time_s=0.1)
    )
    assert balancer.shortest_wait(endpoints, 10.0) is None
    balancer.record_load_report(
        endpoints[1], 10.0, LoadReport(load=3, service_time_s=0.1)
    )
    assert 0.05 < balancer.shortest_wait(endpoints, 10.0).wait_s < 0.15
    assert balancer.shortest_wait(endpoints, 11.0) is None


def test_basis_of_a_choice_is_known():
    balancer = make_balancer()
    near, far = endpoint("near"), endpoint("far", data_centre="lima-2")
    balancer.choose((near,), "1", 10.0)
    assert balancer.basis == "only"
    balancer.choose((near, far), "1", 10.0)
    assert balancer.basis == "cost"
    for presence in (near, far):
        balancer.record_load_report(
            presence, 10.0, LoadReport(load=0, service_time_s=0.05)
        )
    balancer.choose((near, far), "1", 10.0, latency_objective_s=0.4)
    assert balancer.basis == "nearest"


def test_ejection_is_reported(log_lines):
    balancer = make_balancer()
    near = endpoint("near")
    balancer.record_finished(near, 10.0, None, failed=True, unreachable=True)
    (line,) = log_lines.take("endpoint-ejected", peer="near")
    assert line["ejected_ms"] == str(int(BASE_EJECTION_S * 1000))
    assert balancer.is_ejected(near, 10.0)
    assert not balancer.is_ejected(near, 10.0 + BASE_EJECTION_S)
