"""Bytes on a link decode to a message or to an error, and never raise."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarrudder.distribution.codec import decode, encode
from fulmarrudder.distribution.message import Delta, FactBatch, Snapshot
from fulmarrudder.log import RawRecord
from fulmarrudder.model import ConfigStatus
from fulmarrudder.state_machine import EMPTY_STATE


@pytest.mark.parametrize(
    "message",
    [
        Delta(after=1, digest="d", records=(RawRecord(offset=2, body="x"),)),
        Snapshot(state=EMPTY_STATE),
        FactBatch(
            facts=(
                ConfigStatus(
                    node="n",
                    incarnation=1,
                    data_centre="d",
                    offset=1,
                    version=1,
                ),
            )
        ),
    ],
)
def test_message_survives_a_round_trip(message):
    assert decode(encode(message)).ok == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        cbor2.dumps([1]),
        cbor2.dumps({"k": "delta", "d": {}}),
        cbor2.dumps({"k": "nope", "d": {}}),
        cbor2.dumps({"k": "spread", "d": {}}),
        cbor2.dumps({"k": "spread", "d": [{"k": "held", "d": {}}]}),
        cbor2.dumps({"k": "delta", "d": {}, "x": 1}),
    ],
)
def test_invalid_bytes_are_an_error(data):
    assert decode(data).is_error()


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=200))
def test_decode_never_raises(data):
    decode(data)
