"""A version is applied completely or refused; versions never decrease."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarrudder.model import Amend, Arrangement, Route, Service, StartMove
from fulmarrudder.state_machine import (
    Applied,
    Reason,
    Refused,
    amendment_between,
    apply_amendment,
)
from tests.conftest import publish, replace, small_arrangement


def test_publish_puts_the_version_in_force(builder):
    assert isinstance(builder.append(publish()), Applied)
    assert builder.state.version == 1
    assert builder.state.currents[0].target_version == "1"


def test_second_of_two_racing_operators_is_refused_with_the_winner(builder):
    builder.append(publish(operator="ana"))
    outcome = builder.append(publish(operator="bor"))
    assert isinstance(outcome, Refused)
    assert outcome.reason is Reason.STALE_VERSION
    assert "version 1 by ana" in outcome.detail
    assert builder.state.operator == "ana"


def test_version_with_a_route_to_an_unknown_service_is_refused(builder):
    builder.append(publish())
    before = builder.state.arrangement
    bad = replace(
        small_arrangement("1", "2", "3"),
        routes=(Route(name="r", host="", prefix="/", service="nowhere"),),
    )
    outcome = builder.append(publish(expected=1, arrangement=bad))
    assert outcome.reason is Reason.INVALID
    assert "no service nowhere" in outcome.detail
    assert builder.state.arrangement is before
    assert builder.state.version == 1


def test_every_error_is_listed(builder):
    bad = replace(
        small_arrangement(),
        routes=(
            Route(name="a", host="", prefix="x", service="caja"),
            Route(name="a", host="", prefix="/", service="gone"),
        ),
    )
    detail = builder.append(publish(arrangement=bad)).detail
    assert "route a: name is used twice" in detail
    assert "prefix must start with /" in detail
    assert "no service gone" in detail


def test_version_that_drops_a_moving_target_version_is_refused(published):
    published.append(
        StartMove(
            move="m",
            operator="ana",
            service="caja",
            to_version="2",
            expected=1,
            deadline=1e9,
        )
    )
    outcome = published.append(
        publish(expected=1, arrangement=small_arrangement("1"))
    )
    assert outcome.reason is Reason.INVALID
    assert "open move m needs target version 2" in outcome.detail


def test_repeated_append_changes_nothing(builder):
    builder.append(publish(), record_id="same")
    outcome = builder.append(publish(expected=1), record_id="same")
    assert type(outcome).__name__ == "Duplicate"
    assert builder.state.version == 1


def test_undecodable_record_is_refused(builder):
    outcome = builder.append(None)
    assert outcome.reason is Reason.UNREADABLE


@settings(derandomize=True, max_examples=100, deadline=None, database=None)
@given(st.lists(st.integers(0, 5)), st.lists(st.integers(0, 5)))
def test_amendment_leads_to_the_same_arrangement(before, after):
    def arrangement(numbers, mark):
        names = sorted({f"s{n}" for n in numbers})
        return Arrangement(
            services=tuple(
                Service(name=n, target_versions=("1",), initial="1")
                for n in names
            ),
            routes=tuple(
                Route(name=n, host=mark, prefix="/", service=n) for n in names
            ),
        )

    old, new = arrangement(before, "a"), arrangement(after, "b")
    found = apply_amendment(old, amendment_between("ana", 0, old, new))
    assert set(found.services) == set(new.services)
    assert set(found.routes) == set(new.routes)


def test_amendment_of_another_version_is_refused(builder):
    builder.append(publish())
    amendment = amendment_between("bor", 0, Arrangement(), small_arrangement())
    assert builder.append(amendment).reason is Reason.STALE_VERSION


def test_amendment_that_breaks_a_route_is_refused(builder):
    builder.append(publish())
    body = Amend(operator="bor", expected=1, dropped_services=("caja",))
    assert builder.append(body).reason is Reason.INVALID
    assert builder.state.version == 1
