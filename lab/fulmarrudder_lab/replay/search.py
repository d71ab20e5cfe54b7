"""Searches randomly drawn traces of a firm for broken promises.

    python -m fulmarrudder_lab.replay.search [--first 0] [--count 50]

Faults overlap in the first seconds; then all of them end, and every promise
must hold. A seed that breaks a promise is printed with its trace, which should
be added to the recorded traces.
"""

import dataclasses
import json
import logging
import random

import click

from fulmarrudder_lab.replay.player import FIRMS, Player
from fulmarrudder_lab.replay.promises import broken_promises
from fulmarrudder_lab.replay.trace import (
    Behave,
    Change,
    Cut,
    Event,
    Expected,
    Header,
    Heal,
    Load,
    Log,
    Process,
    Send,
    Trace,
)

FAULT_PERIOD_S = 10.0
HEAL_AT_S = 12.0
TRACE_LENGTH_S = 45.0
LOAD_RATE = 20.0
ENTRIES = {"esfera": "vitrina", "pozarnik": "tecaji"}
READ_PATHS = {"esfera": "/quotes/1", "pozarnik": "/records/1"}
WRITE_PATHS = {"esfera": "/deposits", "pozarnik": "/certificates"}


class _TraceGenerator:
    """Draws one trace.

    Attributes:
        stopped_instances: Stopped instances, which are started at the end.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.firm_name = self.rng.choice(sorted(FIRMS))
        self.firm = FIRMS[self.firm_name]
        self.instance_names = [
            f"{self.firm.data_centres[i % len(self.firm.data_centres)]}"
            f"-{service.name}-{i}"
            for service in self.firm.services
            for i in range(service.targets)
        ]
        self.stopped_instances: set[str] = set()
        self.events: list[Event] = []
        self.change_count = 0

    def trace(self, seed: int) -> Trace:
        """Draws the trace."""
        moments = sorted(
            round(self.rng.uniform(0.5, FAULT_PERIOD_S), 2)
            for _ in range(self.rng.randint(3, 8))
        )
        generators = (self._change, self._log, self._cut, self._process)
        generators += (self._behave, self._deposits)
        for moment in moments:
            self.rng.choice(generators)(moment)
        self._deposits(FAULT_PERIOD_S)
        self._end_faults()
        header = Header(
            promise="all",
            firm=self.firm_name,
            until_s=TRACE_LENGTH_S,
            expected=Expected(),
            seed=seed,
        )
        events = sorted(self.events, key=lambda event: event.at)
        return Trace(header=header, events=tuple(events))

    def _change(self, at: float) -> None:
        self.change_count += 1
        self.events.append(
            Change(
                do="change",
                at=at,
                expected=self.change_count,
                timeout_ms=9_000 + self.change_count,
            )
        )

    def _log(self, at: float) -> None:
        away = self.rng.random() < 0.7
        lose = 0 if away else self.rng.randint(1, 3)
        self.events.append(Log(do="log", at=at, away=away, lose=lose))

    def _cut(self, at: float) -> None:
        place, *others = self.rng.sample(
            self.firm.data_centres, len(self.firm.data_centres)
        )
        others = others[: self.rng.randint(1, len(others))]
        if self.rng.random() < 0.5:
            others.append("platform")
        self.events.append(
            Cut(do="cut", at=at, place=place, others=tuple(others))
        )

    def _process(self, at: float) -> None:
        who = self.rng.choice(self.instance_names)
        if who in self.stopped_instances:
            return
        do = self.rng.choice(("kill", "kill-node", "stop", "freeze", "leave"))
        if do in ("kill", "kill-node", "stop"):
            self.stopped_instances.add(who)
        self.events.append(Process(do=do, at=at, who=who))

    def _behave(self, at: float) -> None:
        self.events.append(
            Behave(
                do="behave",
                at=at,
                who=self.rng.choice(self.instance_names),
                delay_s=self.rng.choice((0.02, 0.3, 2.0)),
                fails=self.rng.choice((0.0, 0.5, 1.0)),
                shed_at=self.rng.choice((0, 1)),
            )
        )

    def _deposits(self, at: float) -> None:
        key = f"k{len(self.events)}"
        for number in range(self.rng.randint(1, 3)):
            self.events.append(
                Send(
                    do="send",
                    at=round(at + number * self.rng.uniform(0.0, 1.5), 2),
                    name=f"d{len(self.events)}",
                    through=self.rng.choice(self.instance_names),
                    path=WRITE_PATHS[self.firm_name],
                    key=key,
                    give_up_s=self.rng.choice((0.0, 0.0, 0.1)),
                )
            )

    def _end_faults(self) -> None:
        at = HEAL_AT_S
        self.events.append(Heal(do="heal", at=at))
        self.events.append(Log(do="log", at=at))
        self.events.append(Process(do="wake", at=at, who="frozen"))
        self.events.append(Behave(do="behave", at=at, who="*"))
        for who in sorted(self.stopped_instances):
            self.events.append(Process(do="start", at=at + 1.0, who=who))
        self.events.append(
            Load(
                do="load",
                at=0.5,
                until=FAULT_PERIOD_S,
                rate=LOAD_RATE,
                path=READ_PATHS[self.firm_name],
            )
        )


def generate_trace(seed: int) -> Trace:
    """Draws the trace of a seed."""
    return _TraceGenerator(seed).trace(seed)


def trace_lines(trace: Trace) -> list[str]:
    """Returns a trace as the lines of its file."""
    parts = (trace.header, *trace.events)
    return [json.dumps(dataclasses.asdict(part)) for part in parts]


@click.command()
@click.option("--first", type=int, default=0)
@click.option("--count", type=int, default=50)
def main(first: int, count: int) -> None:
    """Replays random traces and prints those that break a promise."""
    logging.getLogger("fulmarrudder").setLevel(logging.CRITICAL)
    failed = 0
    for seed in range(first, first + count):
        player = Player(generate_trace(seed))
        player.run()
        broken = broken_promises(player)
        if not broken:
            continue
        failed += 1
        print(f"seed {seed}: {broken[:5]}", flush=True)
        print("\n".join(trace_lines(player.trace)), flush=True)
    print(f"{count} traces, {failed} broke a promise")


if __name__ == "__main__":
    main()
