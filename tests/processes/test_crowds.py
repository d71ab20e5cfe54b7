"""Crowds of clients that we do not control end no node and starve no caller.

All that a crowd sends is of legal size. The limits of the machine are lowered,
so that a small crowd shows what a large one does to a real machine.
"""

import contextlib
import selectors
import socket
import time

import pytest

from fulmarrudder_lab.cluster import wait_for
from tests.processes.machines import HOST, Fleet

MEBIBYTE = 1024 * 1024
# A node of two machines takes some 55 MB before its callers come.
LIMITS = {"memoryMb": 88, "maxFds": 400}
# Descriptors that the users' pages reserve for files.
FILE_DESCRIPTORS = 200
CROWD = 120
HEAD_BYTES = 16_384
# A crowd that can neither send nor read for this long has sent what it can.
QUIET_S = 1.0
MOST_S = 20.0


def head(method="GET", path="/quotes/1", *lines: bytes) -> bytes:
    fields = [
        b"%b %b HTTP/1.1" % (method.encode(), path.encode()),
        b"host: " + HOST.encode(),
        b"x-request-id: odd",
        b"x-deadline-remaining: 20000",
        *lines,
    ]
    return b"\r\n".join(fields) + b"\r\n\r\n"


def filled(line, method="GET", *lines: bytes) -> bytes:
    """Returns a head that short lines fill up to the limit."""
    made, number = list(lines), 0
    room = HEAD_BYTES - len(head(method, "/quotes/1", *lines))
    while (text := line(number)) and len(text) + 2 <= room:
        made.append(text)
        room -= len(text) + 2
        number += 1
    return head(method, "/quotes/1", *made)


def chunked(path, *parts: bytes) -> bytes:
    return head("POST", path, b"transfer-encoding: chunked") + b"".join(parts)


DISTINCT = filled(lambda number: b"%x:" % number)
REPEATED = filled(lambda number: b"a:")
HOP_BY_HOP = filled(lambda number: b"te:")
LONG_PATH = head("GET", "/quotes" + "/a" * 8_000)
LONG_QUERY = head("GET", "/quotes/?" + "a=&" * 5_300)
TRAILER = b"a:\r\n" * 4_000
SMALL_CHUNKS = b"2\r\nab\r\n" * 30_000

# Bytes of each connection, and whether its answers are read.
CASES = {
    "distinct-names": (DISTINCT, True),
    "one-name": (REPEATED, True),
    "hop-by-hop": (HOP_BY_HOP, True),
    "unfinished": (DISTINCT[:-2], True),
    "pipelined": (DISTINCT * 24, False),
    "pipelined-behind-an-upload": (
        chunked("/uploads/1", b"1\r\na\r\n0\r\n\r\n") + DISTINCT * 24,
        False,
    ),
    "pipelined-short": (head() * 2_000, False),
    "trailers": (chunked("/uploads/1", b"1\r\na\r\n0\r\n", TRAILER), True),
    "extensions": (
        chunked("/uploads/1", b"1;" + b"a" * 9_000 + b"\r\na\r\n") * 20,
        True,
    ),
    "long-path": (LONG_PATH * 8, False),
    "long-query": (LONG_QUERY * 8, False),
    "opened": (b"", True),
    "answers-not-read": (head("GET", "/quotes/large") * 40, False),
    "small-chunks": (chunked("/uploads/1", SMALL_CHUNKS), True),
    "small-chunks-held": (chunked("/quotes/1", SMALL_CHUNKS), True),
}


