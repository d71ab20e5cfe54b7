"""Names of the header fields that callers and targets of a fleet speak.

The call path knows what each field is for; what it is called is the front
end's affair. A field whose name is empty is neither read nor written.
"""

import dataclasses
import enum

from fulmarrudder.call.message import (
    TIMEOUT_HEADER,
    Field,
    Headers,
    RequestHead,
    ResponseHead,
)

SUCCESS = range(200, 300)
MISDIRECTED_STATUS = 421


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Field names, in lower case.

    Attributes:
        time_left: From callers: milliseconds that they will wait.
        request_id: Names one attempt of a caller; targets echo it.
        work_until: To targets: milliseconds left to work on the request.
        caller: To targets: service beside the node where the request began.
        expected: To targets: id of the target that alone may run it.
        seal: From targets: carried by every answer that a target made.
        not_run: From targets: the request was turned away unrun.
        load: From targets: running, queued and slots, separated by commas.
    """

    time_left: bytes = TIMEOUT_HEADER
    request_id: bytes = b""
    work_until: bytes = b""
    caller: bytes = b""
    expected: bytes = b""
    seal: bytes = b""
    not_run: bytes = b""
    load: bytes = b""


OWN = Dialect()


class Soundness(enum.Enum):
    """What the head of a target's answer shows."""

    SOUND = "sound"
    TURNED_AWAY = "turned-away"
    MISDIRECTED = "misdirected"
    FOREIGN = "foreign"


def soundness(
    head: ResponseHead, request: RequestHead, dialect: Dialect
) -> Soundness:
    """Judges whether an answer belongs to its request.

    Args:
        head: Head of the answer.
        request: Head of the request.
        dialect: Field names.
    """
    if dialect.not_run and head.headers.get(dialect.not_run) is not None:
        if head.status == MISDIRECTED_STATUS:
            return Soundness.MISDIRECTED
        return Soundness.TURNED_AWAY
    if dialect.expected and head.status == MISDIRECTED_STATUS:
        return Soundness.MISDIRECTED
    if dialect.request_id:
        asked = request.headers.get(dialect.request_id)
        if asked is not None and head.headers.get(dialect.request_id) != asked:
            return Soundness.FOREIGN
    if dialect.seal and head.status in SUCCESS:
        encoded = head.headers.get(b"content-encoding") is not None
        if encoded or head.headers.get(dialect.seal) is None:
            return Soundness.FOREIGN
    return Soundness.SOUND


def for_target(
    dialect: Dialect, *, left_ms: int, target: str
) -> tuple[Field, ...]:
    """Returns the fields that a target is sent beside those of the caller.

    Args:
        dialect: Field names.
        left_ms: Milliseconds left to work on the request.
        target: Id of the target that alone may run it, or empty.
    """
    fields = []
    if dialect.work_until:
        fields.append((dialect.work_until, b"%d" % left_ms))
    if dialect.expected and target:
        fields.append((dialect.expected, target.encode()))
    return tuple(fields)


def from_caller(
    head: RequestHead, dialect: Dialect, service: str
) -> RequestHead:
    """Returns the head with the calling service set, whatever was sent.

    Fields that the node beside the target sets are taken out as well.

    Args:
        head: Head of the request.
        dialect: Field names.
        service: Service beside the node where the request began.
    """
    ours = (dialect.caller, dialect.work_until, dialect.expected)
    kept = tuple(f for f in head.headers.fields if f[0] not in ours)
    if dialect.caller:
        kept = (*kept, (dialect.caller, service.encode()))
    return head.with_headers(Headers(kept))


def id_fields(request: RequestHead, dialect: Dialect) -> tuple[Field, ...]:
    """Returns the field by which a refusal names the request it answers."""
    if not dialect.request_id:
        return ()
    asked = request.headers.get(dialect.request_id)
    return () if asked is None else ((dialect.request_id, asked),)
