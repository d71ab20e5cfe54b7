"""The command-line client, `fulmarrudder`.

Exit statuses: 0 done; 1 refused, or a check that found something; 2 wrong usage or
command; 3 not authorised; 4 node unreachable; 5 outcome unknown.
"""

import dataclasses
import json
import pathlib
import sys
import time
import urllib.error
import urllib.request

import click
from expression import Error, Result

from fulmarrudder import __version__
from fulmarrudder.model import Arrangement
from fulmarrudder.operate.answer import (
    ANSWERS,
    ActiveArrangement,
    Answer,
    Denied,
    MoveList,
    Undecided,
)
from fulmarrudder.operate.check import (
    Finding,
    Kind,
    Report,
    compare,
    render_line,
)
from fulmarrudder.operate.check import check as check_arrangement
from fulmarrudder.operate.document import parse_document
from fulmarrudder.operate.errors import DocumentError
from fulmarrudder.operate.render import render
from fulmarrudder.state_machine import Phase

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAUTHORISED = 3
EXIT_UNREACHABLE = 4
EXIT_UNKNOWN = 5
ANSWER_TIMEOUT_S = 40.0
WATCH_INTERVAL_S = 1.0
CLOSED_PHASES = frozenset({Phase.COMPLETED, Phase.TAKEN_BACK})


class Client:
    """Sends commands to one node.

    Attributes:
        address: host:port of the node's admin port.
        token: The operator's token.
        as_json: Whether answers are printed as JSON.
    """

    def __init__(self, address: str, token: str, *, as_json: bool):
        self.address = address
        self.token = token
        self.as_json = as_json

    def send(self, text: str, document: dict | None = None) -> Answer:
        """Sends a command and returns the answer, or exits.

        Args:
            text: The command.
            document: A configuration document to send with it, or None.
        """
        request = urllib.request.Request(
            f"http://{self.address}/v1/command",
            data=json.dumps({"command": text, "document": document}).encode(),
            headers={
                "authorization": f"Bearer {self.token}",
                "content-type": "application/json",
            },
        )
        try:
            with urllib.request.urlopen(
                request, timeout=ANSWER_TIMEOUT_S
            ) as response:
                status, data = response.status, response.read()
        except urllib.error.HTTPError as error:
            status, data = error.code, error.read()
        except OSError as error:
            _exit(EXIT_UNREACHABLE, f"cannot reach {self.address}: {error}")
        return self._parse_answer(status, data)

    def _parse_answer(self, status: int, data: bytes) -> Answer:
        try:
            loaded = ANSWERS.load(json.loads(data))
        except json.JSONDecodeError:
            _exit(
                EXIT_UNREACHABLE, f"{self.address} is not a node's admin port"
            )
        if loaded.is_error():
            _exit(EXIT_UNREACHABLE, f"answer not understood: {loaded.error}")
        if status == 401:
            _exit(EXIT_UNAUTHORISED, render(loaded.ok))
        if status == 400:
            _exit(EXIT_USAGE, render(loaded.ok))
        return loaded.ok

    def print_answer(self, answer: Answer) -> None:
        """Prints an answer."""
        if self.as_json:
            document = ANSWERS.dump(answer, json_types=True)
            click.echo(json.dumps(document, indent=2))
        else:
            click.echo(render(answer))

    def finish(self, answer: Answer) -> None:
        """Prints an answer and exits with a status if it is not a success."""
        self.print_answer(answer)
        if isinstance(answer, Denied):
            sys.exit(EXIT_REFUSED)
        if isinstance(answer, Undecided):
            sys.exit(EXIT_UNKNOWN)


def _exit(status: int, message: str):
    click.echo(message, err=True)
    sys.exit(status)


