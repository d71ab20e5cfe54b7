"""Operators' commands."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowStatus:
    """Queries the configuration status of the fleet."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowNodes:
    """Queries the configuration status of each node.

    Attributes:
        data_centre: Data centre to show, or empty for all.
        lagging: Whether to show only nodes behind the answering node.
    """

    data_centre: str = ""
    lagging: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowMoves:
    """Queries the open moves."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowMove:
    """Queries one move."""

    move: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowHistory:
    """Queries the closed moves and their verdicts.

    Attributes:
        service: Service whose moves to show, or empty for all.
    """

    service: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowArrangement:
    """Queries the active arrangement."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublishVersion:
    """Publishes the configuration document that comes with the command.

    Attributes:
        expected: Configuration version that must be active.
    """

    expected: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BeginMove:
    """Starts a move.

    Attributes:
        move: Id of the new move.
        service: Service to move.
        to_version: Target version to move it to.
        deadline: Wall-clock seconds by which the move is to be complete.
        expected: Configuration version that must be active.
    """

    move: str
    service: str
    to_version: str
    deadline: float
    expected: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompleteMove:
    """Completes a move without waiting for evidence."""

    move: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TakeMoveBack:
    """Takes a move back."""

    move: str
    reason: str


Query = (
    ShowStatus
    | ShowNodes
    | ShowMoves
    | ShowMove
    | ShowHistory
    | ShowArrangement
)
Command = Query | PublishVersion | BeginMove | CompleteMove | TakeMoveBack
