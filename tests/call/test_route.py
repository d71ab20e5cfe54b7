"""A request matches the route of its host with the longest prefix."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fulmarrudder.call.message import Headers, Refusal, RequestHead
from fulmarrudder.call.route import (
    RouteChange,
    RouteTable,
    reachable_services,
)
from fulmarrudder.model import Arrangement, Route


def route(name, host, prefix, callers=()):
    return Route(
        name=name, host=host, prefix=prefix, service=name, callers=callers
    )


ARRANGEMENT = Arrangement(
    routes=(
        route("root", "a.example", "/"),
        route("photos", "a.example", "/photos"),
        route("any", "", "/health"),
        route("inner", "a.example", "/inner", callers=("root",)),
    )
)


def match(table, host, target):
    head = RequestHead(
        method=b"GET", target=target, headers=Headers(((b"host", host),))
    )
    found = table.match(head)
    return None if isinstance(found, Refusal) else found.route.name


@pytest.mark.parametrize(
    ("host", "target", "name"),
    [
        (b"a.example", b"/photos/1?x", "photos"),
        (b"A.Example:80", b"/photos", "photos"),
        (b"a.example", b"/photosets", "root"),
        (b"b.example", b"/health/x", "any"),
        (b"b.example", b"/", None),
    ],
)
def test_match(host, target, name):
    assert match(RouteTable(ARRANGEMENT), host, target) == name


def test_route_with_callers_is_matched_on_their_nodes_only():
    assert match(RouteTable(ARRANGEMENT), b"a.example", b"/inner/") == "root"
    table_of_root = RouteTable(ARRANGEMENT, "root")
    assert match(table_of_root, b"a.example", b"/inner/") == "inner"


def test_reachable_services_exclude_routes_of_other_callers():
    assert "inner" not in reachable_services(ARRANGEMENT, "photos")
    assert "inner" in reachable_services(ARRANGEMENT, "root")


HOSTS = ("a.example", "b.example")
KEYS = st.tuples(st.sampled_from(HOSTS), st.sampled_from(("/", "/a/", "/b/")))
ROUTES = st.dictionaries(
    KEYS, st.tuples(st.sampled_from(("s", "t")), st.integers(0, 2))
)


def routes_of(drawn):
    return {
        key: Route(
            name=f"{key}",
            host=key[0],
            prefix=key[1],
            service=service,
            rank=rank,
        )
        for key, (service, rank) in drawn.items()
    }


@given(ROUTES, ROUTES)
def test_changed_table_is_that_of_the_new_arrangement(old, new):
    old_routes, new_routes = routes_of(old), routes_of(new)
    change = RouteChange(
        removed=tuple(
            r for k, r in old_routes.items() if new_routes.get(k) != r
        ),
        added=tuple(r for k, r in new_routes.items() if old_routes.get(k) != r),
    )
    before = RouteTable(Arrangement(routes=tuple(old_routes.values())))
    hosts_before = {h: dict(p) for h, p in before.by_host.items()}
    table = before.changed(change)
    expected = RouteTable(Arrangement(routes=tuple(new_routes.values())))
    assert {h: p for h, p in table.by_host.items() if p} == expected.by_host
    assert table.least_urgent_rank == expected.least_urgent_rank
    assert before.by_host == hosts_before
