"""Client of the append-only log: appends, reads and decodes records.

The service over HTTP (`http`) and the codec of snapshots (`snapshot`) are
imported by those who use them.
"""

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
    "LogError",
    "LogService",
    "RawRecord",
    "Submitter",
    "Tail",
    "UnavailableError",
    "UndecidedError",
    "claims_stream",
    "decode_envelope",
    "encode_envelope",
    "decode_record",
]
