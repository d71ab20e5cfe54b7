"""Measures outcomes of moves: good versions completed, bad ones taken back.

    python bench/moves.py [--first 0] [--per-kind 6] [--verbose]

`--first` beyond the default range draws moves that were not used for tuning.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
import sys

import click

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from baselines import run_baseline  # noqa: E402
from fulmarrudder.state_machine import Phase  # noqa: E402
from fulmarrudder_lab.moves import (  # noqa: E402
    MoveSimulation,
    Scenario,
    SimulationResult,
)
from fulmarrudder_lab.scenarios import (  # noqa: E402
    FIRM_LOADS,
    MOVES_PER_KIND,
    scenario_mix,
)

COMPLETED_PHASES = frozenset({Phase.COMPLETING, Phase.COMPLETED})
TAKEN_BACK_PHASES = frozenset({Phase.TAKING_BACK, Phase.TAKEN_BACK})


def simulate(scenario: Scenario) -> SimulationResult:
    """Runs a scenario with the product's decisions."""
    return MoveSimulation(scenario).run()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MixSummary:
    """Results of a mix of moves.

    Attributes:
        good_done: Good versions completed by their deadline.
        good_back: Good versions taken back.
        bad_back: Bad versions taken back.
        bad_done: Bad versions completed.
        bad_small: Bad versions taken back with under 2% of the requests.
        exposure_median: Median fraction of requests that bad versions
            received.
        exposure_worst: Maximum of that fraction.
        exposure_bad_median: Median fraction of requests that bad versions
            received after they turned bad.
        exposure_bad_worst: Maximum of that fraction.
        cut_median_s: Median seconds from turning bad to the last request.
        cut_worst_s: Maximum of those seconds.
    """

    good_done: str
    good_back: int
    bad_back: str
    bad_done: int
    bad_small: str
    exposure_median: float
    exposure_worst: float
    exposure_bad_median: float
    exposure_bad_worst: float
    cut_median_s: float
    cut_worst_s: float


def summarize(results: list[SimulationResult]) -> MixSummary:
    """Summarizes the results of a mix."""
    good = [r for r in results if not r.scenario.kind.is_bad]
    bad = [r for r in results if r.scenario.kind.is_bad]
    in_time = [
        r
        for r in good
        if r.phase in COMPLETED_PHASES and r.duration_s <= r.scenario.deadline_s
    ]
    back = [r for r in bad if r.phase in TAKEN_BACK_PHASES]
    small = [r for r in back if r.new_requests / r.total_requests < 0.02]
    exposure = [r.new_requests / r.total_requests for r in bad]
    exposure_bad = [r.bad_requests / r.total_requests for r in bad]
    cut = [r.cutoff_s for r in bad]
    return MixSummary(
        good_done=f"{len(in_time)}/{len(good)}",
        good_back=sum(r.phase in TAKEN_BACK_PHASES for r in good),
        bad_back=f"{len(back)}/{len(bad)}",
        bad_done=sum(r.phase in COMPLETED_PHASES for r in bad),
        bad_small=f"{len(small)}/{len(bad)}",
        exposure_median=round(statistics.median(exposure), 4),
        exposure_worst=round(max(exposure), 4),
        exposure_bad_median=round(statistics.median(exposure_bad), 4),
        exposure_bad_worst=round(max(exposure_bad), 4),
        cut_median_s=round(statistics.median(cut), 1),
        cut_worst_s=round(max(cut), 1),
    )


@click.command()
@click.option("--first", type=int, default=0)
@click.option("--per-kind", type=int, default=MOVES_PER_KIND)
@click.option("--verbose", is_flag=True)
def main(first: int, per_kind: int, verbose: bool) -> None:
    """Runs every firm's mix, and the baseline, and prints the results."""
    with concurrent.futures.ProcessPoolExecutor(max_workers=5) as pool:
        for firm in FIRM_LOADS:
            scenarios = scenario_mix(firm, per_kind, first=first)
            for name, run in (
                ("product", simulate),
                ("baseline", run_baseline),
            ):
                results = list(pool.map(run, scenarios))
                summary = dataclasses.asdict(summarize(results))
                print(f"{firm} {name}: {len(results)} moves")
                print(json.dumps(summary, indent=1))
                if verbose:
                    for r in results:
                        print(
                            f"  {r.scenario.name:30} {r.phase.value:12}"
                            f" {r.duration_s:6.1f}s"
                            f" new={r.new_requests / r.total_requests:.4f}"
                            f" bad={r.bad_requests / r.total_requests:.4f}"
                            f" cut={r.cutoff_s:5.1f}"
                            f" f={r.scenario.fails:.2f}"
                            f" s={r.scenario.slows:.1f} {r.reason[:70]}"
                        )


if __name__ == "__main__":
    main()
