"""Pipeline between the platform's log and typed records."""

from fulmarrudder.log.backoff import Backoff
from fulmarrudder.log.border import Envelope, decode, encode, record_from
from fulmarrudder.log.errors import (
    DecodeError,
    ExpiredError,
    LogError,
    UnavailableError,
    UndecidedError,
)
from fulmarrudder.log.http import HttpLogService
from fulmarrudder.log.service import (
    CONFIG,
    DUTIES,
    LAST,
    SNAPSHOTS,
    Batch,
    LogService,
    RawRecord,
    claims_stream,
)
from fulmarrudder.log.snapshot import decode_state, encode_state
from fulmarrudder.log.submit import Submitter
from fulmarrudder.log.tail import Tail

__all__ = [
    "CONFIG",
    "DUTIES",
    "LAST",
    "SNAPSHOTS",
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
    "decode",
    "decode_state",
    "encode",
    "encode_state",
    "record_from",
]