@click.group()
@click.option(
    "--node",
    "address",
    envvar="FULMARRUDDER_NODE",
    default="127.0.0.1:7200",
    show_default=True,
    help="Admin address of any node.",
)
@click.option(
    "--token",
    envvar="FULMARRUDDER_TOKEN",
    default="",
    help="Operator's token; better set in the environment.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.version_option(__version__)
@click.pass_context
def main(context, address: str, token: str, as_json: bool) -> None:
    """Asks what is in force, and drives versions and moves."""
    context.obj = Client(address, token, as_json=as_json)


@main.command()
@click.argument("words", nargs=-1, required=True)
@click.pass_obj
def do(client: Client, words: tuple[str, ...]) -> None:
    """Sends one command of the language, e.g.: do show status."""
    client.finish(client.send(" ".join(words)))


@main.command()
@click.argument("words", nargs=-1)
@click.pass_obj
def show(client: Client, words: tuple[str, ...]) -> None:
    """Shows status, nodes, moves, move ID, history or arrangement."""
    client.finish(client.send(" ".join(("show", *(words or ("status",))))))


@main.command()
@click.argument(
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--expecting",
    type=int,
    required=True,
    help="Version that must be in force.",
)
@click.pass_obj
def publish(client: Client, path: pathlib.Path, expecting: int) -> None:
    """Publishes a configuration document, JSON."""
    try:
        document = json.loads(path.read_text())
    except json.JSONDecodeError as error:
        _exit(EXIT_USAGE, f"{path}: not JSON: {error}")
    if not isinstance(document, dict):
        _exit(EXIT_USAGE, f"{path}: must hold a JSON object")
    client.finish(client.send(f"publish expecting {expecting}", document))


@main.command()
@click.argument(
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--against",
    default="",
    help="What to compare with: 'current', or the path of a document.",
)
@click.option(
    "--platform",
    is_flag=True,
    help="Documents are the users' platform's configurations.",
)
@click.pass_obj
def check(
    client: Client, path: pathlib.Path, against: str, platform: bool
) -> None:
    """Checks a configuration document before it is sent."""
    parse = _platform_parser() if platform else _parse_document
    parsed = parse(path.read_bytes())
    if parsed.is_error():
        findings = tuple(
            Finding(kind=Kind.ERROR, subject="", detail=detail)
            for detail in str(parsed.error).split("; ")
        )
        _finish_check(client, Report(findings=findings))
    differences = ()
    if against:
        before = _arrangement_of(client, against, parse, platform=platform)
        differences = compare(before, parsed.ok)
    report = Report(
        findings=check_arrangement(parsed.ok), differences=differences
    )
    _finish_check(client, report)


def _parse_document(data: bytes) -> Result[Arrangement, DocumentError]:
    try:
        return parse_document(json.loads(data))
    except (ValueError, RecursionError) as error:
        return Error(DocumentError((f"not JSON: {error}",)))


def _platform_parser():
    # Only this command needs the platform's models.
    from fulmarrudder.platform.config import parse_config

    return lambda data: parse_config(data).map(lambda config: config[1])


def _arrangement_of(
    client: Client, against: str, parse, *, platform: bool
) -> Arrangement:
    """Returns the arrangement to compare with, or exits."""
    if against == "current":
        if platform:
            _exit(EXIT_USAGE, "--platform compares with a file only")
        answer = client.send("show arrangement")
        if not isinstance(answer, ActiveArrangement):
            client.finish(answer)
            _exit(EXIT_REFUSED, "no arrangement is in force")
        return answer.arrangement
    try:
        parsed = parse(pathlib.Path(against).read_bytes())
    except OSError as error:
        _exit(EXIT_USAGE, f"{against}: {error.strerror}")
    if parsed.is_error():
        _exit(EXIT_USAGE, f"{against}: {parsed.error}")
    return parsed.ok


def _finish_check(client: Client, report: Report):
    """Prints a report, and exits."""
    if client.as_json:
        document = dataclasses.asdict(report)
        click.echo(json.dumps(document, indent=2, default=_value_of))
    else:
        lines = [*report.findings, *report.differences]
        for columns in map(render_line, lines):
            click.echo("  ".join(columns))
        if not report.findings:
            click.echo("nothing is wrong")
    sys.exit(EXIT_REFUSED if report.findings else 0)


def _value_of(member):
    return member.value


@main.command()
@click.argument("move")
@click.option("--service", required=True)
@click.option("--to", "to_version", required=True, help="Target version.")
@click.option("--within", required=True, help="Such as '10 m' or '2 h'.")
@click.option("--expecting", type=int, required=True)
@click.pass_obj
def start(
    client: Client,
    move: str,
    service: str,
    to_version: str,
    within: str,
    expecting: int,
) -> None:
    """Starts a move of a service to another target version."""
    text = (
        f"start move {move} of {service} to {to_version}"
        f" within {within} expecting {expecting}"
    )
    client.finish(client.send(text))


@main.command()
@click.argument("move")
@click.option("--because", default="", help="Reason for the history.")
@click.pass_obj
def complete(client: Client, move: str, because: str) -> None:
    """Completes a move without waiting for evidence."""
    client.finish(
        client.send(f"complete move {move}{_because_clause(because)}")
    )


@main.command("take-back")
@click.argument("move")
@click.option("--because", default="", help="Reason for the history.")
@click.pass_obj
def take_back(client: Client, move: str, because: str) -> None:
    """Takes a move back."""
    client.finish(
        client.send(f"take back move {move}{_because_clause(because)}")
    )


@main.command()
@click.argument("move")
@click.pass_obj
def watch(client: Client, move: str) -> None:
    """Follows a move until its verdict; exits 0 when it was completed."""
    last_verdict = ""
    while True:
        answer = client.send(f"show move {move}")
        if not isinstance(answer, MoveList):
            client.finish(answer)
            return
        status = answer.moves[0]
        if status.verdict != last_verdict:
            client.print_answer(answer)
            last_verdict = status.verdict
        if status.move.phase in CLOSED_PHASES:
            completed = status.move.phase is Phase.COMPLETED
            sys.exit(0 if completed else EXIT_REFUSED)
        time.sleep(WATCH_INTERVAL_S)


def _because_clause(reason: str) -> str:
    return f" because {json.dumps(reason)}" if reason else ""


if __name__ == "__main__":
    main()
