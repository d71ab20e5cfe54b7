"""Message types of the call path."""

import dataclasses
import enum
from collections.abc import Collection

from fulmarrudder.call.lines import count_lines, drop_lines, first_value

PEER_HEADER = b"fulmarrudder-peer"
TIMEOUT_HEADER = b"fulmarrudder-timeout-ms"
RAN_HEADER = b"fulmarrudder-ran"
REACHED_TARGET_HEADER = b"fulmarrudder-arrived"
LOAD_HEADER = b"fulmarrudder-load"
WORK_HEADER = b"fulmarrudder-work"
ASKER_HEADER = b"fulmarrudder-asker"
RUN_ENDED_HEADER = b"fulmarrudder-ended"
RETRY_AFTER_HEADER = b"retry-after"
REASON_HEADER = b"fulmarrudder-reason"
INTERNAL_PREFIX = b"fulmarrudder-"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"


Field = tuple[bytes, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Headers:
    """Header fields in their order; names are lower case.

    Attributes:
        fields: Pairs of name and value.
        block: The lines after these of a head with very many, see
            `fulmarrudder.call.lines`.
    """

    fields: tuple[Field, ...] = ()
    block: bytes = b""

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a field, or None."""
        for found, value in self.fields:
            if found == name:
                return value
        return first_value(self.block, name) if self.block else None

    def count(self, name: bytes) -> int:
        """Counts the fields with a name."""
        count = sum(1 for found, _ in self.fields if found == name)
        return count + count_lines(self.block, name) if self.block else count

    def replace(self, names: Collection[bytes], *added: Field) -> "Headers":
        """Returns the fields without some names, and with others added.

        Args:
            names: Names of the fields to remove.
            added: Fields to add.
        """
        kept = [field for field in self.fields if field[0] not in names]
        block = drop_lines(self.block, names) if self.block else b""
        return Headers((*kept, *added), block)


class Framing(enum.Enum):
    """How the end of a body is delimited."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """Head of a request.

    Attributes:
        target: Request target: path and query, as received.
        length: Length of the body in bytes when framing is LENGTH.
        keep_alive: Whether the connection may serve another request.
        is_http11: Whether the request is HTTP/1.1 rather than 1.0.
    """

    method: bytes
    target: bytes
    headers: Headers
    framing: Framing = Framing.NONE
    length: int = 0
    keep_alive: bool = True
    is_http11: bool = True

    def with_headers(self, headers: Headers) -> "RequestHead":
        """Returns the head with other header fields."""
        return RequestHead(
            method=self.method,
            target=self.target,
            headers=headers,
            framing=self.framing,
            length=self.length,
            keep_alive=self.keep_alive,
            is_http11=self.is_http11,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Head of a response."""

    status: int
    reason: bytes
    headers: Headers
    framing: Framing = Framing.NONE
    length: int = 0
    keep_alive: bool = True

    def with_headers(self, headers: Headers) -> "ResponseHead":
        """Returns the head with other header fields."""
        return ResponseHead(
            status=self.status,
            reason=self.reason,
            headers=headers,
            framing=self.framing,
            length=self.length,
            keep_alive=self.keep_alive,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPart:
    """A part of a body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BodyEnd:
    """The end of a message."""


@dataclasses.dataclass(frozen=True, slots=True)
class Continue:
    """Interim response 100: the other side is ready for the body."""


class Ran(enum.Enum):
    """Whether a target executed the refused request."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class RefusalReason(enum.Enum):
    """Why a request is refused; the value is sent to the caller."""

    MALFORMED = "malformed-request"
    HEADERS_TOO_LARGE = "headers-too-large"
    UNSUPPORTED = "not-supported"
    NO_ROUTE = "no-route"
    NO_ARRANGEMENT = "no-arrangement-yet"
    NO_TARGET = "no-target"
    OVERLOADED = "overloaded"
    BUSY = "busy"
    TARGET_SHED = "target-shed"
    MISDIRECTED = "target-replaced"
    INVALID_ANSWER = "unsound-answer"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TIMEOUT = "head-not-finished"
    LEAVING = "leaving"
    WRONG_TARGET = "wrong-target"
    NOT_A_PEER = "not-a-peer"
    POISON = "crashed-targets-before"
    DEADLINE = "deadline-passed"
    UNREACHABLE = "target-unreachable"
    CONNECTION_BROKEN = "connection-broken"
    CLAIMS_UNAVAILABLE = "claims-unavailable"
    KEY_REUSED = "idempotency-key-reused"
    KEY_PENDING = "idempotency-key-pending"
    ALREADY_RAN = "already-ran"
    STOPPED = "stopped"
    UNKNOWN_KEY = "unknown-key"
    UNCONFIRMED = "configuration-not-confirmed"
    EVACUATED = "evacuated"
    QUOTA = "quota-exceeded"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """A node's own answer in place of the target's.

    Attributes:
        retry_after_s: Seconds after which the caller may retry; None for the
            default of the status.
        reached_target: Whether the request was sent to a target, even if the
            target did not execute it.
        run_ended: Whether the target is known not to be at work on it.
    """

    status: int
    reason: RefusalReason
    ran: Ran
    detail: str = ""
    retry_after_s: float | None = None
    reached_target: bool = False
    run_ended: bool = False
