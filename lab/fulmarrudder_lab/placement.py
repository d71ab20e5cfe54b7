"""A few entry nodes and targets on one clock: balancers and slots, no network.

`python -m fulmarrudder_lab.placement` prints how ways of choosing compare on the same
seeded arrivals; see `docs/design/placement.md`.
"""

import dataclasses
import itertools
import math
import random
from collections.abc import Callable

from twisted.internet.task import Clock

from fulmarrudder.call.endpoint_stats import LoadReport
from fulmarrudder.call.errors import SlotError
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.retry import MAX_SPILL_ATTEMPTS, may_accept
from fulmarrudder.call.slots import SlotRequest, Slots
from fulmarrudder.model import Condition, Presence
from fulmarrudder.placement import Askers, is_needed

MAX_TRIES = 5
HOP_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """Requests of one route.

    Attributes:
        rank: Priority; 0 is the highest.
        share: Share of the arrivals.
        cost_s: Mean cost at the usual speed.
        sigma: Spread of the cost, lognormal.
        tail: Share of requests that cost `tail_x` times as much.
        objective_s: Latency objective.
        deadline_s: Time budget.
    """

    name: str
    share: float = 1.0
    rank: int = 1
    cost_s: float = 0.25
    sigma: float = 0.5
    tail: float = 0.0
    tail_x: float = 7.0
    objective_s: float = 0.8
    deadline_s: float = 2.0


