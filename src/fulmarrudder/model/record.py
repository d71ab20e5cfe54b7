"""Records of the platform's log, as the fold sees them."""

import dataclasses
import enum

from fulmarrudder.model.arrangement import Arrangement, Route, Service


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Publish:
    """Puts a new configuration version in place of the expected one."""

    operator: str
    expected: int
    arrangement: Arrangement


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Amend:
    """Puts a new version in place of the expected one, told by differences.

    Attributes:
        services: Services that are new or changed.
        routes: Routes that are new or changed.
        dropped_services: Names of services that are gone.
        dropped_routes: Names of routes that are gone.
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
    """Raises the share of a move; only the controller's term may."""

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
    """Decides a move; by an operator, or by the controller with its term.

    Attributes:
        term: The controller's term, or 0 when an operator decides.
    """

    move: str
    decision: Decision
    by: str
    reason: str
    term: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CloseMove:
    """States that the decision holds in every data centre listed."""

    move: str
    term: int
    data_centres: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimDuty:
    """Takes a duty over from the holder of the expected term."""

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
        id: Id of the append; a second copy carries the same one.
        body: What the record says, or None when it could not be decoded.
        checksum: Digest of the record's bytes, hexadecimal.
    """

    offset: int
    id: str
    body: RecordBody | None
    checksum: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RenewDuty:
    """Heartbeat of a duty's holder, in the stream of duties."""

    duty: str
    holder: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimKey:
    """Claims an idempotency key before its request runs.

    Attributes:
        key: The caller's key.
        fingerprint: Digest of the request that carries it.
    """

    key: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettleKey:
    """Keeps the answer of the request that ran under a claim.

    Attributes:
        claim: Id of the claim's record.
        status: HTTP status of the answer.
        content_type: Media type of the answer.
        body: The answer, or None when it is too large to keep.
    """

    key: str
    claim: str
    status: int
    content_type: str
    body: str | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseKey:
    """Gives a claim up whose request did not run."""

    key: str
    claim: str


KeyRecordBody = ClaimKey | SettleKey | ReleaseKey
