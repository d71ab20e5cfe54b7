"""Answers to operators, and their border."""

import dataclasses

from fulmarrudder.border import Kinds
from fulmarrudder.model import Arrangement, ConfigStatus
from fulmarrudder.state_machine import Move


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreStatus:
    """What a data centre's nodes hold.

    Attributes:
        heard: Whether a relay of it was heard lately.
        nodes: Nodes that its relays know.
        version: Lowest configuration version held.
        offset: Lowest offset held.
        behind: Records between that and the newest known here.
        lagging: Nodes below their relay's own offset, at most a few.
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
    """What is in force where.

    Attributes:
        version: Configuration version in force at the node that answers.
        log_available: Whether the log answers that node.
        controller: Holder of the controller's duty.
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
    """What each node holds.

    Attributes:
        offset: The newest offset known here.
        unheard: Data centres whose relays did not answer.
    """

    offset: int
    nodes: tuple[ConfigStatus, ...]
    unheard: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveStatus:
    """A move and its verdict as far as it is known.

    Attributes:
        verdict: What is true now, in words.
    """

    move: Move
    verdict: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveList:
    """Moves."""

    moves: tuple[MoveStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ActiveArrangement:
    """The arrangement in force at the node that answers."""

    version: int
    arrangement: Arrangement


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Done:
    """A command took effect."""

    offset: int
    version: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Denied:
    """A command did not take effect.

    Attributes:
        reason: Short name of the reason.
        detail: What was found, and who won a race.
        advice: What to do.
    """

    reason: str
    detail: str
    advice: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Undecided:
    """Whether a command took effect is not known."""

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