LOOKUP = Kind(name="lookup")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """A pattern of load on a fleet.

    Attributes:
        speeds: Slowness of the targets, repeated.
        load: Arrivals beside what all targets can serve.
        rate: Factor of the arrivals at a time.
        noise: Share of the time for which a machine is `noise_x` times slower.
        returns: Times that a refused caller comes back after Retry-After.
        at_once: Whether refused callers come back at once instead.
    """

    kinds: tuple[Kind, ...] = (LOOKUP,)
    targets: int = 24
    entries: int = 80
    slots: int = 4
    speeds: tuple[float, ...] = (1.0,)
    load: float = 0.75
    length_s: float = 10.0
    rate: Callable[[float], float] = lambda now: 1.0
    noise: float = 0.0
    noise_x: float = 2.5
    returns: int = 0
    at_once: bool = False


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got.

    Attributes:
        tries: Requests sent to targets' nodes.
        latencies: Seconds until an answer, by kind; infinite without one.
    """

    tries: int = 0
    prompt: int = 0
    latencies: dict[str, list[float]] = dataclasses.field(default_factory=dict)

    @property
    def total(self) -> int:
        """Number of requests that have ended."""
        return sum(map(len, self.latencies.values()))

    @property
    def prompt_share(self) -> float:
        """Share of requests answered within their objective."""
        return self.prompt / max(1, self.total)

    def p99_s(self) -> float:
        """Returns the 99th percentile of the seconds until an answer."""
        every = sorted(itertools.chain(*self.latencies.values()))
        return every[int(0.99 * len(every))]

    def served(self, kind: str) -> float:
        """Returns the share of a kind that was answered."""
        latencies = self.latencies[kind]
        return sum(map(math.isfinite, latencies)) / len(latencies)


class TargetSide:
    """A target and the slots beside it."""

    def __init__(self, fleet, index):
        load = fleet.load
        self.fleet = fleet
        self.slots = Slots(fleet.clock)
        self.slots.resize(load.slots)
        self.base = load.speeds[index % len(load.speeds)]
        self.rng = random.Random(f"noise {index}")
        self.slowness = 1.0
        self.askers = Askers()
        self.presence = Presence(
            node=f"t{index}",
            incarnation=1,
            sequence=1,
            data_centre="a",
            call_address="",
            mesh_address="",
            condition=Condition.READY,
            slots=load.slots,
        )
        if load.noise:
            self.change_noise()
        if fleet.tells:
            self.slots.target_told(self.slowness)
            self.slots.on_vacancy = self.tell_vacancy

    def change_noise(self):
        """Draws how slow the machine is for some time."""
        load = self.fleet.load
        is_slow = self.rng.random() < load.noise
        self.slowness = load.noise_x if is_slow else 1.0
        self.fleet.clock.callLater(
            self.rng.expovariate(1 / 0.6), self.change_noise
        )

    def tell_vacancy(self):
        """Tells one entry node of a free slot."""
        now = self.fleet.clock.seconds()
        if not is_needed(self.slots.full_at, now):
            return
        node = self.askers.next(now)
        if node is not None:
            speed = self.slots.work.speed
            told = speed.now(now) / speed.average
            entry = self.fleet.balancers[int(node)]
            entry.vacancies.told(self.presence.node, told, now)

    def report(self, route):
        """Returns the load report of an answer."""
        slots = self.slots
        load = slots.taken + slots.queued
        if not self.fleet.tells:
            return LoadReport(
                load=load, service_time_s=slots.service_time(route)
            )
        speed, now = slots.work.speed, self.fleet.clock.seconds()
        return LoadReport(
            load=load,
            service_time_s=slots.service_time(route) / speed.now(now),
            wait_s=slots.expected_wait(9),
            slowness=speed.now(now) / speed.average,
        )


class Fleet:
    """Plays one load with one way of choosing."""

    def __init__(self, load: Load, way: str, seed: int = 1):
        self.load = load
        self.way = way
        self.tells = way == "new"
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.arrival_rng = random.Random(seed)
        self.outcome = Outcome(latencies={kind.name: [] for kind in load.kinds})
        self.targets = [TargetSide(self, i) for i in range(load.targets)]
        self.presences = tuple(t.presence for t in self.targets)
        self.by_node = {t.presence.node: t for t in self.targets}
        self.balancers = [
            LoadBalancer("a", random.Random(f"{seed} {i}"))
            for i in range(load.entries)
        ]
        self.turns = list(range(load.entries))

    def play(self) -> Outcome:
        """Plays all arrivals to their end."""
        load = self.load
        end = load.length_s + max(k.deadline_s for k in load.kinds)
        arrivals = self.arrivals()
        upcoming = next(arrivals)
        while self.clock.calls or upcoming:
            now = self.clock.seconds()
            if now > end:
                break
            due = self.clock.calls[0].getTime() if self.clock.calls else end
            if upcoming is None or due <= upcoming[0]:
                self.clock.advance(max(0.0, due - now))
                continue
            self.clock.advance(upcoming[0] - now)
            self.ask(*upcoming[1:])
            upcoming = next(arrivals, None)
        return self.outcome

    def arrivals(self):
        """Yields time, entry node, kind and cost of each request."""
        load, rng = self.load, self.arrival_rng
        mean_s = sum(k.share * k.cost_s for k in load.kinds)
        speeds = [1 / t.base for t in self.targets]
        slowed = 1 + load.noise * (load.noise_x - 1)
        most = load.slots * sum(speeds) / mean_s / slowed
        now = 0.0
        while now < load.length_s:
            now += rng.expovariate(most * load.load * load.rate(now))
            kind = rng.choices(load.kinds, [k.share for k in load.kinds])[0]
            tail = kind.tail_x if rng.random() < kind.tail else 1.0
            mean = kind.cost_s / (1 + kind.tail * (kind.tail_x - 1))
            cost_s = (
                tail
                * mean
                * math.exp(rng.gauss(-(kind.sigma**2) / 2, kind.sigma))
            )
            yield now, rng.randrange(load.entries), kind, cost_s

    def ask(self, entry, kind, cost_s, began=None, returns=0):
        """Begins a request, or lets a refused caller return."""
        now = self.clock.seconds()
        began = now if began is None else began
        deadline = began + kind.deadline_s
        state = (entry, kind, cost_s, began, deadline, returns)
        self.attempt(state, frozenset(), 0)

    def attempt(self, state, tried, refusals):
        """Sends a request to one more target."""
        entry, kind, cost_s, began, deadline, returns = state
        now = self.clock.seconds()
        presence = None
        if len(tried) < MAX_TRIES and now < deadline:
            presence = self.choose(entry, kind, now, tried, refusals)
        if presence is None:
            self.end(state, None)
            return
        self.outcome.tries += 1
        balancer = self.balancers[entry]
        target = self.by_node[presence.node]
        balancer.record_sent(presence, now)
        target.askers.asked(str(entry), now)
        has_other = any(
            p.node not in tried and balancer.slot_state(p, now).value == "free"
            for p in self.presences
        )
        spill = began + 0.5 * kind.objective_s
        request = SlotRequest(
            deadline=deadline,
            soft_deadline=began + kind.objective_s,
            rank=kind.rank,
            route=kind.name,
            spill_deadline=(
                spill if has_other and len(tried) <= MAX_SPILL_ATTEMPTS else 0.0
            ),
        )
        slots = target.slots
        granted = slots.acquire(deadline, request)

        def run(run):
            took_s = cost_s * target.base * target.slowness
            self.clock.callLater(took_s, answer, run, took_s)

        def answer(run, took_s):
            if self.tells:
                slots.target_told(target.slowness)
            slots.release(took_s, kind.name, run)
            finish(failed=False)
            self.end(state, self.clock.seconds() - began)

        def refused(failure):
            failure.trap(SlotError)
            finish(failed=None)
            again = (state, tried | {presence.node}, refusals + 1)
            self.clock.callLater(HOP_S, self.attempt, *again)

        def finish(failed):
            at = self.clock.seconds()
            report = target.report(kind.name)
            balancer.record_load_report(presence, at, report, kind.name)
            latency_s = None if failed is None else at - now
            balancer.record_finished(
                presence, at, latency_s, failed=failed, route=kind.name
            )

        granted.addCallbacks(run, refused)

    def choose(self, entry, kind, now, tried, refusals):
        """Chooses a target in the way that is played."""
        balancer = self.balancers[entry]
        eligible = [p for p in self.presences if p.node not in tried]
        if self.way == "round robin":
            self.turns[entry] += 1
            return eligible[self.turns[entry] % len(eligible)]
        if self.way == "least outstanding":
            self.rng.shuffle(eligible)
            return min(
                eligible, key=lambda p: balancer._stats_for(p, now).outstanding
            )
        if self.way == "two choices":
            pair = self.rng.sample(eligible, 2)
            return min(
                pair,
                key=lambda p: balancer._stats_for(p, now).expected_load(now),
            )
        if refusals:
            eligible = [
                p
                for p in eligible
                if may_accept(balancer.slot_state(p, now), refusals)
            ]
        return balancer.choose(
            tuple(eligible),
            None,
            now,
            tried,
            route=kind.name,
            latency_objective_s=kind.objective_s,
        )

    def end(self, state, latency_s):
        """Records the end of a request, or of a try of its caller."""
        entry, kind, cost_s, began, deadline, returns = state
        now = self.clock.seconds()
        if latency_s is None and returns < self.load.returns:
            after_s = 0.001
            if not self.load.at_once:
                slots = self.rng.choice(self.targets).slots
                after_s = slots.retry_after(deadline)
            if now + after_s < deadline:
                again = (entry, kind, cost_s, began, returns + 1)
                self.clock.callLater(after_s, self.ask, *again)
                return
        latency_s = math.inf if latency_s is None else latency_s
        self.outcome.latencies[kind.name].append(latency_s)
        self.outcome.prompt += latency_s <= kind.objective_s


WAYS = ("round robin", "least outstanding", "two choices", "landed", "new")
UPLOAD = Kind(
    name="upload",
    share=0.15,
    rank=2,
    cost_s=0.6,
    objective_s=2.0,
    deadline_s=4.0,
)
URGENT = Kind(name="urgent", share=0.85, rank=0, cost_s=0.1, objective_s=0.4)


def _wave(now):
    return 1 + 0.55 * math.sin(2 * math.pi * now / 6.0)


def _burst(now):
    return 1.8 if 4.0 < now < 6.0 else 1.0


PATTERNS = {
    "even": Load(),
    "uneven servers": Load(speeds=(0.6, 1.0, 1.6)),
    "wave": Load(speeds=(0.6, 1.0, 1.6), rate=_wave, load=0.6),
    "hot workspace": Load(rate=_burst, load=0.65, returns=1),
    "burst of one kind": Load(kinds=(URGENT, UPLOAD), rate=_burst, load=0.7),
    "noisy machine": Load(noise=0.15, load=0.7),
    "heavy tails": Load(
        kinds=(dataclasses.replace(LOOKUP, tail=0.03),), load=0.7
    ),
    "herd return": Load(
        rate=lambda now: 4.0 if 4.0 < now < 4.5 else 0.8, returns=3
    ),
    "repeats at once": Load(rate=_burst, load=0.65, returns=3, at_once=True),
}


def main():
    """Prints a row for each pattern and way of choosing."""
    for name, load in PATTERNS.items():
        for way in WAYS:
            outcome = Fleet(load, way).play()
            print(
                f"| {name} | {way} | {outcome.prompt_share:.3f}"
                f" | {outcome.p99_s():.2f}"
                f" | {outcome.tries / outcome.total:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
