"""Pipeline of evidence on open moves: ledger, judge, brake.

Every relay runs it on the evidence that it knows, so that a data centre that
is cut off can still stop a bad version; none of them can advance one.
"""

import dataclasses
from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Brake, Evidence
from fulmarrudder.move.analysis import Finding, Regression, compare_versions
from fulmarrudder.move.stats import MoveStats, Window
from fulmarrudder.state_machine import Move, Phase, State


@dataclasses.dataclass(slots=True, kw_only=True)
class MonitoredMove:
    """An open move and what is known of it here.

    Attributes:
        permille: Share that is held now.
        held_since: Clock seconds since which it is held.
        finding: The latest finding, once there is one.
    """

    stats: MoveStats
    permille: int
    held_since: float
    finding: Finding | None = None


class Monitor:
    """Judges open moves from the evidence that reaches this node.

    Attributes:
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
        """Opens and closes ledgers in line with the state.

        Args:
            state: The folded state.
        """
        now = self.clock.seconds()
        running = {m.id: m for m in state.moves if m.phase is Phase.RUNNING}
        for move_id in tuple(self.monitored):
            if move_id not in running:
                del self.monitored[move_id]
        for move in running.values():
            self._follow(move, now)

    def add_evidence(self, evidence: Evidence) -> None:
        """Takes evidence of a node, its own or another's."""
        for monitored in self.monitored.values():
            monitored.stats.add(evidence)

    def tick(self) -> None:
        """Judges every running move and brakes the bad ones."""
        now = self.clock.seconds()
        for move_id, monitored in self.monitored.items():
            stats = monitored.stats
            stats.sample(now)
            step = Window(routes=stats.step_evidence())
            monitored.finding = compare_versions(
                stats.failures(), step, stats.recent_windows(now)
            )
            if isinstance(monitored.finding, Regression):
                self._brake(move_id, monitored.finding, stats)

    def _follow(self, move: Move, now: float) -> None:
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

    def _brake(self, move_id: str, bad: Regression, stats: MoveStats) -> None:
        for brake in self.facts.brakes:
            if brake.move == move_id:
                return
        self.broadcast(
            Brake(
                move=move_id,
                service=stats.service,
                target_version=stats.new,
                route="",
                reason=_reason(bad),
            )
        )


def _reason(bad: Regression) -> str:
    return f"route {bad.route}: {bad.reason}" if bad.route else bad.reason
