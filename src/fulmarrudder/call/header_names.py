"""Header fields whose names differ between deployments.

The call path defines the purpose of each field, and the front end its name. A
field with an empty name is neither read nor written.
"""

import dataclasses
import enum

from fulmarrudder.call.message import (
    IDEMPOTENCY_KEY_HEADER,
    TIMEOUT_HEADER,
    Field,
    RequestHead,
    ResponseHead,
)

SUCCESS_STATUS = range(200, 300)
MISDIRECTED_STATUS = 421


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Field names, in lower case.

    Attributes:
        caller_timeout: From callers: timeout in milliseconds.
        request_id: Id of one attempt of a caller; targets echo it.
        time_remaining: To targets: milliseconds left to work on the request.
        calling_service: To targets: service of the entry node's local target.
        expected_target: To targets: id of the only target that may execute
            the request.
        response_seal: From targets: present in every answer that a target
            produced itself.
        not_run: From targets: the request was refused, not executed.
        load: From targets: running, queued and slots, separated by commas;
            some add how long work takes, 100 being as usual.
        requests_per_s: From targets in need: requests a second that the target
            takes from all nodes together.
        leaving: From targets: "1" if the target is about to stop.
        api_key: From callers: key of their workspace; never passed on.
        workspace: To targets: name of the workspace.
        idempotency_key: From callers: key of a request that must run at most
            once, however often it is sent.
    """

    caller_timeout: bytes = TIMEOUT_HEADER
    request_id: bytes = b""
    time_remaining: bytes = b""
    calling_service: bytes = b""
    expected_target: bytes = b""
    response_seal: bytes = b""
    not_run: bytes = b""
    load: bytes = b""
    requests_per_s: bytes = b""
    leaving: bytes = b""
    api_key: bytes = b""
    workspace: bytes = b""
    idempotency_key: bytes = IDEMPOTENCY_KEY_HEADER


DEFAULT_HEADER_NAMES = HeaderNames()


class AnswerValidity(enum.Enum):
    """Result of the check of an answer's head.

    Attributes:
        VALID: The answer belongs to the request.
        NOT_RUN: The target refused the request without executing it.
        MISDIRECTED: The address belongs to another target.
        MISMATCHED: The answer belongs to another request, or was not produced
            by the target.
    """

    VALID = "sound"
    NOT_RUN = "turned-away"
    MISDIRECTED = "misdirected"
    MISMATCHED = "foreign"


def check_answer(
    head: ResponseHead, request: RequestHead, header_names: HeaderNames
) -> AnswerValidity:
    """Checks whether an answer belongs to its request.

    Args:
        head: Head of the answer.
        request: Head of the request.
        header_names: Field names.
    """
    # Targets echo the request id in every answer. A refusal is checked for it
    # as well, because it states that the request did not run.
    if header_names.request_id and (
        head.headers.get(header_names.request_id)
        != request.headers.get(header_names.request_id)
    ):
        return AnswerValidity.MISMATCHED
    is_misdirected = head.status == MISDIRECTED_STATUS
    if is_misdirected and header_names.expected_target:
        return AnswerValidity.MISDIRECTED
    if (
        header_names.not_run
        and head.headers.get(header_names.not_run) is not None
    ):
        if is_misdirected:
            return AnswerValidity.MISDIRECTED
        return AnswerValidity.NOT_RUN
    if header_names.response_seal and head.status in SUCCESS_STATUS:
        encoded = head.headers.get(b"content-encoding") is not None
        if encoded or head.headers.get(header_names.response_seal) is None:
            return AnswerValidity.MISMATCHED
    return AnswerValidity.VALID


def key_of(head: RequestHead, header_names: HeaderNames) -> bytes:
    """Returns the idempotency key of a request, or empty.

    Args:
        head: Head of the request.
        header_names: Field names.
    """
    if not header_names.idempotency_key:
        return b""
    return head.headers.get(header_names.idempotency_key) or b""


def target_fields(
    header_names: HeaderNames, *, left_ms: int, target: str
) -> tuple[Field, ...]:
    """Returns the fields to a target in addition to those of the caller.

    Args:
        header_names: Field names.
        left_ms: Milliseconds left to work on the request.
        target: Id of the only target that may execute it, or empty.
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
    """Returns the head with the calling service set.

    Removes any values that the caller sent for this field and for the fields
    that the host node sets.

    Args:
        head: Head of the request.
        header_names: Field names.
        service: Service of the entry node's local target.
    """
    set_by_nodes = (
        header_names.calling_service,
        header_names.time_remaining,
        header_names.expected_target,
    )
    added: tuple[Field, ...] = ()
    if header_names.calling_service:
        added = ((header_names.calling_service, service.encode()),)
    return head.with_headers(head.headers.replace(set_by_nodes, *added))


def request_id_fields(
    request: RequestHead, header_names: HeaderNames
) -> tuple[Field, ...]:
    """Returns the request id field of a refusal, if the request has one."""
    if not header_names.request_id:
        return ()
    request_id = request.headers.get(header_names.request_id)
    return (
        () if request_id is None else ((header_names.request_id, request_id),)
    )
