"""A request matches the route of its host with the longest prefix."""

import pytest

from fulmarrudder.call.message import Headers, Refusal, RequestHead
from fulmarrudder.call.route import RouteTable, reachable_services
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
