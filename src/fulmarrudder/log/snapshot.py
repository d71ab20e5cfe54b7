"""Codec of snapshots: the replicated state as JSON text."""

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.log.errors import DecodeError
from fulmarrudder.state_machine import State

_STATE = pydantic.TypeAdapter(State)


def encode_state(state: State) -> str:
    """Encodes the replicated state as JSON text."""
    return _STATE.dump_json(state, by_alias=True).decode()


def decode_state(text: str) -> Result[State, DecodeError]:
    """Decodes and validates a replicated state."""
    try:
        return Ok(_STATE.validate_json(text))
    except pydantic.ValidationError as error:
        return Error(DecodeError(str(error)))
