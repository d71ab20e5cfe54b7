"""What a target tells of itself in its answers reaches admission."""

import dataclasses

import pytest

from tests.call.byte_harness import HEADER_NAMES, ByteHarness, answer
from tests.call.test_server import head_of


class TellingHarness(ByteHarness):
    """A node beside a target that tells its load in each answer."""

    header_names = dataclasses.replace(
        HEADER_NAMES,
        load=b"x-load",
        requests_per_s=b"x-limit",
        leaving=b"x-leaving",
    )


@pytest.mark.parametrize(
    ("fields", "uses_work", "is_limited"),
    [
        (b"", False, False),
        (b"X-Load: 1,0,2\r\n", False, False),
        (b"X-Load: 1,0,2,140\r\n", True, False),
        (b"X-Load: 1,0,2,140\r\nX-Limit: 3\r\n", True, True),
        (b"X-Load: 1,0,2,many\r\nX-Limit: many\r\n", False, False),
    ],
)
def test_an_answer_is_passed_on_and_its_advice_applied(
    fields, uses_work, is_limited
):
    node = TellingHarness()
    transport = node.call(b"1")
    node.receive(answer(b"1", fields=fields))
    assert head_of(transport)[0] == 200
    assert node.host.slots.uses_work is uses_work
    assert node.host.slots.rate.is_limited is is_limited
