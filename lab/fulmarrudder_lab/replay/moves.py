"""Replays recorded traces of moves against the outcome that they state.

A trace is a file of JSON lines. The first names the promise, the scenario and
the expected outcome; each other line is an event at a moment:

* `log-away`, `log-back`: the log answers nothing, and then again.
* `pause`, `resume`: the controller is paused past its lease, and wakes.
* `take-over`: another node claims the controller's duty.
* `stale-step`: a record of an older term arrives.
* `operator`: an operator decides (`complete` or `take-back`).
* `peer-brake`: a brake arrives from another data centre.
* `cut`, `heal`: a data centre is not heard, and then is.
"""

import json
import pathlib

import pydantic

from fulmarrudder.model import Brake, Decision, EndMove, StepMove
from fulmarrudder.state_machine import Phase
from fulmarrudder_lab.moves import MOVE, NEW, SERVICE, Kind, Scenario, Stage


class ScenarioModel(pydantic.BaseModel):
    """The scenario in a trace's first line."""

    model_config = pydantic.ConfigDict(extra="forbid")

    kind: Kind
    seed: int
    rate: float
    targets: int
    slots: int
    deadline_s: float
    fails: float = 0.0
    slows: float = 1.0
    turns_s: float = 0.0


class ExpectedModel(pydantic.BaseModel):
    """The outcome that a trace states."""

    model_config = pydantic.ConfigDict(extra="forbid")

    phase: Phase
    by: str = ""
    exposure_below: float = 1.0
    refused: list[str] = []


class HeaderModel(pydantic.BaseModel):
    """The first line of a trace."""

    model_config = pydantic.ConfigDict(extra="forbid")

    promise: str
    firm: str
    scenario: ScenarioModel
    expected: ExpectedModel
    until_s: float


class EventModel(pydantic.BaseModel):
    """Another line of a trace."""

    model_config = pydantic.ConfigDict(extra="forbid")

    at: float
    do: str
    decision: Decision | None = None
    by: str = ""
    permille: int = 0
    term: int = 0


class Replay:
    """One trace on the stage.

    Attributes:
        header: The trace's first line.
        events: The others, in order.
        stage: Where it is played.
        shares: The move's share after each tick.
    """

    def __init__(self, path: pathlib.Path):
        lines = path.read_text().splitlines()
        self.header = HeaderModel.model_validate(json.loads(lines[0]))
        self.events = [
            EventModel.model_validate(json.loads(line)) for line in lines[1:]
        ]
        fields = self.header.scenario.model_dump()
        self.stage = Stage(Scenario(name=path.stem, **fields))
        self.shares: list[int] = []
        self.refused: list[str] = []
        self.stage.on_refused = self.refused.append

    def run(self) -> None:
        """Plays the trace to its end."""
        stage = self.stage
        stage.start()
        due = sorted(self.events, key=lambda event: event.at)
        while stage.clock.seconds() < self.header.until_s:
            while due and due[0].at <= stage.clock.seconds():
                self._do(due.pop(0))
            stage.tick()
            self.shares.append(stage.move.permille)

    def _do(self, event: EventModel) -> None:
        getattr(self, "_" + event.do.replace("-", "_"))(event)

    def _log_away(self, event: EventModel) -> None:
        self.stage.away = True

    def _log_back(self, event: EventModel) -> None:
        self.stage.come_back()

    def _pause(self, event: EventModel) -> None:
        self.stage.controlling = False

    def _resume(self, event: EventModel) -> None:
        self.stage.controlling = True

    def _take_over(self, event: EventModel) -> None:
        self.stage.claim("c2/1", 1)

    def _stale_step(self, event: EventModel) -> None:
        self.stage.write(
            StepMove(
                move=MOVE,
                term=event.term,
                expected_permille=self.stage.move.permille,
                permille=event.permille,
            )
        )

    def _operator(self, event: EventModel) -> None:
        self.stage.write(
            EndMove(
                move=MOVE,
                decision=event.decision,
                by=event.by,
                reason="replayed",
            )
        )

    def _peer_brake(self, event: EventModel) -> None:
        brake = Brake(
            move=MOVE,
            service=SERVICE,
            target_version=NEW,
            route="",
            reason="seen elsewhere",
        )
        self.stage.facts.merge(brake, self.stage.clock.seconds())

    def _cut(self, event: EventModel) -> None:
        self.stage.unheard = ("dc-2",)

    def _heal(self, event: EventModel) -> None:
        self.stage.unheard = ()
