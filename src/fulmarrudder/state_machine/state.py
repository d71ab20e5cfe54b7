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
    """A move of a service from one target version to another.

    Attributes:
        permille: Share of the new version, in thousandths.
        deadline: Wall-clock seconds by which it should be completed.
        changed: Offset of the last record that changed the move.
        by: Who decided it, once decided.
        reason: Why, once decided.
        data_centres: Where the decision is known to hold, once closed.
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
    """A duty and the node that last claimed it."""

    name: str
    term: int
    holder: str
    data_centre: str
    mesh_address: str
    admin_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CurrentVersion:
    """The target version that a service's traffic goes to by default."""

    service: str
    target_version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class State:
    """The folded state after the record at `offset`.

    Attributes:
        offset: Offset of the last record applied; -1 before any.
        digest: Chain digest over all records applied, hexadecimal.
        version: Configuration version in force; 0 before any.
        operator: Who published it.
        arrangement: The arrangement in force.
        currents: Current target version of each service, sorted by service.
        moves: Open moves, sorted by id.
        history: Closed moves, oldest first, bounded.
        duties: Duties ever claimed, sorted by name.
        seen: Ids of the latest appends, oldest first, bounded.
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


EMPTY = State()


def service_named(arrangement: Arrangement, name: str) -> Service | None:
    """Finds a service by name."""
    for service in arrangement.services:
        if service.name == name:
            return service
    return None


def current_version_of(state: State, service: str) -> str | None:
    """Returns the current target version of a service, if it is known."""
    for current in state.currents:
        if current.service == service:
            return current.target_version
    return None


def open_move_of(state: State, service: str) -> Move | None:
    """Returns the open move of a service, if there is one."""
    for move in state.moves:
        if move.service == service:
            return move
    return None


def move_by_id(state: State, move_id: str) -> Move | None:
    """Returns an open or closed move by its id."""
    for move in state.moves + state.history:
        if move.id == move_id:
            return move
    return None


def duty_named(state: State, name: str) -> Duty | None:
    """Returns a duty by name, if it was ever claimed."""
    for duty in state.duties:
        if duty.name == name:
            return duty
    return None
