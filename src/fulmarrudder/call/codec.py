"""HTTP/1.1 codec: bytes to typed messages and back.

`httptools` (llhttp) does the parsing. The rest of the call path handles typed
messages only, so another codec can replace this module.
"""

import functools
import json
from http import HTTPStatus

import httptools

from fulmarrudder.call.errors import ProtocolError
from fulmarrudder.call.lines import encode_line
from fulmarrudder.call.message import (
    PEER_HEADER,
    RAN_HEADER,
    REACHED_TARGET_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    RUN_ENDED_HEADER,
    BodyEnd,
    BodyPart,
    Continue,
    Field,
    Framing,
    Headers,
    Ran,
    Refusal,
    RefusalReason,
    RequestHead,
    ResponseHead,
)

HEADER_BYTES_LIMIT = 16_384
# What the fields between nodes may add to a caller's head.
HOP_BYTES_LIMIT = 2_048
# Fields of a head that are parsed; those after them are kept as one block.
MAX_PARSED_FIELDS = 64
# Retry-After of a 503 refusal that sets none.
DEFAULT_RETRY_AFTER_S = 1
CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"
BODILESS_STATUS = frozenset({204, 304})
VALID_STATUS = range(100, 600)
_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in HTTPStatus
}

# Header values of refusals.
_REFUSAL_VALUES = {
    member: member.value.encode() for member in (*Ran, *RefusalReason)
}

Event = RequestHead | ResponseHead | BodyPart | BodyEnd | Continue


class _Decoder:
    """Base of the request and response decoders.

    Attributes:
        events: Decoded events that `feed` has not returned yet.
        fields: Header fields of the current head.
        room: Number of fields that are still parsed.
        block: The lines after these, see `fulmarrudder.call.lines`.
        parts: Parts of a body that are not an event yet. They become one, so
            that chunks of a few bytes cost no more than others.
        pending_bytes: Bytes received since the last complete head or the last
            part of a body. They are a head, or lines that frame a body.
        trailer_bytes: Size of the trailer fields, in bytes.
        in_head: Whether the next bytes belong to a head.
    """

    # Most bytes of a head that is not complete.
    pending_limit = HEADER_BYTES_LIMIT

    __slots__ = (
        "events",
        "fields",
        "room",
        "block",
        "parts",
        "pending_bytes",
        "trailer_bytes",
        "in_head",
    )

    def __init__(self):
        self.events: list[Event] = []
        self.fields: list[tuple[bytes, bytes]] = []
        self.room = MAX_PARSED_FIELDS
        self.block: bytearray | None = None
        self.parts: list[bytes] = []
        self.pending_bytes = 0
        self.trailer_bytes = 0
        self.in_head = True

    def on_message_begin(self) -> None:
        self.fields = []
        self.room = MAX_PARSED_FIELDS
        self.block = None
        # A head that comes behind the end of a message has begun as well.
        self.pending_bytes = self.pending_bytes or 1
        self.trailer_bytes = 0
        self.in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_head:
            if self.room:
                self.room -= 1
                self.fields.append((name.lower(), value))
                return
            if self.block is None:
                self.block = bytearray()
            self.block += encode_line(name.lower(), value)
            if len(self.block) > self.pending_limit:
                raise ProtocolError("header fields too large", status=431)
            return
        # Trailer fields are dropped, but their size is limited as well.
        self.trailer_bytes += len(name) + len(value) + 4
        if self.trailer_bytes > HEADER_BYTES_LIMIT:
            raise ProtocolError("header fields too large", status=431)

    def finish_head(self) -> Headers:
        """Ends the head, and returns its fields.

        Raises:
            ProtocolError: The fields exceed a limit.
        """
        block = b"" if self.block is None else bytes(self.block)
        headers = Headers(tuple(self.fields), block)
        pending_bytes = self.pending_bytes
        self.fields = []
        self.block = None
        self.in_head = False
        self.pending_bytes = 0
        if pending_bytes > HEADER_BYTES_LIMIT:
            self._check_size(headers)
        return headers

    def _check_size(self, headers: Headers) -> None:
        # The bytes received may include some after the head, so the fields are
        # measured.
        size = len(headers.block)
        size += sum(
            len(name) + len(value) + 4 for name, value in headers.fields
        )
        limit = HEADER_BYTES_LIMIT
        if headers.get(PEER_HEADER) is not None:
            limit += HOP_BYTES_LIMIT
        if size > limit:
            raise ProtocolError("header fields too large", status=431)

    def check_pending_size(self) -> None:
        """Raises ProtocolError if an incomplete head or line is too large."""
        if self.pending_bytes <= HEADER_BYTES_LIMIT:
            return
        if self.in_head:
            if self.pending_bytes <= self.pending_limit:
                return
            raise ProtocolError("head too large", status=431)
        raise ProtocolError("framing of the body too large")

    def on_body(self, data: bytes) -> None:
        self.pending_bytes = 0
        self.parts.append(data)

    def release(self) -> None:
        """Ends the cycle of references with the parser; decodes no more."""
        self.parser = None

    def end_part(self) -> None:
        """Appends the event of the parts of a body received so far."""
        self.events.append(BodyPart(b"".join(self.parts)))
        self.parts = []

    def take_events(self) -> list[Event]:
        """Returns the events that were not returned yet, and clears them."""
        if self.parts:
            self.end_part()
        events, self.events = self.events, []
        return events


