"""Bodies from other nodes leave room on the link for what is urgent."""

import math

import pytest
from twisted.internet.task import Clock

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.intake import STALL_TIMEOUT_S, WINDOW_S, Intake
from fulmarrudder.call.message import Framing, Headers, RequestHead
from tests.call.network import Caller
from tests.call.test_host import FakeTransport
from tests.call.test_walks import CALL_PORT, REQUEST_ID, Walk

# A link of 10 Mbit/s.
LINK_BYTES_PER_S = 1_250_000
UPLOAD_BYTES = 60_000
# The stated time within which a version is in force; half of it is left for the
# bodies that are under way when a version is sent.
CONFIG_APPLY_S = 2.0


class Upload:
    """A request with a body, and whether its body was asked for."""

    def __init__(self, intake, length=UPLOAD_BYTES, framing=Framing.LENGTH):
        head = RequestHead(
            method=b"POST",
            target=b"/",
            headers=Headers(),
            framing=framing,
            length=length,
        )
        self.asked = 0
        self.body = RequestBody(FakeTransport())
        self.permit = intake.permit(head, self.body, self._start)

    def _start(self):
        self.asked += 1


@pytest.fixture
def intake():
    return Intake(Clock(), LINK_BYTES_PER_S)


# A node that alone had a service in its data centre was sent 18 uploads a second:
# a version waited behind them for up to 3 s.
@pytest.mark.parametrize("length", [9_000, 60_000, 360_000])
def test_bodies_under_way_leave_the_link_to_a_version_in_time(intake, length):
    uploads = [Upload(intake, length) for _ in range(40)]
    for upload in uploads:
        upload.permit.request()
    asked = sum(upload.asked for upload in uploads)
    assert asked
    assert asked == 1 or asked * length / LINK_BYTES_PER_S < CONFIG_APPLY_S / 2
    assert asked * length >= WINDOW_S * LINK_BYTES_PER_S - length


def test_each_body_that_ends_lets_the_next_one_start(intake):
    uploads = [Upload(intake, 10**6) for _ in range(5)]
    for upload in uploads:
        upload.permit.request()
    for index, upload in enumerate(uploads):
        assert [u.asked for u in uploads] == [1] * (index + 1) + [0] * (
            4 - index
        )
        upload.body.receive_end()
    assert not intake.admitted_bytes
    assert not intake.waiting


@pytest.mark.parametrize("end", ["receive_end", "receive_abort"])
def test_permit_ends_once_with_its_body_and_its_request(intake, end):
    first, second, third = (Upload(intake, 10**6) for _ in range(3))
    for upload in (first, second, third):
        upload.permit.request()
    getattr(first.body, end)()
    first.permit.release()
    assert (second.asked, third.asked) == (1, 0)


def test_request_that_ends_while_it_waits_keeps_no_room(intake):
    first, second, third = (Upload(intake, 10**6) for _ in range(3))
    for upload in (first, second, third):
        upload.permit.request()
    second.permit.release()
    first.permit.release()
    assert (second.asked, third.asked) == (0, 1)


# A node that is frozen after it was asked for its body kept those of all others
# waiting.
def test_sender_that_sends_nothing_holds_others_up_for_a_moment_only(intake):
    first, second, third = (Upload(intake, 10**6) for _ in range(3))
    for upload in (first, second, third):
        upload.permit.request()
    intake.clock.advance(STALL_TIMEOUT_S)
    assert (second.asked, third.asked) == (1, 0)
    first.body.receive_end()
    assert third.asked == 0


# On a full link bodies took longer than the time for which they kept their room, and
# more and more were under way.
def test_body_that_arrives_slowly_keeps_its_room(intake):
    first, second = (Upload(intake, 10**6) for _ in range(2))
    for upload in (first, second):
        upload.permit.request()
    for _ in range(20):
        first.body.receive_part(b"x" * 1000)
        intake.clock.advance(STALL_TIMEOUT_S / 2)
    assert second.asked == 0
    intake.clock.advance(2 * STALL_TIMEOUT_S)
    assert second.asked == 1


def test_body_is_asked_for_once(intake):
    upload = Upload(intake)
    upload.permit.request()
    upload.permit.request()
    assert upload.asked == 1


def test_body_of_unknown_length_is_admitted_alone(intake):
    first = Upload(intake, 0, Framing.CHUNKED)
    second = Upload(intake)
    first.permit.request()
    second.permit.request()
    assert (first.asked, second.asked) == (1, 0)


@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
def test_link_of_unknown_speed_is_not_limited(framing):
    intake = Intake(Clock(), math.inf)
    uploads = [Upload(intake, 10**6, framing) for _ in range(9)]
    for upload in uploads:
        upload.permit.request()
    uploads[0].permit.release()
    assert all(upload.asked for upload in uploads)
    assert intake.admitted_bytes >= 0


def test_upload_is_sent_once_the_one_before_has_arrived(log_lines):
    walk = Walk(log_lines)
    walk.host.host.intake.window_bytes = 1.0
    head = b"POST /deposits HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
    callers = []
    for number in range(2):
        caller = Caller()
        transport = walk.network.connect(CALL_PORT, caller)
        request_id = b"%b.%d" % (REQUEST_ID, number)
        transport.write(
            head % UPLOAD_BYTES + b"X-Request-Id: %b\r\n\r\n" % request_id
        )
        transport.write(bytes(UPLOAD_BYTES - 1))
        walk.network.run(0.01)
        callers.append((caller, transport, request_id))
    intake = walk.host.host.intake
    assert len(intake.waiting) == 1
    for caller, transport, request_id in callers:
        transport.write(b"1")
        walk.network.run(0.01)
        walk.target.answer(request_id)
        walk.network.run(0.01)
        assert caller.received.startswith(b"HTTP/1.1 200")
    assert not intake.waiting
    assert not intake.admitted_bytes
