"""Fields that are kept as a block are handled as parsed ones are."""

from hypothesis import given
from hypothesis import strategies as st

from fulmarrudder.call.codec import RequestDecoder, encode_request
from fulmarrudder.call.lines import encode_line
from fulmarrudder.call.message import Headers, RequestHead
from fulmarrudder.call.sanitizer import sanitize_request

NAMES = (
    b"host",
    b"connection",
    b"te",
    b"expect",
    b"a",
    b"ab",
    b"b",
    b"fulmarrudder-peer",
)
VALUES = (b"", b"a", b"te", b"100-continue", b"a, b", b"x: y")
FIELDS = st.lists(
    st.tuples(st.sampled_from(NAMES), st.sampled_from(VALUES)), max_size=12
)


def split(fields, parsed):
    block = b"".join(encode_line(*field) for field in fields[parsed:])
    return Headers(tuple(fields[:parsed]), block)


def parsed_again(head):
    """Returns the fields of a head as the next node decodes them."""
    data = encode_request(head)
    return sorted(RequestDecoder().feed(data)[0].headers.fields)


@given(
    fields=FIELDS,
    parsed=st.integers(0, 12),
    names=st.sets(st.sampled_from(NAMES)),
)
def test_lookups_and_removals_do_not_depend_on_the_block(fields, parsed, names):
    whole, parts = Headers(tuple(fields)), split(fields, parsed)
    for name in NAMES:
        assert parts.get(name) == whole.get(name)
        assert parts.count(name) == whole.count(name)
    left = [Headers.replace(headers, names) for headers in (whole, parts)]
    for name in NAMES:
        assert left[0].count(name) == left[1].count(name)


@given(fields=FIELDS, parsed=st.integers(0, 12))
def test_sanitized_heads_do_not_depend_on_the_block(fields, parsed):
    results = [
        sanitize_request(
            RequestHead(method=b"GET", target=b"/", headers=headers)
        )
        for headers in (Headers(tuple(fields)), split(fields, parsed))
    ]
    if not isinstance(results[0], RequestHead):
        assert results[0] == results[1]
        return
    assert parsed_again(results[0]) == parsed_again(results[1])