class RequestDecoder(_Decoder):
    """Decodes requests from a caller's bytes."""

    # Which field shows that a node has sent the head is not known yet.
    pending_limit = HEADER_BYTES_LIMIT + HOP_BYTES_LIMIT

    __slots__ = ("parser", "url")

    def __init__(self):
        super().__init__()
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""

    def feed(self, data: bytes) -> list[Event]:
        """Decodes a part of the byte stream.

        Args:
            data: Bytes as received.

        Returns:
            The events that these bytes complete.

        Raises:
            ProtocolError: The bytes are not strict HTTP/1.1.
        """
        self.pending_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._drop_last_request()
            raise ProtocolError("upgrade refused", status=501) from None
        except httptools.HttpParserError as error:
            raise _protocol_error(error) from None
        self.check_pending_size()
        return self.take_events()

    def _drop_last_request(self) -> None:
        self.parts = []
        while self.events:
            if isinstance(self.events.pop(), RequestHead):
                return

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self.url += url

    def on_headers_complete(self) -> None:
        """Appends the event of a complete head."""
        headers = self.finish_head()
        framing, length = _request_framing(headers)
        self.events.append(
            RequestHead(
                method=self.parser.get_method(),
                target=self.url,
                headers=headers,
                framing=framing,
                length=length,
                keep_alive=self.parser.should_keep_alive(),
                is_http11=self.parser.get_http_version() == "1.1",
            )
        )
        self.url = b""

    def on_message_complete(self) -> None:
        """Appends the event of a complete message."""
        if self.parts:
            self.end_part()
        self.events.append(BodyEnd())
        self.in_head = True
        self.pending_bytes = 0


