"""A configuration version is whole or refused, and never goes back."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarrudder.fold import Applied, Reason, Refused, amended, differences
from fulmarrudder.model import Amend, Arrangement, Route, Service, StartMove
from tests.conftest import publish, replace, small_arrangement


def test_publish_puts_the_version_in_force(story):
    assert isinstance(story.tell(publish()), Applied)
    assert story.state.version == 1
    assert story.state.currents[0].target_version == "1"


def test_of_two_racing_operators_the_second_learns_who_won(story):
    story.tell(publish(operator="ana"))
    outcome = story.tell(publish(operator="bor"))
    assert isinstance(outcome, Refused)
    assert outcome.reason is Reason.STALE_VERSION
    assert "version 1 by ana" in outcome.detail
    assert story.state.operator == "ana"


def test_route_to_an_unknown_service_refuses_the_whole_version(story):
    story.tell(publish())
    before = story.state.arrangement
    bad = replace(
        small_arrangement("1", "2", "3"),
        routes=(Route(name="r", host="", prefix="/", service="nowhere"),),
    )
    outcome = story.tell(publish(expected=1, arrangement=bad))
    assert outcome.reason is Reason.INVALID
    assert "no service nowhere" in outcome.detail
    assert story.state.arrangement is before
    assert story.state.version == 1


def test_every_fault_is_listed(story):
    bad = replace(
        small_arrangement(),
        routes=(
            Route(name="a", host="", prefix="x", service="caja"),
            Route(name="a", host="", prefix="/", service="gone"),
        ),
    )
    detail = story.tell(publish(arrangement=bad)).detail
    assert "route a: name is used twice" in detail
    assert "prefix must start with /" in detail
    assert "no service gone" in detail


def test_version_that_drops_a_moving_target_version_is_refused(published):
    published.tell(
        StartMove(
            move="m",
            operator="ana",
            service="caja",
            to_version="2",
            expected=1,
            deadline=1e9,
        )
    )
    outcome = published.tell(
        publish(expected=1, arrangement=small_arrangement("1"))
    )
    assert outcome.reason is Reason.INVALID
    assert "open move m needs target version 2" in outcome.detail


def test_second_copy_of_an_append_changes_nothing(story):
    story.tell(publish(), record_id="same")
    outcome = story.tell(publish(expected=1), record_id="same")
    assert type(outcome).__name__ == "Duplicate"
    assert story.state.version == 1


def test_undecodable_record_is_refused_alike_everywhere(story):
    outcome = story.tell(None)
    assert outcome.reason is Reason.UNREADABLE


@settings(derandomize=True, max_examples=100, deadline=None, database=None)
@given(st.lists(st.integers(0, 5)), st.lists(st.integers(0, 5)))
def test_differences_lead_to_the_same_arrangement(before, after):
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
    found = amended(old, differences("ana", 0, old, new))
    assert set(found.services) == set(new.services)
    assert set(found.routes) == set(new.routes)


def test_amendment_of_another_version_is_refused(story):
    story.tell(publish())
    wanted = differences("bor", 0, Arrangement(), small_arrangement())
    assert story.tell(wanted).reason is Reason.STALE_VERSION


def test_amendment_that_breaks_a_route_is_refused_whole(story):
    story.tell(publish())
    body = Amend(operator="bor", expected=1, dropped_services=("caja",))
    assert story.tell(body).reason is Reason.INVALID
    assert story.state.version == 1
