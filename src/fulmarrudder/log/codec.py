"""Codec of the log: JSON text to typed records and back."""

import dataclasses
import hashlib
import json

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.border import Kinds
from fulmarrudder.log.errors import DecodeError
from fulmarrudder.log.service import RawRecord
from fulmarrudder.model import (
    Amend,
    ClaimDuty,
    ClaimKey,
    CloseMove,
    EndMove,
    KeyRecordBody,
    Publish,
    Record,
    RecordBody,
    ReleaseKey,
    RenewDuty,
    SettleKey,
    StartMove,
    StepMove,
)

CHECKSUM_BYTES = 16

_KINDS = Kinds(
    publish=Publish,
    amend=Amend,
    start_move=StartMove,
    step_move=StepMove,
    end_move=EndMove,
    close_move=CloseMove,
    claim_duty=ClaimDuty,
    renew_duty=RenewDuty,
    claim_key=ClaimKey,
    settle_key=SettleKey,
    release_key=ReleaseKey,
)


class _EnvelopeModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    id: str = pydantic.Field(min_length=1, max_length=64)
    body: dict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """A decoded record without its offset."""

    id: str
    body: RecordBody | RenewDuty | KeyRecordBody


def encode_envelope(envelope: Envelope) -> str:
    """Encodes a record's id and body as JSON text."""
    body = _KINDS.dump(envelope.body, json_types=True)
    document = {"id": envelope.id, "body": body}
    return json.dumps(document, separators=(",", ":"))


def decode_envelope(text: str) -> Result[Envelope, DecodeError]:
    """Decodes and validates JSON text.

    Args:
        text: A record's body as stored in the log.

    Returns:
        The envelope, or the error.
    """
    try:
        envelope = _EnvelopeModel.model_validate_json(text)
    except pydantic.ValidationError as error:
        return Error(DecodeError(str(error)))
    loaded = _KINDS.load(envelope.body)
    if loaded.is_error():
        return Error(DecodeError(str(loaded.error)))
    return Ok(Envelope(id=envelope.id, body=loaded.ok))


def checksum(text: str) -> str:
    """Returns the hexadecimal digest of a record's text."""
    digest = hashlib.blake2b(text.encode(), digest_size=CHECKSUM_BYTES)
    return digest.hexdigest()


def decode_record(raw: RawRecord) -> Record:
    """Decodes a raw record for the state machine.

    A record that cannot be decoded keeps its offset and has no body, so that
    every node refuses it in the same way.
    """
    digest = checksum(raw.body)
    decoded = decode_envelope(raw.body)
    if decoded.is_error():
        return Record(offset=raw.offset, id=digest, body=None, checksum=digest)
    envelope = decoded.ok
    return Record(
        offset=raw.offset,
        id=envelope.id,
        body=envelope.body,
        checksum=digest,
    )
