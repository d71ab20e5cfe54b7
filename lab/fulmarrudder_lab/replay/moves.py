"""Replays recorded traces of moves.

A trace is a file of JSON lines. The first line states the promise, the
scenario and the expected outcome; each other line is an event with its time
in seconds:

* `log-away`, `log-back`: the log becomes unavailable, then available.
* `pause`, `resume`: the controller is paused for longer than its lease, then
  resumed.
* `take-over`: another node claims the controller's duty.
* `stale-step`: a step with an older term is appended.
* `operator`: an operator decides (`complete` or `take-back`).
* `peer-brake`: a brake arrives from another data centre.
* `cut`, `heal`: a data centre becomes unreachable, then reachable.
"""

import json
import pathlib

import pydantic

from fulmarrudder.model import Brake, Decision, EndMove, StepMove
from fulmarrudder.state_machine import Phase
from fulmarrudder_lab.moves import (
    MOVE_NAME,
    NEW_VERSION,
    SERVICE_NAME,
    MoveSimulation,
    Scenario,
    VersionKind,
)


class ScenarioModel(pydantic.BaseModel):
    """The scenario in a trace's first line."""

    model_config = pydantic.ConfigDict(extra="forbid")

    kind: VersionKind
    seed: int
    rate: float
    targets: int
    slots: int
    deadline_s: float
    fails: float = 0.0
    slows: float = 1.0
    turns_s: float = 0.0


class ExpectedModel(pydantic.BaseModel):
    """The expected outcome of a trace."""

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
    """An event: any other line of a trace."""

    model_config = pydantic.ConfigDict(extra="forbid")

    at: float
    do: str
    decision: Decision | None = None
    by: str = ""
    permille: int = 0
    term: int = 0


class Replay:
    """Replays one trace.

    Attributes:
        header: The trace's first line.
        events: The events, in the order of the file.
        simulation: The move that the events act on.
        shares: The move's share after each tick, in permille.
        refused: Reasons of the records that the state machine refused.
    """

    def __init__(self, path: pathlib.Path):
        lines = path.read_text().splitlines()
        self.header = HeaderModel.model_validate(json.loads(lines[0]))
        self.events = [
            EventModel.model_validate(json.loads(line)) for line in lines[1:]
        ]
        fields = self.header.scenario.model_dump()
        self.simulation = MoveSimulation(Scenario(name=path.stem, **fields))
        self.shares: list[int] = []
        self.refused: list[str] = []
        self.simulation.on_refused = self.refused.append

    def run(self) -> None:
        """Replays the trace to its end."""
        simulation = self.simulation
        simulation.start()
        pending = sorted(self.events, key=lambda event: event.at)
        while simulation.clock.seconds() < self.header.until_s:
            while pending and pending[0].at <= simulation.clock.seconds():
                self._do(pending.pop(0))
            simulation.tick()
            self.shares.append(simulation.move.permille)

    def _do(self, event: EventModel) -> None:
        getattr(self, "_" + event.do.replace("-", "_"))(event)

    def _log_away(self, event: EventModel) -> None:
        self.simulation.log_unavailable = True

    def _log_back(self, event: EventModel) -> None:
        self.simulation.restore_log()

    def _pause(self, event: EventModel) -> None:
        self.simulation.controller_running = False

    def _resume(self, event: EventModel) -> None:
        self.simulation.controller_running = True

    def _take_over(self, event: EventModel) -> None:
        self.simulation.claim_controller("c2/1", 1)

    def _stale_step(self, event: EventModel) -> None:
        self.simulation.append_record(
            StepMove(
                move=MOVE_NAME,
                term=event.term,
                expected_permille=self.simulation.move.permille,
                permille=event.permille,
            )
        )

    def _operator(self, event: EventModel) -> None:
        self.simulation.append_record(
            EndMove(
                move=MOVE_NAME,
                decision=event.decision,
                by=event.by,
                reason="replayed",
            )
        )

    def _peer_brake(self, event: EventModel) -> None:
        brake = Brake(
            move=MOVE_NAME,
            service=SERVICE_NAME,
            target_version=NEW_VERSION,
            route="",
            reason="seen elsewhere",
        )
        self.simulation.facts.merge(brake, self.simulation.clock.seconds())

    def _cut(self, event: EventModel) -> None:
        self.simulation.unheard = ("dc-2",)

    def _heal(self, event: EventModel) -> None:
        self.simulation.unheard = ()
