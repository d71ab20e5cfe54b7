"""Parses and validates recorded traces: JSON lines to typed events.

The first line states the promise, the firm and the expected outcome; each
other line is an event with its time, in seconds after the firm is ready.

An event selects instances by a pattern: a glob of names (`lima-1-*`);
`controller` or a relay duty (`relay/lima-1/0`), for the holder of the duty at
that time; `frozen`, for all paused nodes; or `runner of NAME`, for the instance
that ran a request. A leading `!` selects all other instances.
"""

import dataclasses
import json
import pathlib
from typing import Annotated, Literal

import pydantic


class _Strict:
    """Rejects unknown fields, so that a misspelt fault is not skipped."""

    __slots__ = ()
    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change(_Strict):
    """An operator changes a route, to an unknown service unless `sound`."""

    do: Literal["change"]
    at: float
    expected: int
    sound: bool = True
    timeout_ms: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Log(_Strict):
    """Sets the log's faults; `expire` names a stream to discard."""

    do: Literal["log"]
    at: float
    away: bool = False
    lose: int = 0
    expire: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cut(_Strict):
    """Partitions a location from others; `platform` is that of the log."""

    do: Literal["cut"]
    at: float
    place: str
    others: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heal(_Strict):
    """Ends all partitions."""

    do: Literal["heal"]
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Process(_Strict):
    """Kills, starts, stops, pauses or resumes processes of instances.

    `kill` kills node and target, `start` starts the node, and the target unless
    it is running, and `leave` announces that the target is leaving. The others
    affect the node only; `stop` is graceful.
    """

    do: Literal["kill", "kill-node", "start", "stop", "freeze", "wake", "leave"]
    at: float
    who: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Behave(_Strict):
    """Sets the behaviour of targets; see `target.Behaviour`."""

    do: Literal["behave"]
    at: float
    who: str
    delay_s: float = 0.02
    fails: float = 0.0
    crash_on: tuple[str, ...] = ()
    shed_at: int = 0
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send(_Strict):
    """A caller sends a request.

    Attributes:
        name: Name and id of the request.
        through: Pattern of the node to send to; the first match is used.
        path: Path of the request.
        key: Idempotency key, or empty.
        size: Bytes of the body.
        over_s: Seconds over which the body is sent.
        give_up_s: Seconds after which the caller disconnects; 0 for never.
    """

    do: Literal["send"]
    at: float
    name: str
    through: str
    path: str
    method: str = "POST"
    key: str = ""
    size: int = 10
    over_s: float = 0.0
    give_up_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load(_Strict):
    """Callers send requests at a rate through the matching nodes in turn."""

    do: Literal["load"]
    at: float
    until: float
    rate: float
    path: str
    through: str = "*"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Move(_Strict):
    """An operator starts a move of the service that the header names."""

    do: Literal["move"]
    at: float
    within_s: float


Event = Move | Change | Log | Cut | Heal | Process | Behave | Send | Load


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Expected(_Strict):
    """The expected outcome of a trace.

    Attributes:
        version: Version active on every node at the end.
        refused: Reasons of the operator's records that the state machine
            refused, in order.
        answers: Status, and `ran` of a refusal, by name of a request.
        runs: Number of times that targets started a request, by name.
        loaded: Minimum fraction of the load's requests answered with 200.
        failures: Maximum number of the load's requests answered with 500 or
            502.
        quiet: Pattern of targets that start no request of the load after
            `quiet_from`.
        quiet_from: Time in seconds.
        phase: Phase of the move at the end; empty without a move.
        exposure_below: Upper bound of the fraction of the moved service's
            requests that its new version receives from the start of the move.
    """

    version: int = 1
    refused: tuple[str, ...] = ()
    answers: dict[str, str] = dataclasses.field(default_factory=dict)
    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    loaded: float = 1.0
    failures: int = 0
    quiet: str = ""
    quiet_from: float = 0.0
    phase: str = ""
    exposure_below: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Header(_Strict):
    """The first line of a trace.

    Attributes:
        moving: Service that has targets of version 2 as well, or empty.
    """

    promise: str
    firm: Literal["esfera", "pozarnik"]
    until_s: float
    expected: Expected
    seed: int = 1
    moving: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trace:
    """A recorded trace."""

    header: Header
    events: tuple[Event, ...]


_HEADER = pydantic.TypeAdapter(Header)
_EVENT = pydantic.TypeAdapter(
    Annotated[Event, pydantic.Field(discriminator="do")]
)


def read_trace(path: pathlib.Path) -> Trace:
    """Reads and validates a trace.

    Raises:
        pydantic.ValidationError: A line does not match its schema.
    """
    lines = path.read_text().splitlines()
    header = _HEADER.validate_python(json.loads(lines[0]))
    events = [_EVENT.validate_python(json.loads(line)) for line in lines[1:]]
    return Trace(
        header=header,
        events=tuple(sorted(events, key=lambda event: event.at)),
    )
