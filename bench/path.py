"""Measures the CPU time of calls through two nodes, without sockets.

    python bench/path.py [--span-ratio 1.0] [--calls 2000]

Calls run through whole nodes on the replay's network and clock: entry node,
host node, target and caller are in this process. Real sockets and the reactor
are left out. The number of function calls does not depend on the load of the
machine; the time does.
"""

import cProfile
import dataclasses
import logging
import pstats
import time

import click

from fulmarrudder_lab.replay import Player, Trace
from fulmarrudder_lab.replay.trace import Expected, Header, Load

RATE = 100
SETTLE_S = 1.0


class CallPathBench(Player):
    """A replay without events, whose nodes record a fraction of the spans."""

    def __init__(self, span_ratio: float):
        header = Header(
            promise="", firm="esfera", until_s=SETTLE_S, expected=Expected()
        )
        super().__init__(Trace(header=header, events=()))
        for instance in self.instances.values():
            instance.settings = dataclasses.replace(
                instance.settings, span_ratio=span_ratio
            )

    def cpu_seconds_of(self, calls: int) -> float:
        """Returns the CPU time of a period with a given number of calls."""
        duration_s = calls / RATE
        event = Load(
            do="load",
            at=0.0,
            until=duration_s,
            rate=RATE,
            path="/quotes/1",
            through="lima-1-vitrina-0",
        )
        self.apply_event(event)
        began = time.process_time()
        self.run_until(self.clock.now + duration_s + SETTLE_S)
        return time.process_time() - began

    def function_calls_per_call(self, calls: int) -> float:
        """Returns the function calls for one call, without idle work."""
        counts = []
        for number in (0, calls):
            profile = cProfile.Profile()
            profile.runcall(self.cpu_seconds_of, number)
            counts.append(pstats.Stats(profile).total_calls)
        idle = counts[0] / SETTLE_S * (calls / RATE + SETTLE_S)
        return (counts[1] - idle) / calls


@click.command()
@click.option("--span-ratio", type=float, default=1.0)
@click.option("--calls", type=int, default=2000)
@click.option("--rounds", type=int, default=3)
def main(span_ratio: float, calls: int, rounds: int) -> None:
    """Measures the CPU time of calls."""
    logging.getLogger("fulmarrudder").setLevel(logging.ERROR)
    bench = CallPathBench(span_ratio)
    bench.run()
    bench.cpu_seconds_of(calls)
    for number in range(rounds):
        cpu_s = bench.cpu_seconds_of(calls)
        print(
            f"spans {span_ratio:g} round {number}:"
            f" {cpu_s / calls * 1e6:.0f} us a call"
        )
    print(
        f"spans {span_ratio:g}:"
        f" {bench.function_calls_per_call(calls):.0f} functions"
    )
    print(f"answers {dict(bench.count_results())}")


if __name__ == "__main__":
    main()
