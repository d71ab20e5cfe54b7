"""Draws traces of a firm at random, to find what was not thought of.

    python -m fulmarrudder_lab.replay.search [--first 0] [--count 50]

Faults fall together in the first seconds; then all of them end, and every
promise must hold. A seed that breaks one is printed with its trace, which
belongs among the recorded ones.
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

FAULTS_S = 10.0
HEALED_S = 12.0
UNTIL_S = 45.0
LOAD_RATE = 20.0
ENTRIES = {"esfera": "vitrina", "pozarnik": "tecaji"}
READS = {"esfera": "/quotes/1", "pozarnik": "/records/1"}
WRITES = {"esfera": "/deposits", "pozarnik": "/certificates"}


class _Draw:
    """Draws one trace.

    Attributes:
        down: Instances that do not run, and are started in the end.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.name = self.rng.choice(sorted(FIRMS))
        self.firm = FIRMS[self.name]
        self.names = [
            f"{self.firm.data_centres[i % len(self.firm.data_centres)]}"
            f"-{service.name}-{i}"
            for service in self.firm.services
            for i in range(service.targets)
        ]
        self.down: set[str] = set()
        self.events: list[Event] = []
        self.changes = 0

    def trace(self, seed: int) -> Trace:
        """Returns the trace."""
        moments = sorted(
            round(self.rng.uniform(0.5, FAULTS_S), 2)
            for _ in range(self.rng.randint(3, 8))
        )
        drawn = (self._change, self._log, self._cut, self._process)
        drawn += (self._behave, self._deposits)
        for moment in moments:
            self.rng.choice(drawn)(moment)
        self._deposits(FAULTS_S)
        self._end()
        header = Header(
            promise="all",
            firm=self.name,
            until_s=UNTIL_S,
            expected=Expected(),
            seed=seed,
        )
        events = sorted(self.events, key=lambda event: event.at)
        return Trace(header=header, events=tuple(events))

    def _change(self, at: float) -> None:
        self.changes += 1
        self.events.append(
            Change(
                do="change",
                at=at,
                expected=self.changes,
                timeout_ms=9_000 + self.changes,
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
        who = self.rng.choice(self.names)
        if who in self.down:
            return
        do = self.rng.choice(("kill", "kill-node", "stop", "freeze", "leave"))
        if do in ("kill", "kill-node", "stop"):
            self.down.add(who)
        self.events.append(Process(do=do, at=at, who=who))

    def _behave(self, at: float) -> None:
        self.events.append(
            Behave(
                do="behave",
                at=at,
                who=self.rng.choice(self.names),
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
                    through=self.rng.choice(self.names),
                    path=WRITES[self.name],
                    key=key,
                    give_up_s=self.rng.choice((0.0, 0.0, 0.1)),
                )
            )

    def _end(self) -> None:
        at = HEALED_S
        self.events.append(Heal(do="heal", at=at))
        self.events.append(Log(do="log", at=at))
        self.events.append(Process(do="wake", at=at, who="frozen"))
        self.events.append(Behave(do="behave", at=at, who="*"))
        for who in sorted(self.down):
            self.events.append(Process(do="start", at=at + 1.0, who=who))
        self.events.append(
            Load(
                do="load",
                at=0.5,
                until=FAULTS_S,
                rate=LOAD_RATE,
                path=READS[self.name],
            )
        )


def draw(seed: int) -> Trace:
    """Returns the trace of a seed."""
    return _Draw(seed).trace(seed)


def lines_of(trace: Trace) -> list[str]:
    """Returns a trace as the lines of its file."""
    parts = (trace.header, *trace.events)
    return [json.dumps(dataclasses.asdict(part)) for part in parts]


@click.command()
@click.option("--first", type=int, default=0)
@click.option("--count", type=int, default=50)
def main(first: int, count: int) -> None:
    """Plays drawn traces and prints those that break a promise."""
    logging.getLogger("fulmarrudder").setLevel(logging.CRITICAL)
    failed = 0
    for seed in range(first, first + count):
        player = Player(draw(seed))
        player.run()
        broken = broken_promises(player)
        if not broken:
            continue
        failed += 1
        print(f"seed {seed}: {broken[:5]}", flush=True)
        print("\n".join(lines_of(player.trace)), flush=True)
    print(f"{count} traces, {failed} broke a promise")


if __name__ == "__main__":
    main()
