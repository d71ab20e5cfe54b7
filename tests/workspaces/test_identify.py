"""The workspace of a request is told by its key, which ends at the entry node."""

import dataclasses

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.freshness import ConfigFreshness
from fulmarrudder.call.header_names import HeaderNames
from fulmarrudder.call.message import Headers, RequestHead
from fulmarrudder.call.refusals import UNCONFIRMED_KEYS, UNKNOWN_KEY
from fulmarrudder.call.route import RoutedRequest
from fulmarrudder.model import Route, Workspace
from fulmarrudder.workspaces import Credentials, Identifier
from fulmarrudder.workspaces.keys import KeyTable, key_table_of

NAMES = HeaderNames(api_key=b"x-key", workspace=b"x-workspace")
ACME = Workspace(name="acme", keys=("k1", "k2"))
BETA = Workspace(name="beta", keys=("k3",))
ROUTE = Route(name="r", host="", prefix="/", service="s")
OPEN_ROUTE = Route(name="o", host="", prefix="/o/", service="s", exempt=True)


def identifier_of(*workspaces):
    identifier = Identifier(Clock(), NAMES, ConfigFreshness(confirmed_at=0.0))
    identifier.keys = key_table_of(workspaces).ok
    return identifier


def routed_with(*fields, route=ROUTE):
    head = RequestHead(
        method=b"GET", target=b"/a", headers=Headers((*fields, (b"a", b"1")))
    )
    return RoutedRequest(head=head, route=route, service="s")


@pytest.mark.parametrize(
    ("fields", "route", "workspace"),
    [
        ([(b"x-key", b"k1")], ROUTE, ACME),
        ([(b"x-key", b"k3"), (b"x-workspace", b"acme")], ROUTE, BETA),
        ([(b"x-key", b"k2")], OPEN_ROUTE, ACME),
        ([(b"x-key", b"none")], OPEN_ROUTE, None),
        ([(b"x-workspace", b"acme")], OPEN_ROUTE, None),
    ],
)
def test_request_gets_the_workspace_of_its_key(fields, route, workspace):
    found = identifier_of(ACME, BETA).identify(
        routed_with(*fields, route=route)
    )
    told = (
        [] if workspace is None else [(b"x-workspace", workspace.name.encode())]
    )
    assert found.workspace is workspace
    assert list(found.head.headers.fields) == [(b"a", b"1"), *told]


@pytest.mark.parametrize(
    "fields",
    [
        [],
        [(b"x-key", b"")],
        [(b"x-key", b"K1")],
        [(b"x-key", b"k1 ")],
        [(b"x-key", b"k1"), (b"x-key", b"k3")],
        [(b"x-workspace", b"acme")],
    ],
)
def test_request_without_a_known_key_is_refused(fields):
    refused = identifier_of(ACME, BETA).identify(routed_with(*fields))
    assert refused is UNKNOWN_KEY
    assert refused.status == 401


def test_without_workspaces_a_request_stays_as_it_is():
    identifier = identifier_of()
    identifier.keys = None
    routed = routed_with((b"x-key", b"k1"), (b"x-workspace", b"acme"))
    assert identifier.identify(routed) is routed


def test_a_list_without_workspaces_lets_nobody_in():
    refused = identifier_of().identify(routed_with((b"x-key", b"k1")))
    assert refused is UNKNOWN_KEY


@pytest.mark.parametrize(
    ("fail_closed", "age_s", "route", "is_served"),
    [
        (False, 100.0, ROUTE, True),
        (True, 4.9, ROUTE, True),
        (True, 5.1, ROUTE, False),
        (True, 5.1, OPEN_ROUTE, True),
    ],
)
def test_unconfirmed_keys_are_refused_where_that_is_demanded(
    fail_closed, age_s, route, is_served
):
    identifier = identifier_of(ACME)
    identifier.credentials = Credentials(
        fail_closed=fail_closed, unconfirmed_s=5.0
    )
    identifier.clock.advance(age_s)
    # A key that is unknown may be one of a later version.
    for key in (b"k1", b"later"):
        found = identifier.identify(routed_with((b"x-key", key), route=route))
        assert (found is not UNCONFIRMED_KEYS) == is_served


def test_a_key_may_move_from_one_workspace_to_another():
    before = key_table_of([ACME, BETA]).ok
    poorer = Workspace(name="acme", keys=("k1",))
    richer = Workspace(name="beta", keys=("k2", "k3"))
    after = before.changed(removed=[ACME, BETA], added=[poorer, richer]).ok
    assert after.by_key == {b"k1": poorer, b"k2": richer, b"k3": richer}
    assert before.by_key[b"k2"] is ACME


@pytest.mark.parametrize(
    "added",
    [
        [Workspace(name="beta", keys=("k1",))],
        [Workspace(name="acme", keys=("k9",))],
        [Workspace(name="b", keys=("k9",)), Workspace(name="c", keys=("k9",))],
    ],
)
def test_shared_keys_and_names_are_refused_without_telling_the_key(added):
    table = KeyTable().changed(removed=(), added=[ACME]).ok
    refused = table.changed(removed=(), added=added)
    assert refused.is_error()
    assert "k1" not in str(refused.error)
    assert "k9" not in str(refused.error)


# Lines beyond the first ones of a head are kept as one block of bytes.
@pytest.mark.parametrize(
    "block", [b"x-key:k1\r\nb:2\r\n", b"b:2\r\nx-key:k1\r\n"]
)
def test_key_behind_many_lines_counts_and_is_not_passed_on(block):
    routed = routed_with()
    headers = Headers(
        routed.head.headers.fields, block + b"x-workspace:beta\r\n"
    )
    routed = dataclasses.replace(routed, head=routed.head.with_headers(headers))
    found = identifier_of(ACME, BETA).identify(routed)
    assert found.workspace is ACME
    assert found.head.headers.block == b"b:2\r\n"
    assert found.head.headers.get(b"x-workspace") == b"acme"


def test_two_keys_are_none_wherever_they_stand():
    routed = routed_with((b"x-key", b"k1"))
    headers = Headers(routed.head.headers.fields, b"x-key:k3\r\n")
    routed = dataclasses.replace(routed, head=routed.head.with_headers(headers))
    assert identifier_of(ACME, BETA).identify(routed) is UNKNOWN_KEY


def test_a_workspace_is_shown_without_its_keys():
    assert "k1" not in repr(ACME)


def test_a_key_that_its_workspace_lists_twice_can_be_taken_away():
    twice = Workspace(name="acme", keys=("k1", "k1"))
    before = key_table_of([twice]).ok
    after = before.changed(removed=[twice], added=[ACME]).ok
    assert after.by_key == {b"k1": ACME, b"k2": ACME}
