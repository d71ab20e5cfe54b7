"""Commands of operators."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowStatus:
    """Asks what is in force where."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowNodes:
    """Asks what each node holds.

    Attributes:
        data_centre: Only this one, or empty for all.
        lagging: Whether only nodes behind the newest are wanted.
    """

    data_centre: str = ""
    lagging: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowMoves:
    """Asks for the open moves."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowMove:
    """Asks for one move."""

    move: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowHistory:
    """Asks for closed moves and their verdicts."""

    service: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShowArrangement:
    """Asks for the arrangement in force."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublishVersion:
    """Publishes the document that comes with the command."""

    expected: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BeginMove:
    """Starts a move.

    Attributes:
        deadline: Wall-clock seconds.
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
