"""Filter: strictness beyond the codec's, and header hygiene."""

import dataclasses
import re

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
PROTECTED = frozenset({b"host", b"authorization", b"idempotency-key"})
_DOT_SEGMENT = re.compile(rb"/(\.|%2e){1,2}(/|$)", re.IGNORECASE)
_CONTROL = re.compile(rb"[\x00-\x20\x7f]")


def sanitize_request(head: RequestHead) -> RequestHead | Refusal:
    """Checks a head, and removes what concerns one hop or nodes only.

    Args:
        head: The head as the codec gave it.

    Returns:
        The head to pass on, or why it is refused.
    """
    sifted = _sift(head.headers)
    if sifted.hosts > 1 or (sifted.hosts == 0 and head.is_http11):
        return malformed("exactly one Host field is needed")
    if not head.target.startswith(b"/"):
        return malformed("request target must start with /")
    if _CONTROL.search(head.target):
        return malformed("request target holds control characters")
    path = head.target.partition(b"?")[0]
    if _DOT_SEGMENT.search(path):
        return malformed("request target holds dot segments")
    expect = sifted.expect
    if expect is not None and expect.lower() != b"100-continue":
        return malformed("expectation is not supported", status=417)
    if sifted.named & PROTECTED:
        return malformed("Connection names an end-to-end field")
    return head.with_headers(sifted.kept)


def sanitize_response(head: ResponseHead) -> ResponseHead:
    """Removes from a response what concerns one hop or nodes only.

    Args:
        head: The head as the codec gave it.
    """
    return head.with_headers(_sift(head.headers).kept)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Sifted:
    """Header fields, sifted in one pass.

    Attributes:
        kept: Fields that concern more than one hop, and not nodes only.
        hosts: How many Host fields there are.
        expect: Value of the first Expect field, or None.
        named: Fields that Connection names, which are not kept either.
    """

    kept: Headers
    hosts: int
    expect: bytes | None
    named: frozenset[bytes]


def _sift(headers: Headers) -> _Sifted:
    kept = []
    hosts = 0
    expect = None
    named: frozenset[bytes] = frozenset()
    for field in headers.fields:
        name, value = field
        if name == b"host":
            hosts += 1
        if name not in HOP_BY_HOP:
            if not name.startswith(INTERNAL_PREFIX):
                kept.append(field)
            continue
        if name == b"connection":
            named |= {part.strip().lower() for part in value.split(b",")}
        elif name == b"expect" and expect is None:
            expect = value
    if named:
        kept = [field for field in kept if field[0] not in named]
    return _Sifted(
        kept=Headers(tuple(kept)), hosts=hosts, expect=expect, named=named
    )
