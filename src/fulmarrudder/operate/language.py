"""Parses the operators' command language into typed commands."""

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

SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600}
DEFAULT_REASON = "operator's decision"
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


class _CommandBuilder(lark.Transformer):
    """Builds commands from a parse tree; one method per grammar rule."""

    def __init__(self, now: float):
        super().__init__()
        self.now = now

    def start(self, children):
        """Returns the command."""
        return children[0]

    def name(self, children):
        """Returns the text of a name, without quotes."""
        return _unquote(children[0])

    def number(self, children):
        """Returns a number as an integer."""
        return int(children[0])

    def reason(self, children):
        """Returns the text of a reason, without quotes."""
        return _unquote(children[0])

    def by_moment(self, children):
        """Returns an absolute time as wall-clock seconds."""
        text = str(children[0]).replace("Z", "+00:00")
        return datetime.datetime.fromisoformat(text).timestamp()

    def within(self, children):
        """Returns a time relative to now as wall-clock seconds."""
        return self.now + children[0] * SECONDS_PER_UNIT[str(children[1])[0]]

    def show_status(self, children):
        """Builds `ShowStatus`."""
        return ShowStatus()

    def show_nodes(self, children):
        """Builds `ShowNodes`."""
        return ShowNodes(
            data_centre=children[0] or "", lagging=children[1] is not None
        )

    def show_moves(self, children):
        """Builds `ShowMoves`."""
        return ShowMoves()

    def show_move(self, children):
        """Builds `ShowMove`."""
        return ShowMove(move=children[0])

    def show_history(self, children):
        """Builds `ShowHistory`."""
        return ShowHistory(service=children[0] or "")

    def show_arrangement(self, children):
        """Builds `ShowArrangement`."""
        return ShowArrangement()

    def publish(self, children):
        """Builds `PublishVersion`."""
        return PublishVersion(expected=children[0])

    def start_move(self, children):
        """Builds `BeginMove`."""
        move, service, version, deadline, expected = children
        return BeginMove(
            move=move,
            service=service,
            to_version=version,
            deadline=deadline,
            expected=expected,
        )

    def complete(self, children):
        """Builds `CompleteMove`."""
        return CompleteMove(
            move=children[0], reason=children[1] or DEFAULT_REASON
        )

    def take_back(self, children):
        """Builds `TakeMoveBack`."""
        return TakeMoveBack(
            move=children[0], reason=children[1] or DEFAULT_REASON
        )


def _unquote(token) -> str:
    text = str(token)
    return json.loads(text) if text.startswith('"') else text


def _make_parser() -> lark.Lark:
    grammar = resources.files(__package__).joinpath("grammar.lark")
    return lark.Lark(
        grammar.read_text(), parser="earley", maybe_placeholders=True
    )


_PARSER = _make_parser()


def parse_command(text: str, now: float) -> Result[Command, CommandError]:
    """Parses one command.

    Args:
        text: The command.
        now: Wall-clock seconds to which `within` is relative.

    Returns:
        The command, or an error that suggests valid commands.
    """
    try:
        return Ok(_CommandBuilder(now).transform(_PARSER.parse(text)))
    except lark.exceptions.LarkError as error:
        return Error(CommandError(_advice(text, error)))


def _advice(text: str, error: lark.exceptions.LarkError) -> str:
    words = text.split()
    first = words[0] if words else ""
    similar = [e for e in EXAMPLES if first and e.startswith(first)]
    examples = "; ".join(similar or EXAMPLES)
    column = getattr(error, "column", -1)
    where = f" at column {column}" if column and column > 0 else ""
    return f"command not understood{where}; say for example: {examples}"
