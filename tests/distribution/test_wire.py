"""Guards the bytes on links between nodes against a rename of a class or field.

Nodes of two builds share a fleet while it is upgraded, so that the bytes of
each message stay as they are.
"""

import cbor2
import pytest

from fulmarrudder.distribution.codec import decode, encode
from tests.samples import MESSAGES


@pytest.mark.parametrize("index", range(len(MESSAGES)))
def test_bytes_of_a_message_stay(index, snapshot):
    data = encode(MESSAGES[index])
    assert cbor2.loads(data) == snapshot(name="document")
    assert data.hex() == snapshot(name="bytes")
    assert decode(data).ok == MESSAGES[index]
