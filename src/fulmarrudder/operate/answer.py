"""Answers to operators, and their JSON form."""

import dataclasses

from fulmarrudder.border import Kinds
from fulmarrudder.model import Arrangement, ConfigStatus
from fulmarrudder.state_machine import Move


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreStatus:
    """Configuration status of a data centre.

    Attributes:
        name: Name of the data centre.
        heard: Whether a summary of one of its relays arrived recently.
        nodes: Number of nodes that its relays report.
        version: Lowest configuration version of its nodes.
        offset: Lowest log offset of its nodes.
        behind: Records between that offset and the answering node's.
        lagging: Ids of nodes below their relay's own offset, at most a few.
    """

    name: str
    heard: bool
    nodes: int
    version: int
    offset: int
    behind: int
    lagging: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Configuration status of the fleet.

    Attributes:
        answered_by: Id of the answering node.
        version: Configuration version that is active at that node.
        offset: Log offset of that node.
        operator: Operator who published the version.
        log_available: Whether the log answers that node's requests.
        controller: Holder of the controller's duty, or empty.
        open_moves: Number of open moves.
        data_centres: Status of each data centre, by name.
    """

    answered_by: str
    version: int
    offset: int
    operator: str
    log_available: bool
    controller: str
    open_moves: int
    data_centres: tuple[DataCentreStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeList:
    """Configuration status of each node.

    Attributes:
        offset: Log offset of the answering node.
        nodes: Status of each node, by id.
        unheard: Data centres whose relays did not answer.
    """

    offset: int
    nodes: tuple[ConfigStatus, ...]
    unheard: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveStatus:
    """A move and its verdict.

    Attributes:
        move: The move.
        verdict: One line that describes the move's status.
    """

    move: Move
    verdict: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveList:
    """Moves and their verdicts."""

    moves: tuple[MoveStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ActiveArrangement:
    """The arrangement that is active at the answering node."""

    version: int
    arrangement: Arrangement


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Done:
    """A command took effect.

    Attributes:
        offset: Log offset of the command's record.
        version: Configuration version that is active afterwards.
        detail: What was done, for people.
    """

    offset: int
    version: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Denied:
    """A command did not take effect.

    Attributes:
        reason: Identifier of the reason.
        detail: Description of the reason, including who won a race.
        advice: What the operator can do.
    """

    reason: str
    detail: str
    advice: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Undecided:
    """It is not known whether a command took effect.

    Attributes:
        detail: Why it is not known.
        advice: What the operator can do.
    """

    detail: str
    advice: str


Answer = (
    Status | NodeList | MoveList | ActiveArrangement | Done | Denied | Undecided
)
ANSWERS = Kinds(
    status=Status,
    nodes=NodeList,
    moves=MoveList,
    arrangement=ActiveArrangement,
    done=Done,
    denied=Denied,
    undecided=Undecided,
)