class ResponseDecoder(_Decoder):
    """Decodes responses from a target's or a node's bytes.

    Attributes:
        bodiless: Whether the response has no body, as it answers HEAD.
        is_close_delimited: Whether the end of the connection ends the body of
            the current response.
        is_interim: Whether the current response is a 1xx one.
        expected: Number of responses that are due, since the first one.
        completed: Number of complete final responses.
        is_spoiled: Whether bytes were malformed, or more responses began than
            were due. No later response can then be trusted.
    """

    __slots__ = (
        "bodiless",
        "completed",
        "expected",
        "is_spoiled",
        "is_close_delimited",
        "parser",
        "reason",
        "is_interim",
    )

    def __init__(self):
        super().__init__()
        self.parser = httptools.HttpResponseParser(self)
        self.bodiless = False
        self.is_close_delimited = False
        self.is_interim = False
        self.expected = 0
        self.completed = 0
        self.is_spoiled = False
        self.reason = b""

    def feed(self, data: bytes) -> list[Event]:
        """Decodes a part of the byte stream; see `RequestDecoder.feed`."""
        self.pending_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.is_spoiled = True
            raise ProtocolError("upgrade refused", status=502) from None
        except httptools.HttpParserError as error:
            self.is_spoiled = True
            raise _protocol_error(error) from None
        self.check_pending_size()
        return self.take_events()

    def on_message_begin(self) -> None:
        """Starts the head of a response."""
        super().on_message_begin()
        if self.completed >= self.expected:
            self.is_spoiled = True

    def on_status(self, reason: bytes) -> None:
        """Appends a part of the reason phrase."""
        self.reason += reason

    def on_headers_complete(self) -> None:
        """Appends the event of a complete head."""
        status = self.parser.get_status_code()
        if status not in VALID_STATUS:
            # The parser reads a body after a status below 100, which is none
            # of the answer's.
            raise ProtocolError("status out of range")
        pending_bytes = self.pending_bytes
        headers = self.finish_head()
        reason, self.reason = self.reason, b""
        if status < 200:
            # Interim responses share the limit of the final head.
            self.pending_bytes = pending_bytes
            self.is_interim = True
            if status == 100:
                self.events.append(Continue())
            return
        framing, length = self._framing(headers, status)
        self.is_close_delimited = framing is Framing.CLOSE
        self.events.append(
            ResponseHead(
                status=status,
                reason=reason,
                headers=headers,
                framing=framing,
                length=length,
                keep_alive=self.parser.should_keep_alive(),
            )
        )

    def _framing(self, headers: Headers, status: int) -> tuple[Framing, int]:
        length = headers.get(b"content-length")
        if self.bodiless or status in BODILESS_STATUS:
            return Framing.NONE, int(length) if length else 0
        if _is_chunked(headers):
            return Framing.CHUNKED, 0
        if length is not None:
            return Framing.LENGTH, int(length)
        return Framing.CLOSE, 0

    def on_message_complete(self) -> None:
        """Appends the event of a complete message."""
        self.in_head = True
        if self.is_interim:
            self.is_interim = False
            return
        self.pending_bytes = 0
        self.completed += 1
        if self.parts:
            self.end_part()
        self.events.append(BodyEnd())


def _protocol_error(error: httptools.HttpParserError) -> ProtocolError:
    """Returns the error that a callback raised, or the parser's own."""
    cause = error.__context__
    if isinstance(cause, ProtocolError):
        return cause
    return ProtocolError(str(error))


def _is_chunked(headers: Headers) -> bool:
    """Returns whether a body is chunked.

    Raises:
        ProtocolError: It has another transfer coding, which is not decoded.
    """
    coding = headers.get(b"transfer-encoding")
    if coding is None:
        return False
    is_only_one = headers.count(b"transfer-encoding") == 1
    if is_only_one and coding.strip().lower() == b"chunked":
        return True
    raise ProtocolError("transfer coding is not supported", status=501)


def _request_framing(headers: Headers) -> tuple[Framing, int]:
    if _is_chunked(headers):
        return Framing.CHUNKED, 0
    length = headers.get(b"content-length")
    if length is None or int(length) == 0:
        return Framing.NONE, 0
    return Framing.LENGTH, int(length)


def _framing_line(framing: Framing, length: int) -> bytes:
    if framing is Framing.LENGTH:
        return b"content-length: %d\r\n" % length
    if framing is Framing.CHUNKED:
        return b"transfer-encoding: chunked\r\n"
    return b""


