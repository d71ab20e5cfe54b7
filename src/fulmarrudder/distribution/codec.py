"""Encodes messages between nodes as CBOR, and validates received ones."""

import cbor2
from expression import Error, Ok, Result

from fulmarrudder.border import Kinds
from fulmarrudder.distribution.errors import MessageError
from fulmarrudder.distribution.message import (
    ClaimRequest,
    ConfigChange,
    Delta,
    Document,
    FactBatch,
    Hello,
    InterestUpdate,
    Message,
    PathUpdate,
    Redirect,
    ResyncRequest,
    Snapshot,
    SourceUpdate,
    UpToDate,
    Vacancy,
)
from fulmarrudder.model import (
    Brake,
    ConfigStatus,
    ConfigSummary,
    Evacuation,
    Evidence,
    MoveProgress,
    Presence,
    SourceEra,
    Strike,
)
from fulmarrudder.quotas.message import QuotaReport, QuotaUse

MESSAGE_KINDS = Kinds(
    hello=Hello,
    placed=PathUpdate,
    redirect=Redirect,
    delta=Delta,
    whole=Snapshot,
    in_step=UpToDate,
    resync=ResyncRequest,
    interest=InterestUpdate,
    nominate=ClaimRequest,
    document=Document,
    change=ConfigChange,
    source=SourceUpdate,
    counted=QuotaReport,
    used=QuotaUse,
    vacancy=Vacancy,
)
FACT_KINDS = Kinds(
    presence=Presence,
    brake=Brake,
    strike=Strike,
    held=ConfigStatus,
    evidence=Evidence,
    summary=ConfigSummary,
    course=MoveProgress,
    evacuation=Evacuation,
    era=SourceEra,
)
FACT_BATCH_KIND = "spread"


def encode(message: Message) -> bytes:
    """Encodes a message."""
    if isinstance(message, FactBatch):
        facts = [
            FACT_KINDS.dump(fact, json_types=True) for fact in message.facts
        ]
        document = {"k": FACT_BATCH_KIND, "d": facts}
    else:
        document = MESSAGE_KINDS.dump(message, json_types=True)
    return cbor2.dumps(document, string_referencing=True)


def decode(data: bytes) -> Result[Message, MessageError]:
    """Decodes and validates a message.

    Args:
        data: A frame's payload.

    Returns:
        The message, or the error that makes the bytes invalid.
    """
    try:
        document = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Error(MessageError(str(error)))
    if isinstance(document, dict) and document.get("k") == FACT_BATCH_KIND:
        return _decode_fact_batch(document.get("d"))
    return MESSAGE_KINDS.load(document).map_error(
        lambda error: MessageError(str(error))
    )


def _decode_fact_batch(documents) -> Result[Message, MessageError]:
    if not isinstance(documents, list):
        return Error(MessageError("facts message does not contain a list"))
    facts = []
    for document in documents:
        loaded = FACT_KINDS.load(document)
        if loaded.is_error():
            return Error(MessageError(str(loaded.error)))
        facts.append(loaded.ok)
    return Ok(FactBatch(facts=tuple(facts)))
