"""State that every node computes from the same prefix of the log."""

import dataclasses
import enum

from fulmarrudder.model import Arrangement, Decision, Service


class Phase(enum.Enum):
    """Phase of a move."""

    RUNNING = "running"
    COMPLETING = "completing"
    COMPLETED = "completed"
    TAKING_BACK = "taking-back"
    TAKEN_BACK = "taken-back"


OPEN_PHASES = frozenset({Phase.RUNNING, Phase.COMPLETING, Phase.TAKING_BACK})
CLOSED_PHASE = {
    Phase.COMPLETING: Phase.COMPLETED,
    Phase.TAKING_BACK: Phase.TAKEN_BACK,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """A move: the rollout of another target version of a service, in steps.

    Attributes:
        permille: Share of the new version, in thousandths.
        deadline: Wall-clock seconds by which it should be completed.
        opened: Offset of the record that opened the move.
        changed: Offset of the last record that changed the move.
        by: Who decided the move; empty before the decision.
        reason: Why it was decided; empty before the decision.
        data_centres: Data centres that have confirmed the decision; empty
            before the move is closed.
    """

    id: str
    service: str
    from_version: str
    to_version: str
    operator: str
    deadline: float
    permille: int = 0
    phase: Phase = Phase.RUNNING
    opened: int = 0
    changed: int = 0
    decision: Decision | None = None
    by: str = ""
    reason: str = ""
    data_centres: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Duty:
    """A duty, which is a leased role, and the node that holds it.

    Attributes:
        name: `controller`, or the name of a relay duty.
        term: Fencing token; each claim raises it by 1.
        holder: Node that claimed the duty last.
    """

    name: str
    term: int
    holder: str
    data_centre: str
    mesh_address: str
    admin_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CurrentVersion:
    """The target version that receives a service's traffic by default."""

    service: str
    target_version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """State after the record at `offset`.

    Attributes:
        offset: Offset of the last record applied; -1 before the first.
        digest: Chained digest of all records applied, hexadecimal.
        version: Active configuration version; 0 before the first.
        operator: Operator who published it.
        arrangement: The active arrangement.
        currents: Current target version of each service, sorted by service.
        moves: Open moves, sorted by id.
        history: The latest closed moves, oldest first.
        duties: Duties that have been claimed, sorted by name.
        seen: Ids of the latest appends, oldest first, to detect duplicates.
    """

    offset: int = -1
    digest: str = ""
    version: int = 0
    operator: str = ""
    arrangement: Arrangement = Arrangement()
    currents: tuple[CurrentVersion, ...] = ()
    moves: tuple[Move, ...] = ()
    history: tuple[Move, ...] = ()
    duties: tuple[Duty, ...] = ()
    seen: tuple[str, ...] = ()


EMPTY_STATE = State()


def service_named(arrangement: Arrangement, name: str) -> Service | None:
    """Returns a service by name, or None."""
    for service in arrangement.services:
        if service.name == name:
            return service
    return None


def current_version_of(state: State, service: str) -> str | None:
    """Returns the current target version of a service, or None."""
    for current in state.currents:
        if current.service == service:
            return current.target_version
    return None


def open_move_of(state: State, service: str) -> Move | None:
    """Returns the open move of a service, or None."""
    for move in state.moves:
        if move.service == service:
            return move
    return None


def move_by_id(state: State, move_id: str) -> Move | None:
    """Returns an open or closed move by its id, or None."""
    for move in state.moves + state.history:
        if move.id == move_id:
            return move
    return None


def duty_named(state: State, name: str) -> Duty | None:
    """Returns a duty by name, or None before its first claim."""
    for duty in state.duties:
        if duty.name == name:
            return duty
    return None