def encode_request(head: RequestHead, fields: tuple[Field, ...] = ()) -> bytes:
    """Encodes a request head.

    Args:
        head: The head, whose headers must not frame the body.
        fields: Fields that this hop adds.
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (head.method, head.target)]
    lines += [b"%b: %b\r\n" % field for field in head.headers.fields]
    lines += [b"%b: %b\r\n" % field for field in fields]
    lines.append(head.headers.block)
    lines.append(_framing_line(head.framing, head.length))
    if head.framing is Framing.NONE and head.method in (b"POST", b"PUT"):
        lines.append(b"content-length: 0\r\n")
    lines.append(CRLF)
    return b"".join(lines)


def encode_response(
    head: ResponseHead,
    fields: tuple[Field, ...] = (),
    *,
    framing: Framing | None = None,
    keep_alive: bool | None = None,
    bodiless: bool = False,
) -> bytes:
    """Encodes a response head.

    Args:
        head: The head, whose headers must not frame the body.
        fields: Fields that this hop adds.
        framing: Framing of the body, or None for that of the head.
        keep_alive: Whether the connection stays open, or None for the value
            of the head.
        bodiless: Whether it answers a HEAD request.
    """
    framing = head.framing if framing is None else framing
    keep_alive = head.keep_alive if keep_alive is None else keep_alive
    reason = head.reason or _REASON_PHRASES.get(head.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b\r\n" % (head.status, reason)]
    lines += [b"%b: %b\r\n" % field for field in head.headers.fields]
    lines += [b"%b: %b\r\n" % field for field in fields]
    lines.append(head.headers.block)
    lines.append(_framing_line(framing, head.length))
    if framing is Framing.NONE and head.status not in BODILESS_STATUS:
        content_length = head.length if bodiless else 0
        lines.append(b"content-length: %d\r\n" % content_length)
    if not keep_alive:
        lines.append(b"connection: close\r\n")
    lines.append(CRLF)
    return b"".join(lines)


def encode_part(framing: Framing, data: bytes) -> bytes:
    """Encodes a part of a body."""
    if framing is Framing.CHUNKED:
        return b"%x\r\n%b\r\n" % (len(data), data)
    return data


def encode_end(framing: Framing) -> bytes:
    """Encodes the end of a body."""
    return LAST_CHUNK if framing is Framing.CHUNKED else b""


def refusal_head(refusal: Refusal, body: bytes) -> ResponseHead:
    """Returns the response head of a refusal.

    Args:
        refusal: The refusal.
        body: The body that follows the head; may be empty.
    """
    fields = [
        (RAN_HEADER, _REFUSAL_VALUES[refusal.ran]),
        (REASON_HEADER, _REFUSAL_VALUES[refusal.reason]),
    ]
    if body:
        fields.append((b"content-type", b"application/json"))
    if refusal.reached_target:
        fields.append((REACHED_TARGET_HEADER, b"yes"))
    if refusal.run_ended:
        fields.append((RUN_ENDED_HEADER, b"yes"))
    retry_after_s = refusal.retry_after_s
    if (
        retry_after_s is None
        and refusal.status == HTTPStatus.SERVICE_UNAVAILABLE
    ):
        retry_after_s = DEFAULT_RETRY_AFTER_S
    if retry_after_s is not None:
        seconds = f"{retry_after_s:.3f}".rstrip("0").rstrip(".")
        fields.append((RETRY_AFTER_HEADER, seconds.encode()))
    return ResponseHead(
        status=refusal.status,
        reason=_REASON_PHRASES.get(refusal.status, b"Refused"),
        headers=Headers(tuple(fields)),
        framing=Framing.LENGTH,
        length=len(body),
    )


def refusal_body(refusal: Refusal) -> bytes:
    """Returns the JSON body of a refusal."""
    return _refusal_document(
        refusal.reason.value, refusal.ran.value, refusal.detail
    )


@functools.lru_cache(maxsize=512)
def _refusal_document(reason: str, ran: str, detail: str) -> bytes:
    document = {"error": reason, "ran": ran, "detail": detail}
    return json.dumps(document).encode() + b"\n"
