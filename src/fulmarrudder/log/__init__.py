"""Client of the append-only log: appends, reads and decodes records."""

from fulmarrudder.log.backoff import Backoff
from fulmarrudder.log.codec import (
    Envelope,
    decode_envelope,
    decode_record,
    encode_envelope,
)
from fulmarrudder.log.errors import (
    DecodeError,
    ExpiredError,
    LogError,
    UnavailableError,
    UndecidedError,
)
from fulmarrudder.log.http import HttpLogService
from fulmarrudder.log.service import (
    CONFIG_STREAM,
    DUTIES_STREAM,
    NEWEST_RECORD,
    SNAPSHOTS_STREAM,
    Batch,
    LogService,
    RawRecord,
    claims_stream,
)
from fulmarrudder.log.snapshot import decode_state, encode_state
from fulmarrudder.log.submit import Submitter
from fulmarrudder.log.tail import Tail

__all__ = [
    "CONFIG_STREAM",
    "DUTIES_STREAM",
    "NEWEST_RECORD",
    "SNAPSHOTS_STREAM",
    "Backoff",
    "Batch",
    "DecodeError",
    "Envelope",
    "ExpiredError",
    "HttpLogService",
    "LogError",
    "LogService",
    "RawRecord",
    "Submitter",
    "Tail",
    "UnavailableError",
    "UndecidedError",
    "claims_stream",
    "decode_envelope",
    "decode_state",
    "encode_envelope",
    "encode_state",
    "decode_record",
]
