"""Decoding of requests: smuggling and violations of HTTP/1.1 are refused."""

import pytest

from fulmarrudder.call.codec import (
    RequestDecoder,
    ResponseDecoder,
    encode_request,
)
from fulmarrudder.call.errors import ProtocolError
from fulmarrudder.call.message import (
    PEER_HEADER,
    BodyEnd,
    BodyPart,
    Continue,
    Framing,
    Headers,
    RequestHead,
    ResponseHead,
)

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        HEAD + b"Content-Length: +3\r\n\r\nabc",
        HEAD + b"Content-Length: 3, 3\r\n\r\nabc",
        HEAD + b"Content-Length : 3\r\n\r\nabc",
        HEAD + b"Transfer-Encoding: xchunked\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked, identity\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n",
        HEAD + b"X: a\r\n b\r\n\r\n",
        HEAD + b"X\x00Y: a\r\n\r\n",
        b"GET / HTTP/1.1\nHost: a\n\n",
        b"GET / HTTP/3.7\r\nHost: a\r\n\r\n",
        b"G@T / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
        HEAD + b"Upgrade: websocket\r\nConnection: upgrade\r\n\r\n",
        HEAD + b"X: " + b"a" * 20_000 + b"\r\n\r\n",
        HEAD + b"X:a\r\n" * 3_400 + b"\r\n",
        HEAD + b"a:\r\n" * 4_100 + b"\r\n",
        b"GET /" + b"a" * 20_000,
    ],
)
def test_malformed_request_is_refused(data):
    with pytest.raises(ProtocolError) as caught:
        RequestDecoder().feed(data)
    assert 400 <= caught.value.status <= 501


def test_oversized_header_has_its_own_status():
    with pytest.raises(ProtocolError) as caught:
        RequestDecoder().feed(HEAD + b"X: " + b"a" * 20_000 + b"\r\n\r\n")
    assert caught.value.status == 431


# Many lines are of legal size; nodes pass them on to each other and to targets.
@pytest.mark.parametrize(
    "lines",
    [b"a:\r\n" * 4_000, b"".join(b"%x: v\r\n" % n for n in range(1_700))],
)
def test_head_of_many_lines_is_passed_on_whole(lines):
    data = HEAD + lines + b"\r\n"
    peer = ((PEER_HEADER, b"t" * 400),)
    first = RequestDecoder().feed(data)[0]
    second = RequestDecoder().feed(encode_request(first, peer))[0]
    names = [line.partition(b":")[0] for line in lines.split(b"\r\n")[:-1]]
    assert second.headers.get(PEER_HEADER) == b"t" * 400
    for name in set(names):
        assert second.headers.count(name) == names.count(name)
    assert second.headers.get(names[-1]) == first.headers.get(names[0])


def test_chunks_that_come_together_are_one_part():
    decoder = RequestDecoder()
    decoder.feed(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    assert decoder.feed(b"1\r\na\r\n" * 500) == [BodyPart(b"a" * 500)]


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_decoding_does_not_depend_on_segmentation(size):
    data = (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        b"GET /y HTTP/1.1\r\nHost: b\r\n\r\n"
    )
    decoder = RequestDecoder()
    events = []
    for start in range(0, len(data), size):
        events += decoder.feed(data[start : start + size])
    body = b"".join(e.data for e in events if isinstance(e, BodyPart))
    heads = [e for e in events if isinstance(e, RequestHead)]
    assert body == b"abc"
    assert [h.target for h in heads] == [b"/x", b"/y"]
    assert [h.framing for h in heads] == [Framing.CHUNKED, Framing.NONE]
    assert sum(isinstance(e, BodyEnd) for e in events) == 2


def test_encoded_request_is_framed_once():
    head = RequestHead(
        method=b"POST",
        target=b"/",
        headers=Headers(((b"host", b"a"),)),
        framing=Framing.LENGTH,
        length=3,
    )
    data = encode_request(head)
    assert data.lower().count(b"content-length") == 1
    assert RequestDecoder().feed(data)[0].length == 3


def test_interim_responses_are_not_taken_for_the_final_one():
    data = (
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    )
    events = ResponseDecoder().feed(data)
    assert isinstance(events[0], Continue)
    assert [e.status for e in events if isinstance(e, ResponseHead)] == [200]
    assert isinstance(events[-1], BodyEnd)
