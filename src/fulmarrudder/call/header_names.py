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
class HeaderNames:
    """Field names, in lower case.

    Attributes:
        caller_timeout: From callers: milliseconds that they will wait.
        request_id: Names one attempt of a caller; targets echo it.
        time_remaining: To targets: milliseconds left to work on the request.
        calling_service: To targets: service beside the node where the request began.
        expected_target: To targets: id of the target that alone may run it.
        response_seal: From targets: carried by every answer that a target made.
        not_run: From targets: the request was turned away unrun.
        load: From targets: running, queued and slots, separated by commas.
    """

    caller_timeout: bytes = TIMEOUT_HEADER
    request_id: bytes = b""
    time_remaining: bytes = b""
    calling_service: bytes = b""
    expected_target: bytes = b""
    response_seal: bytes = b""
    not_run: bytes = b""
    load: bytes = b""


DEFAULT_HEADER_NAMES = HeaderNames()


class AnswerValidity(enum.Enum):
    """What the head of a target's answer shows."""

    VALID = "sound"
    NOT_RUN = "turned-away"
    MISDIRECTED = "misdirected"
    MISMATCHED = "foreign"


def check_answer(
    head: ResponseHead, request: RequestHead, header_names: HeaderNames
) -> AnswerValidity:
    """Judges whether an answer belongs to its request.

    Args:
        head: Head of the answer.
        request: Head of the request.
        header_names: Field names.
    """
    if (
        header_names.not_run
        and head.headers.get(header_names.not_run) is not None
    ):
        if head.status == MISDIRECTED_STATUS:
            return AnswerValidity.MISDIRECTED
        return AnswerValidity.NOT_RUN
    if header_names.expected_target and head.status == MISDIRECTED_STATUS:
        return AnswerValidity.MISDIRECTED
    if header_names.request_id:
        asked = request.headers.get(header_names.request_id)
        if (
            asked is not None
            and head.headers.get(header_names.request_id) != asked
        ):
            return AnswerValidity.MISMATCHED
    if header_names.response_seal and head.status in SUCCESS:
        encoded = head.headers.get(b"content-encoding") is not None
        if encoded or head.headers.get(header_names.response_seal) is None:
            return AnswerValidity.MISMATCHED
    return AnswerValidity.VALID


def target_fields(
    header_names: HeaderNames, *, left_ms: int, target: str
) -> tuple[Field, ...]:
    """Returns the fields that a target is sent beside those of the caller.

    Args:
        header_names: Field names.
        left_ms: Milliseconds left to work on the request.
        target: Id of the target that alone may run it, or empty.
    """
    fields = []
    if header_names.time_remaining:
        fields.append((header_names.time_remaining, b"%d" % left_ms))
    if header_names.expected_target and target:
        fields.append((header_names.expected_target, target.encode()))
    return tuple(fields)


def with_calling_service(
    head: RequestHead, header_names: HeaderNames, service: str
) -> RequestHead:
    """Returns the head with the calling service set, whatever was sent.

    Fields that the node beside the target sets are taken out as well.

    Args:
        head: Head of the request.
        header_names: Field names.
        service: Service beside the node where the request began.
    """
    ours = (
        header_names.calling_service,
        header_names.time_remaining,
        header_names.expected_target,
    )
    kept = tuple(f for f in head.headers.fields if f[0] not in ours)
    if header_names.calling_service:
        kept = (*kept, (header_names.calling_service, service.encode()))
    return head.with_headers(Headers(kept))


def request_id_fields(
    request: RequestHead, header_names: HeaderNames
) -> tuple[Field, ...]:
    """Returns the field by which a refusal names the request it answers."""
    if not header_names.request_id:
        return ()
    asked = request.headers.get(header_names.request_id)
    return () if asked is None else ((header_names.request_id, asked),)
