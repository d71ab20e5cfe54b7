"""From the id of a failed request, its lines lead to the cause.

The walks of docs/OPERATIONS.md show these lines, so that they stay true.
"""

import pathlib
import re

import pytest

from fulmarrudder.call import RouteTable
from fulmarrudder.model import Arrangement
from tests.call.network import Caller, MeshNode, Network, Target
from tests.conftest import LogBuilder, publish

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
CALL_PORT, HOST_PORT, TARGET_PORT = 1, 2, 3
REQUEST_ID = b"5f6f5000616bdf70.1"
# Measured durations and the node's name aren't part of what a walk shows.
PREFIX = re.compile(r'time="[^"]*" level=[A-Z]+ (.*?) node=\S+')


class Walk:
    """An entry node, a host node and its target."""

    def __init__(self, log_lines):
        self.log_lines = log_lines
        self.network = Network()
        self.network.advance(100.0)
        self.entry = MeshNode(self.network, "n1", CALL_PORT)
        self.host = MeshNode(self.network, "n2", HOST_PORT, "caja")
        self.target = Target()
        self.network.listeners[TARGET_PORT] = self.target
        self.host.announce(TARGET_PORT)
        builder = LogBuilder()
        builder.append(publish())
        self.entry.configure(builder.state)
        self.entry.facts.merge(self.host.presence, 0.0)

    def send(self, method, request_id=REQUEST_ID, extra=b""):
        caller = Caller()
        transport = self.network.connect(CALL_PORT, caller)
        transport.write(
            b"%b /deposits HTTP/1.1\r\nHost: a\r\nX-Request-Id: %b\r\n%b\r\n"
            % (method, request_id, extra)
        )
        self.network.run(0.01)
        return caller

    def lines(self):
        """Returns the lines that name the request, as the page shows them."""
        request = f"request={REQUEST_ID.decode()}"
        return [
            PREFIX.sub(r"\1", line)
            for line in self.log_lines.take_text()
            if request in line
        ]


@pytest.fixture
def walk(log_lines):
    return Walk(log_lines)


def events_of(lines):
    return [re.search(r"event=(\S+)", line)[1] for line in lines]


def assert_shown(lines):
    shown = " ".join(PAGE.read_text().split())
    for line in lines:
        assert line in shown


def refused(walk):
    """Ends a request with 503: the queue of the only target is too long."""
    walk.host.host.slots.service_time_s = 0.5
    for number in range(3):
        walk.send(b"POST", b"other.%d" % number)
    walk.log_lines.take()
    return walk.send(b"POST", extra=b"X-Deadline-Remaining: 1200\r\n")


def cut(walk):
    """Ends a request with 502: the target resets its connection."""
    caller = walk.send(b"POST")
    walk.target.crash()
    walk.network.run(0.2)
    return caller


def overdue(walk):
    """Ends a request with 504: the target gives no answer."""
    caller = walk.send(b"POST", extra=b"X-Deadline-Remaining: 300\r\n")
    walk.network.run(0.4)
    return caller


@pytest.mark.parametrize(
    ("fail", "status", "events"),
    [
        (
            refused,
            503,
            [
                "request-refused",
                "attempt-ended",
                "no-endpoint",
                "call-refused",
            ],
        ),
        (
            cut,
            502,
            [
                "connection-lost",
                "target-failed",
                "run-broken",
                "attempt-ended",
                "call-refused",
            ],
        ),
        (
            overdue,
            504,
            ["target-failed", "run-late", "attempt-ended", "call-refused"],
        ),
    ],
)
def test_lines_lead_from_the_id_to_the_cause(walk, fail, status, events):
    caller = fail(walk)
    assert caller.received.startswith(b"HTTP/1.1 %d" % status)
    lines = walk.lines()
    assert events_of(lines) == events
    assert_shown(lines)


def test_answered_request_is_not_reported(walk):
    caller = walk.send(b"POST")
    walk.target.answer(REQUEST_ID)
    walk.network.run(0.01)
    assert caller.received.startswith(b"HTTP/1.1 200")
    assert not walk.lines()


# A request without a route is either wrong or meets a node whose configuration
# is late; its line alone has to tell which.
def test_line_of_a_request_without_a_route_tells_how_current_the_routes_are(
    walk,
):
    walk.network.advance(1.0)
    walk.entry.entry.active_config.table = RouteTable(Arrangement())
    freshness = walk.entry.entry.freshness
    now = walk.network.seconds()
    freshness.activated_at = now - 2.5
    freshness.confirmed_at = now - 2.0
    freshness.record_told(97, now - 1.5)
    caller = Caller()
    walk.network.connect(CALL_PORT, caller).write(
        b"GET /missing HTTP/1.1\r\nHost: a\r\n\r\n"
    )
    walk.network.run(0.01)
    (line,) = walk.log_lines.take("call-refused", reason="no-route")
    assert float(line["version_ms"]) == pytest.approx(2500, abs=20)
    assert float(line["source_ms"]) == pytest.approx(2000, abs=20)
    assert line["told"] == "97"
    assert float(line["told_ms"]) == pytest.approx(1500, abs=20)
