"""Measures verdicts on moves: good in time, bad taken back.

    python bench/moves.py [--first 0] [--per-kind 6] [--verbose]

Other numbers than the first ones draw moves that nothing was tuned on.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
import sys

import click

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from baselines import play_baseline  # noqa: E402
from fulmarrudder.state_machine import Phase  # noqa: E402
from fulmarrudder_lab.moves import Played, Scenario, Stage  # noqa: E402
from fulmarrudder_lab.scenarios import FIRMS, PER_KIND, mix  # noqa: E402

DONE = frozenset({Phase.COMPLETING, Phase.COMPLETED})
BACK = frozenset({Phase.TAKING_BACK, Phase.TAKEN_BACK})


def play(scenario: Scenario) -> Played:
    """Plays a scenario with the product's decisions."""
    return Stage(scenario).play()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shares:
    """Shares of a mix of moves.

    Attributes:
        good_done: Good versions completed by their deadline.
        good_back: Good versions taken back.
        bad_back: Bad versions taken back.
        bad_done: Bad versions completed.
        bad_small: Bad versions taken back with under 2% of the requests.
        exposure: Shares of the move's requests that bad versions got.
        exposure_bad: The same, counted only once they were bad.
        cut_s: Seconds from badness to the last request.
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


def shares_of(played: list[Played]) -> Shares:
    """Sums up what came of a mix."""
    good = [p for p in played if not p.scenario.kind.bad]
    bad = [p for p in played if p.scenario.kind.bad]
    in_time = [
        p for p in good if p.phase in DONE and p.took_s <= p.scenario.deadline_s
    ]
    back = [p for p in bad if p.phase in BACK]
    small = [p for p in back if p.new / p.total < 0.02]
    exposure = [p.new / p.total for p in bad]
    exposure_bad = [p.new_bad / p.total for p in bad]
    cut = [p.cut_s for p in bad]
    return Shares(
        good_done=f"{len(in_time)}/{len(good)}",
        good_back=sum(p.phase in BACK for p in good),
        bad_back=f"{len(back)}/{len(bad)}",
        bad_done=sum(p.phase in DONE for p in bad),
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
@click.option("--per-kind", type=int, default=PER_KIND)
@click.option("--verbose", is_flag=True)
def main(first: int, per_kind: int, verbose: bool) -> None:
    """Plays every firm's mix, beside the baseline, and prints a table."""
    with concurrent.futures.ProcessPoolExecutor(max_workers=5) as pool:
        for firm in FIRMS:
            scenarios = mix(firm, per_kind, first=first)
            for name, player in (
                ("product", play),
                ("baseline", play_baseline),
            ):
                played = list(pool.map(player, scenarios))
                shares = dataclasses.asdict(shares_of(played))
                print(f"{firm} {name}: {len(played)} moves")
                print(json.dumps(shares, indent=1))
                if verbose:
                    for p in played:
                        print(
                            f"  {p.scenario.name:30} {p.phase.value:12}"
                            f" {p.took_s:6.1f}s new={p.new / p.total:.4f}"
                            f" bad={p.new_bad / p.total:.4f}"
                            f" cut={p.cut_s:5.1f}"
                            f" f={p.scenario.fails:.2f}"
                            f" s={p.scenario.slows:.1f} {p.reason[:70]}"
                        )


if __name__ == "__main__":
    main()
