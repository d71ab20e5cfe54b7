"""Pipeline of evidence on open moves: add up, compare, brake.

Every relay runs it on the evidence that it receives, so that a partitioned data
centre can still stop a bad version. A monitor cannot advance a move.
"""

import dataclasses
from collections.abc import Callable
from functools import singledispatch

from fulmarrudder.clock import Clock
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Brake, Evidence
from fulmarrudder.move.analysis import (
    Finding,
    NoRegression,
    Regression,
    compare_versions,
)
from fulmarrudder.move.stats import (
    Failures,
    MoveStats,
    Window,
    sum_failures,
)
from fulmarrudder.observe import logs
from fulmarrudder.state_machine import Move, Phase, State

# Pause between two reports of a move's figures.
REPORT_PERIOD_S = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class MonitoredMove:
    """A running move and its statistics on this node.

    Attributes:
        stats: Statistics of the move.
        permille: Present share.
        held_since: Clock seconds at which the present share began.
        finding: The latest finding, or None before the first.
        next_report_at: Clock seconds before which its figures are not logged.
    """

    stats: MoveStats
    permille: int
    held_since: float
    finding: Finding | None = None
    next_report_at: float = 0.0


class Monitor:
    """Compares the versions of running moves and brakes regressions.

    Attributes:
        broadcast: Sends a brake to the other nodes.
        monitored: Running moves by id.
    """

    def __init__(
        self,
        clock: Clock,
        facts: FactStore,
        broadcast: Callable[[Brake], None],
    ):
        self.clock = clock
        self.facts = facts
        self.broadcast = broadcast
        self.monitored: dict[str, MonitoredMove] = {}

    def sync_moves(self, state: State) -> None:
        """Starts and stops monitoring moves as the state requires.

        Args:
            state: State with the open moves.
        """
        now = self.clock.seconds()
        running = {m.id: m for m in state.moves if m.phase is Phase.RUNNING}
        for move_id in tuple(self.monitored):
            if move_id not in running:
                del self.monitored[move_id]
        for move in running.values():
            self._sync_move(move, now)

    def add_evidence(self, evidence: Evidence) -> None:
        """Adds evidence of this or another node."""
        for monitored in self.monitored.values():
            monitored.stats.add(evidence)

    def tick(self) -> None:
        """Compares the versions of every running move; brakes regressions."""
        now = self.clock.seconds()
        for move_id, monitored in self.monitored.items():
            stats = monitored.stats
            stats.sample(now)
            step = Window(routes=stats.step_evidence())
            failures = stats.failures()
            monitored.finding = compare_versions(
                failures, step, stats.recent_windows(now)
            )
            if now >= monitored.next_report_at:
                monitored.next_report_at = now + REPORT_PERIOD_S
                _log_figures(move_id, monitored, failures)
            if isinstance(monitored.finding, Regression):
                self._brake(move_id, monitored.finding, stats)

    def _sync_move(self, move: Move, now: float) -> None:
        monitored = self.monitored.get(move.id)
        if monitored is None:
            stats = MoveStats(
                move.service, move.from_version, move.to_version, now
            )
            monitored = MonitoredMove(
                stats=stats, permille=move.permille, held_since=now
            )
            self.monitored[move.id] = monitored
            for evidence in self.facts.all_of(Evidence):
                stats.add(evidence)
            return
        if monitored.permille != move.permille:
            monitored.permille = move.permille
            monitored.held_since = now
            monitored.stats.begin_step()

    def _brake(
        self, move_id: str, regression: Regression, stats: MoveStats
    ) -> None:
        for brake in self.facts.brakes:
            if brake.move == move_id:
                return
        self.broadcast(
            Brake(
                move=move_id,
                service=stats.service,
                target_version=stats.new,
                route="",
                reason=_reason_text(regression),
            )
        )


def _log_figures(
    move_id: str, monitored: MonitoredMove, failures: tuple[Failures, ...]
) -> None:
    counted = sum_failures(failures).evidence
    logs.info(
        "move-compared",
        move=move_id,
        permille=monitored.permille,
        new_requests=counted.new.requests,
        new_failures=counted.new.failures,
        old_requests=counted.old.requests,
        old_failures=counted.old.failures,
        doubt=_doubt_of(monitored.finding),
    )


@singledispatch
def _doubt_of(finding: Finding) -> str:
    """Returns why a version may not be as good, or an empty text."""
    raise TypeError(f"not a finding: {type(finding).__name__}")


@_doubt_of.register
def _(finding: NoRegression) -> str:
    return finding.doubt


@_doubt_of.register
def _(finding: Regression) -> str:
    return finding.reason


def _reason_text(regression: Regression) -> str:
    return (
        f"route {regression.route}: {regression.reason}"
        if regression.route
        else regression.reason
    )
