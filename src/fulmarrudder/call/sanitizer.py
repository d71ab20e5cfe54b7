"""Filter: strict checks of heads, and removal of hop-by-hop fields."""

import dataclasses
import re

from fulmarrudder.call.lines import all_values, drop_lines
from fulmarrudder.call.message import (
    INTERNAL_PREFIX,
    Headers,
    Refusal,
    RequestHead,
    ResponseHead,
)
from fulmarrudder.call.refusals import malformed

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Fields that Connection must not name, because removing them would change the
# meaning of the request.
PROTECTED_FIELDS = frozenset({b"host", b"authorization", b"idempotency-key"})
_DOT_SEGMENT = re.compile(rb"/(\.|%2e){1,2}(/|$)", re.IGNORECASE)
_CONTROL = re.compile(rb"[\x00-\x20\x7f]")


def sanitize_request(head: RequestHead) -> RequestHead | Refusal:
    """Checks a head, and removes hop-by-hop and internal fields.

    Args:
        head: The head as decoded.

    Returns:
        The head to pass on, or a refusal.
    """
    sanitized = _sanitize_headers(head.headers)
    if sanitized.host_count > 1 or (
        sanitized.host_count == 0 and head.is_http11
    ):
        return malformed("exactly one Host field is needed")
    if not head.target.startswith(b"/"):
        return malformed("request target must start with /")
    if _CONTROL.search(head.target):
        return malformed("request target holds control characters")
    path = head.target.partition(b"?")[0]
    if _DOT_SEGMENT.search(path):
        return malformed("request target holds dot segments")
    expect = sanitized.expect
    if expect is not None and expect.lower() != b"100-continue":
        return malformed("expectation is not supported", status=417)
    if sanitized.connection_options & PROTECTED_FIELDS:
        return malformed("Connection names an end-to-end field")
    return head.with_headers(sanitized.kept)


def sanitize_response(head: ResponseHead) -> ResponseHead:
    """Removes hop-by-hop and internal fields from a response.

    Args:
        head: The head as decoded.
    """
    return head.with_headers(_sanitize_headers(head.headers).kept)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _SanitizedHeaders:
    """Result of one pass over the header fields.

    Attributes:
        kept: End-to-end fields that are not internal.
        host_count: Number of Host fields.
        expect: Value of the first Expect field, or None.
        connection_options: Names listed in Connection; removed as well.
    """

    kept: Headers
    host_count: int
    expect: bytes | None
    connection_options: frozenset[bytes]


def _sanitize_headers(headers: Headers) -> _SanitizedHeaders:
    kept = []
    host_count = 0
    expect = None
    connection_options: frozenset[bytes] = frozenset()
    for field in headers.fields:
        name, value = field
        if name == b"host":
            host_count += 1
        if name not in HOP_BY_HOP:
            if not name.startswith(INTERNAL_PREFIX):
                kept.append(field)
            continue
        if name == b"connection":
            connection_options |= _options(value)
        elif name == b"expect" and expect is None:
            expect = value
    block = headers.block
    if block:
        host_count = headers.count(b"host")
        expect = headers.get(b"expect")
        values = all_values(block, b"connection")
        if values:
            connection_options |= _options(b",".join(values))
        dropped = HOP_BY_HOP | connection_options
        block = drop_lines(block, dropped, INTERNAL_PREFIX)
    if connection_options:
        kept = [field for field in kept if field[0] not in connection_options]
    return _SanitizedHeaders(
        kept=Headers(tuple(kept), block),
        host_count=host_count,
        expect=expect,
        connection_options=connection_options,
    )


def _options(value: bytes) -> frozenset[bytes]:
    return frozenset(part.strip().lower() for part in value.split(b","))
