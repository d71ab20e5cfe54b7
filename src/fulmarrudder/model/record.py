"""Records of the platform's log, in decoded form."""

import dataclasses
import enum

from fulmarrudder.model.arrangement import Arrangement, Route, Service


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Publish:
    """Replaces the configuration version `expected` by a new one."""

    operator: str
    expected: int
    arrangement: Arrangement


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Amend:
    """Replaces the version `expected` by one given as differences from it.

    Attributes:
        services: Services that are new or changed.
        routes: Routes that are new or changed.
        dropped_services: Names of services that are removed.
        dropped_routes: Names of routes that are removed.
    """

    operator: str
    expected: int
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    dropped_services: tuple[str, ...] = ()
    dropped_routes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartMove:
    """Opens a move of a service to another target version.

    Attributes:
        expected: Configuration version that must be active.
        deadline: Wall-clock seconds by which the move should be completed.
    """

    move: str
    operator: str
    service: str
    to_version: str
    expected: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StepMove:
    """Raises the share of a move; valid only with the controller's term."""

    move: str
    term: int
    expected_permille: int
    permille: int


class Decision(enum.Enum):
    """How a move ends."""

    COMPLETE = "complete"
    TAKE_BACK = "take-back"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndMove:
    """Decides a move, for an operator or for the controller.

    Attributes:
        by: Operator, or the controller, that decides.
        term: The controller's term, or 0 when an operator decides.
    """

    move: str
    decision: Decision
    by: str
    reason: str
    term: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseMove:
    """Closes a decided move.

    Attributes:
        data_centres: Data centres whose nodes have applied the decision.
    """

    move: str
    term: int
    data_centres: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimDuty:
    """Assigns a duty to the node that claims it.

    Attributes:
        expected_term: Term that the duty must have; 0 before the first claim.
    """

    duty: str
    holder: str
    data_centre: str
    mesh_address: str
    admin_address: str
    expected_term: int


RecordBody = (
    Publish | Amend | StartMove | StepMove | EndMove | CloseMove | ClaimDuty
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One record of the configuration stream.

    Attributes:
        offset: Position in the stream.
        id: Id of the append; a repeated append has the same one.
        body: Content, or None when it could not be decoded.
        checksum: Digest of the record's bytes, hexadecimal.
    """

    offset: int
    id: str
    body: RecordBody | None
    checksum: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RenewDuty:
    """Renews the lease on a duty, in the stream of duties."""

    duty: str
    holder: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimKey:
    """Claims an idempotency key before its request is executed.

    Attributes:
        key: The caller's idempotency key.
        fingerprint: Digest of the request that has the key.
    """

    key: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettleKey:
    """Stores the answer of the request that was executed under a claim.

    Attributes:
        claim: Id of the claim's record.
        status: HTTP status of the answer.
        content_type: Media type of the answer.
        body: Body of the answer, or None when it is too large to store.
    """

    key: str
    claim: str
    status: int
    content_type: str
    body: str | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseKey:
    """Releases a claim whose request was not executed."""

    key: str
    claim: str


KeyRecordBody = ClaimKey | SettleKey | ReleaseKey
