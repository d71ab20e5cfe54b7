"""Border of the command language: text to typed commands."""

import datetime
import json
from importlib import resources

import lark
from expression import Error, Ok, Result

from fulmarrudder.operate.command import (
    BeginMove,
    Command,
    CompleteMove,
    PublishVersion,
    ShowArrangement,
    ShowHistory,
    ShowMove,
    ShowMoves,
    ShowNodes,
    ShowStatus,
    TakeMoveBack,
)
from fulmarrudder.operate.errors import CommandError

UNIT_S = {"s": 1, "m": 60, "h": 3600}
UNSTATED = "operator's decision"
EXAMPLES = (
    "show status",
    "show nodes in lima-1 lagging",
    "show moves",
    "show move spring",
    "show history of caja",
    "show arrangement",
    "publish expecting 3",
    "start move spring of caja to 2 within 10 m expecting 4",
    "complete move spring",
    'take back move spring because "painters report errors"',
)


class _Builder(lark.Transformer):
    """Builds commands out of a parse tree."""

    def __init__(self, now: float):
        super().__init__()
        self.now = now

    def start(self, found):
        """Returns the command."""
        return found[0]

    def name(self, found):
        """Returns a name's text."""
        return _text(found[0])

    def number(self, found):
        """Returns a whole number."""
        return int(found[0])

    def reason(self, found):
        """Returns a reason's text."""
        return _text(found[0])

    def by_moment(self, found):
        """Returns a stated moment as wall-clock seconds."""
        text = str(found[0]).replace("Z", "+00:00")
        return datetime.datetime.fromisoformat(text).timestamp()

    def within(self, found):
        """Returns a moment from now as wall-clock seconds."""
        return self.now + found[0] * UNIT_S[str(found[1])[0]]

    def show_status(self, found):
        """Builds `ShowStatus`."""
        return ShowStatus()

    def show_nodes(self, found):
        """Builds `ShowNodes`."""
        return ShowNodes(
            data_centre=found[0] or "", lagging=found[1] is not None
        )

    def show_moves(self, found):
        """Builds `ShowMoves`."""
        return ShowMoves()

    def show_move(self, found):
        """Builds `ShowMove`."""
        return ShowMove(move=found[0])

    def show_history(self, found):
        """Builds `ShowHistory`."""
        return ShowHistory(service=found[0] or "")

    def show_arrangement(self, found):
        """Builds `ShowArrangement`."""
        return ShowArrangement()

    def publish(self, found):
        """Builds `PublishVersion`."""
        return PublishVersion(expected=found[0])

    def start_move(self, found):
        """Builds `BeginMove`."""
        move, service, version, deadline, expected = found
        return BeginMove(
            move=move,
            service=service,
            to_version=version,
            deadline=deadline,
            expected=expected,
        )

    def complete(self, found):
        """Builds `CompleteMove`."""
        return CompleteMove(move=found[0], reason=found[1] or UNSTATED)

    def take_back(self, found):
        """Builds `TakeMoveBack`."""
        return TakeMoveBack(move=found[0], reason=found[1] or UNSTATED)


def _text(token) -> str:
    text = str(token)
    return json.loads(text) if text.startswith('"') else text


def _parser() -> lark.Lark:
    grammar = resources.files(__package__).joinpath("grammar.lark")
    return lark.Lark(
        grammar.read_text(), parser="earley", maybe_placeholders=True
    )


_PARSER = _parser()


def parse_command(text: str, now: float) -> Result[Command, CommandError]:
    """Parses one command.

    Args:
        text: The command.
        now: Wall-clock seconds, from which `within` counts.

    Returns:
        The command, or what to say instead.
    """
    try:
        return Ok(_Builder(now).transform(_PARSER.parse(text)))
    except lark.exceptions.LarkError as error:
        return Error(CommandError(_advice(text, error)))


def _advice(text: str, error: lark.exceptions.LarkError) -> str:
    words = text.split()
    first = words[0] if words else ""
    similar = [e for e in EXAMPLES if first and e.startswith(first)]
    shown = "; ".join(similar or EXAMPLES)
    column = getattr(error, "column", -1)
    where = f" at column {column}" if column and column > 0 else ""
    return f"command not understood{where}; say for example: {shown}"
