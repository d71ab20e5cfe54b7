"""Filter: strictness beyond the codec's, and header hygiene."""

import re

from fulmarrudder.call.message import (
    OWN_PREFIX,
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


def screen(head: RequestHead) -> RequestHead | Refusal:
    """Checks a head and removes what concerns one hop only.

    Args:
        head: The head as the codec gave it.

    Returns:
        The head to pass on, or why it is refused.
    """
    hosts = head.headers.count(b"host")
    if hosts > 1 or (hosts == 0 and head.modern):
        return malformed("exactly one Host field is needed")
    if not head.target.startswith(b"/"):
        return malformed("request target must start with /")
    if _CONTROL.search(head.target):
        return malformed("request target holds control characters")
    path = head.target.partition(b"?")[0]
    if _DOT_SEGMENT.search(path):
        return malformed("request target holds dot segments")
    expect = head.headers.get(b"expect")
    if expect is not None and expect.lower() != b"100-continue":
        return malformed("expectation is not supported", status=417)
    named = _named_by_connection(head.headers)
    if named & PROTECTED:
        return malformed("Connection names an end-to-end field")
    headers = _without(head.headers, HOP_BY_HOP | named)
    return head.with_headers(headers)


def strip_own(head: RequestHead) -> RequestHead:
    """Removes fields that only nodes may set."""
    return head.with_headers(_without_own(head.headers))


def clean_response(head: ResponseHead, *, from_target: bool) -> ResponseHead:
    """Removes from a response what concerns one hop only.

    Args:
        head: The head as the codec gave it.
        from_target: Whether it comes from a target, which must not set the
            fields that only nodes may set.
    """
    dropped = HOP_BY_HOP | _named_by_connection(head.headers)
    headers = _without(head.headers, dropped)
    if from_target:
        headers = _without_own(headers)
    return head.with_headers(headers)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    names: set[bytes] = set()
    for name, value in headers.fields:
        if name != b"connection":
            continue
        names.update(part.strip().lower() for part in value.split(b","))
    return frozenset(names)


def _without(headers: Headers, names: frozenset[bytes]) -> Headers:
    return Headers(tuple(f for f in headers.fields if f[0] not in names))


def _without_own(headers: Headers) -> Headers:
    return Headers(
        tuple(f for f in headers.fields if not f[0].startswith(OWN_PREFIX))
    )