class Crowd:
    """Clients that send the same bytes, each on a connection of its own."""

    def __init__(self, port: int, size: int, data: bytes, *, reads: bool):
        self.selector = selectors.DefaultSelector()
        self.reads = reads
        self.left: dict[socket.socket, memoryview] = {}
        for _ in range(size):
            client = socket.socket()
            client.settimeout(MOST_S)
            with contextlib.suppress(OSError):
                client.connect(("127.0.0.1", port))
            client.setblocking(False)
            self.left[client] = memoryview(data)
        self.open = set(self.left)
        for client in self.open:
            self.selector.register(client, self._events(client))

    def _events(self, client) -> int:
        events = selectors.EVENT_READ if self.reads else 0
        if self.left[client]:
            events |= selectors.EVENT_WRITE
        return events or selectors.EVENT_READ

    def run(self) -> None:
        """Sends until nothing more is taken."""
        end = time.monotonic() + MOST_S
        while time.monotonic() < end and self.open:
            if not self.selector.get_map():
                return
            ready = self.selector.select(QUIET_S)
            if not ready:
                return
            for key, events in ready:
                self._serve(key.fileobj, events)

    def _serve(self, client, events: int) -> None:
        try:
            if events & selectors.EVENT_WRITE and self.left[client]:
                sent = client.send(self.left[client])
                self.left[client] = self.left[client][sent:]
            if events & selectors.EVENT_READ and not client.recv(65_536):
                raise ConnectionError
        except BlockingIOError:
            pass
        except OSError:
            self.selector.unregister(client)
            self.open.discard(client)
            return
        if self.left[client]:
            return
        if self.reads:
            self.selector.modify(client, selectors.EVENT_READ)
        else:
            self.selector.unregister(client)

    def leave(self) -> None:
        """Closes all connections."""
        self.selector.close()
        for client in self.left:
            client.close()


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path, LIMITS)
    yield fleet
    fleet.close()


def send_crowd(machine, data: bytes, *, size=CROWD, reads: bool) -> int:
    """Runs a crowd; returns the most descriptors that its node had open."""
    crowd = Crowd(machine.call_port, size, data, reads=reads)
    crowd.run()
    descriptors = machine.descriptors()
    # Ordinary callers are served while the crowd stays.
    wait_for("an answer", lambda: machine.get("/quotes/1") == 200, MOST_S)
    crowd.leave()
    return descriptors


def check(fleet, descriptors=0) -> None:
    vitrina, caja = fleet.machines
    assert vitrina.process.running
    assert caja.process.running
    wait_for("an answer", lambda: vitrina.get("/quotes/1") == 200, MOST_S)
    wait_for("an answer", lambda: caja.get("/1") == 200, MOST_S)
    peaks = [machine.peak_bytes() // MEBIBYTE for machine in fleet.machines]
    print("peaks:", peaks, "descriptors:", descriptors)
    assert max(peaks) <= LIMITS["memoryMb"]
    assert descriptors <= LIMITS["maxFds"] - FILE_DESCRIPTORS


@pytest.mark.parametrize("case", CASES)
def test_a_crowd_stays_within_the_limits_of_the_machine(fleet, case):
    data, reads = CASES[case]
    descriptors = send_crowd(fleet.machines[0], data, reads=reads)
    check(fleet, descriptors)


# Guards against memory of a crowd that is not used again by the next one.
@pytest.mark.parametrize("case", ["distinct-names", "pipelined"])
def test_crowds_one_after_the_other_take_no_more_than_one(fleet, case):
    data, reads = CASES[case]
    for _ in range(4):
        send_crowd(fleet.machines[0], data, reads=reads)
    check(fleet)


@pytest.mark.parametrize("port", ["call_port", "ready_port", "control_port"])
def test_connections_that_only_open_leave_descriptors_for_callers(fleet, port):
    vitrina = fleet.machines[0]
    crowd = Crowd(getattr(vitrina, port), 300, b"", reads=True)
    crowd.run()
    descriptors = vitrina.descriptors()
    wait_for("an answer", lambda: vitrina.get("/quotes/1") == 200, MOST_S)
    wait_for("readiness", vitrina.is_ready, MOST_S)
    crowd.leave()
    check(fleet, descriptors)


def test_answers_of_odd_lines_stay_within_the_limits(fleet):
    caja = fleet.machines[1]
    caja.target.odd_lines = 1_500
    send_crowd(fleet.machines[0], head() * 8, reads=False)
    check(fleet)


@pytest.mark.parametrize("port", ["ready_port", "control_port"])
@pytest.mark.parametrize("data", [DISTINCT, DISTINCT[:-2]])
def test_crowds_at_the_pages_stay_within_the_limits(fleet, port, data):
    vitrina = fleet.machines[0]
    crowd = Crowd(getattr(vitrina, port), CROWD, data, reads=True)
    crowd.run()
    crowd.leave()
    check(fleet)


# A single request inside the limits is served in calm.
@pytest.mark.parametrize(
    "data", [DISTINCT, REPEATED, HOP_BY_HOP, LONG_PATH, LONG_QUERY]
)
def test_one_odd_request_is_answered(fleet, data):
    with socket.create_connection(
        ("127.0.0.1", fleet.machines[0].call_port), MOST_S
    ) as client:
        client.sendall(data)
        assert client.recv(12) == b"HTTP/1.1 200"
