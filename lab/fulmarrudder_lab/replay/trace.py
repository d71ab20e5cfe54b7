"""Border of recorded traces: JSON lines to typed events.

The first line names the promise, the firm and the outcome expected of it;
each other line is an event at a moment, in seconds after the firm is ready.
Processes are named by patterns of instances (`lima-1-*`), or as `controller`
or a relay duty (`relay/lima-1/0`), which mean whoever holds it then, `frozen`,
or `runner of NAME`, where the request ran; `!` before one means all others.
"""

import dataclasses
import json
import pathlib
from typing import Annotated, Literal

import pydantic


class _Strict:
    """Refuses fields that are not known, so that no fault goes unplayed."""

    __slots__ = ()
    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change(_Strict):
    """An operator's configuration version, right or with an unknown service."""

    do: Literal["change"]
    at: float
    expected: int
    sound: bool = True
    timeout_ms: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Log(_Strict):
    """Sets the log's faults; `expire` names a stream to forget."""

    do: Literal["log"]
    at: float
    away: bool = False
    lose: int = 0
    expire: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cut(_Strict):
    """Cuts a place off from others; `platform` is where the log is."""

    do: Literal["cut"]
    at: float
    place: str
    others: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heal(_Strict):
    """Ends all cuts."""

    do: Literal["heal"]
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Process(_Strict):
    """Ends, starts, stops, pauses or wakes processes of instances.

    `kill` ends node and target, `stop` is graceful, `leave` is announced by
    the target, and the others concern the node alone.
    """

    do: Literal["kill", "kill-node", "start", "stop", "freeze", "wake", "leave"]
    at: float
    who: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Behave(_Strict):
    """Sets how targets behave; see `target.Behaviour`."""

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
        name: Name of the request, its id as well.
        through: Pattern of the node; the first that fits.
        path: Its path.
        key: Idempotency key, or empty.
        size: Bytes of its body.
        over_s: Seconds over which the body is sent.
        give_up_s: Seconds after which the caller hangs up; 0 for never.
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
    """Callers send requests at a rate through all nodes in turn."""

    do: Literal["load"]
    at: float
    until: float
    rate: float
    path: str
    through: str = "*"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Move(_Strict):
    """An operator starts a move of the trace's moving service."""

    do: Literal["move"]
    at: float
    within_s: float


Event = Move | Change | Log | Cut | Heal | Process | Behave | Send | Load


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Expected(_Strict):
    """The outcome that a trace states.

    Attributes:
        version: Version in force on every node at the end.
        refused: Records that the fold refused, in order.
        answers: Status, and `ran` of a refusal, by name of a request.
        runs: How often a target began a request, by name.
        loaded: Least share of the load's requests answered 200.
        failures: Most answers of 500 and more among the load's requests.
        quiet: Pattern of targets that begin no load after `quiet_from`.
        phase: Phase of the move at the end, empty without one.
        exposure_below: Share of the moving service's requests, from the
            start of the move, that its new version gets less than.
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
        pydantic.ValidationError: A line is not what it should be.
    """
    lines = path.read_text().splitlines()
    header = _HEADER.validate_python(json.loads(lines[0]))
    events = [_EVENT.validate_python(json.loads(line)) for line in lines[1:]]
    return Trace(
        header=header,
        events=tuple(sorted(events, key=lambda event: event.at)),
    )
