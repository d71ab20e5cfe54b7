"""Model of a service under a move, on a fake clock.

The model plays callers and targets. What decides is the product's own code:
fold, share, tallies, ledger, judge, schedule and controller.
"""

import dataclasses
import enum
import math
import random
import uuid

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from fulmarrudder.call.tally import Tallies
from fulmarrudder.call.version_split import eligible_versions
from fulmarrudder.call.warmup import WarmupTracker
from fulmarrudder.distribution import StateStore
from fulmarrudder.log import Envelope, RawRecord, encode_envelope
from fulmarrudder.membership import FactStore
from fulmarrudder.model import (
    Arrangement,
    ClaimDuty,
    Evidence,
    Publish,
    RecordBody,
    Route,
    Service,
    StartMove,
)
from fulmarrudder.move import Confirmation, Controller, Monitor
from fulmarrudder.state_machine import (
    CONTROLLER,
    Move,
    Phase,
    Refused,
    duty_named,
    move_by_id,
)

TICK_S = 0.1
REPORT_S = 1.0
LOG_S = 0.05
MOVE = "m"
SERVICE = "moving"
OLD, NEW = "1", "2"
MEDIAN_S = 0.008
SPREAD = 0.45
COLD_FACTOR = 6.0
COLD_S = 20.0
PEAK_FACTOR = 3.0
PEAK_FAILURES = 0.02
LOADED_PERMILLE = 200


class Kind(enum.Enum):
    """How the new version behaves."""

    GOOD = "good"
    GOOD_COLD = "good-cold"
    GOOD_PEAK = "good-peak"
    BAD_AT_ONCE = "bad-at-once"
    BAD_LATER = "bad-later"
    BAD_LOADED = "bad-under-load"
    BAD_ROUTE = "bad-on-one-route"

    @property
    def bad(self) -> bool:
        """Whether the version should be taken back."""
        return self.value.startswith("bad")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One move to play.

    Attributes:
        rate: Requests a second of the service.
        targets: Targets of each version.
        slots: Slots of each target.
        deadline_s: Seconds from the start to the deadline.
        fails: Chance that a bad version fails a request.
        slows: Factor by which it slows one.
        turns_s: Seconds after which a version that turns bad later does.
        routes: Weights of the routes; the last is the one that may be bad.
    """

    name: str
    kind: Kind
    seed: int
    rate: float
    targets: int
    slots: int
    deadline_s: float
    fails: float = 0.0
    slows: float = 1.0
    turns_s: float = 0.0
    routes: tuple[float, ...] = (0.8, 0.2)


@dataclasses.dataclass(slots=True, kw_only=True)
class Played:
    """What came of a move.

    Attributes:
        took_s: Seconds from its start to its decision.
        new: Requests that the new version got.
        new_bad: Those that it got once it was bad.
        total: Requests of the service until the deadline.
        cut_s: Seconds from its badness to the last request that it got.
    """

    scenario: Scenario
    phase: Phase
    reason: str
    took_s: float
    new: int
    new_bad: int
    total: int
    cut_s: float


class ModelService:
    """Callers and targets of the service that moves."""

    def __init__(self, scenario: Scenario, clock: Clock, rng: random.Random):
        self.scenario = scenario
        self.clock = clock
        self.rng = rng
        self.routes = tuple(f"r{i}" for i in range(len(scenario.routes)))
        self.tallies = {
            (version, index): Tallies()
            for version in (OLD, NEW)
            for index in range(scenario.targets)
        }
        self.warmup = {place: WarmupTracker() for place in self.tallies}
        self.first_new: float | None = None
        self.bad_since: float | None = None
        self.last_new = 0.0
        self.new = 0
        self.new_bad = 0
        self.total = 0
        self.failed_new = 0

    def rate(self, now: float) -> float:
        """Returns the requests a second at a moment."""
        scenario = self.scenario
        if scenario.kind is Kind.GOOD_PEAK and self._peak(now):
            return scenario.rate * PEAK_FACTOR
        return scenario.rate

    def _peak(self, now: float) -> bool:
        part = now / self.scenario.deadline_s
        return 0.10 < part < 0.35

    def is_bad(self, now: float, permille: int) -> bool:
        """Tells whether the new version misbehaves at a moment."""
        scenario = self.scenario
        if scenario.kind in (Kind.BAD_AT_ONCE, Kind.BAD_ROUTE):
            return True
        if scenario.kind is Kind.BAD_LATER:
            return now >= scenario.turns_s
        if scenario.kind is Kind.BAD_LOADED:
            return permille >= LOADED_PERMILLE
        return False

    def serve(self, version: str, route: str, now: float, permille: int):
        """Serves one request and counts what came of it."""
        scenario = self.scenario
        self.total += 1
        index = self.rng.randrange(scenario.targets)
        took = MEDIAN_S * math.exp(self.rng.gauss(0.0, SPREAD))
        failed = self.rng.random() < 0.001
        if scenario.kind is Kind.GOOD_PEAK and self._peak(now):
            took *= PEAK_FACTOR
            failed = failed or self.rng.random() < PEAK_FAILURES
        if version == NEW:
            took, failed = self._new(route, now, permille, took, failed)
        cold = self.warmup[(version, index)].record_request(1, now)
        self.tallies[(version, index)].record(
            SERVICE,
            version,
            route,
            failed=failed,
            latency_s=None if cold else took,
        )

    def _new(self, route, now, permille, took, failed):
        scenario = self.scenario
        self.new += 1
        self.last_new = now
        if self.first_new is None:
            self.first_new = now
        if scenario.kind is Kind.GOOD_COLD and now - self.first_new < COLD_S:
            took *= COLD_FACTOR
        if not self.is_bad(now, permille):
            return took, failed
        if self.bad_since is None:
            self.bad_since = now
        self.new_bad += 1
        if scenario.kind is Kind.BAD_ROUTE and route != self.routes[-1]:
            return took, failed
        failed = failed or self.rng.random() < scenario.fails
        self.failed_new += failed
        return took * scenario.slows, failed

    def pick_route(self) -> str:
        """Picks a request's route by its weight."""
        return self.rng.choices(self.routes, self.scenario.routes)[0]


class Stage:
    """Plays one scenario with the product's own decisions.

    Attributes:
        away: Whether the log takes no appends and shows no records.
        controlling: Whether the controller runs, as when it is not paused.
    """

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.clock = Clock()
        self.rng = random.Random(scenario.seed)
        self.service = ModelService(scenario, self.clock, self.rng)
        self.facts = FactStore()
        self.raw: list[RawRecord] = []
        self.outcomes: dict[str, Deferred] = {}
        self.state_store = StateStore(
            on_outcome=self._outcome, on_advance=self._advanced
        )
        self.monitor = Monitor(
            self.clock,
            self.facts,
            lambda brake: self.facts.merge(brake, self.clock.seconds()),
        )
        self.controller = Controller(
            self.clock,
            self.monitor,
            self.append,
            self._confirmed,
            wall=self.clock.seconds,
        )
        self.away = False
        self.controlling = True
        self.heard = ("dc-1",)
        self.unheard: tuple[str, ...] = ()
        self.waiting: list[RawRecord] = []
        self.on_refused = lambda reason: None
        self.reported = 0
        self._begin()

    def _begin(self) -> None:
        routes = tuple(
            Route(name=name, host="", prefix=f"/{name}", service=SERVICE)
            for name in self.service.routes
        )
        arrangement = Arrangement(
            services=(
                Service(name=SERVICE, target_versions=(OLD, NEW), initial=OLD),
            ),
            routes=routes,
        )
        self.write(Publish(operator="lab", expected=0, arrangement=arrangement))
        self.claim("c1/1", 0)

    def claim(self, holder: str, expected_term: int) -> None:
        """Lets a node claim the controller's duty."""
        self.write(
            ClaimDuty(
                duty=CONTROLLER,
                holder=holder,
                data_centre="dc-1",
                mesh_address="",
                admin_address="",
                expected_term=expected_term,
            )
        )

    def write(self, body: RecordBody, record_id: str | None = None) -> None:
        """Orders a record in the log and lets the node read it."""
        text = encode_envelope(
            Envelope(id=record_id or uuid.uuid4().hex, body=body)
        )
        raw = RawRecord(offset=len(self.raw), body=text)
        self.raw.append(raw)
        if self.away:
            self.waiting.append(raw)
            return
        self.state_store.apply_records((raw,))

    def start(self) -> None:
        """Starts the move."""
        self.write(
            StartMove(
                move=MOVE,
                operator="lab",
                service=SERVICE,
                to_version=NEW,
                expected=1,
                deadline=self.clock.seconds() + self.scenario.deadline_s,
            )
        )

    def append(self, body: RecordBody) -> Deferred:
        """Appends for the controller, with the log's delay."""
        done: Deferred = Deferred()
        record_id = uuid.uuid4().hex
        self.outcomes[record_id] = done
        self.clock.callLater(LOG_S, self._append, body, record_id)
        return done

    def _append(self, body: RecordBody, record_id: str) -> None:
        if self.away:
            self.clock.callLater(REPORT_S, self._append, body, record_id)
            return
        self.write(body, record_id)

    def come_back(self) -> None:
        """Lets the log answer again."""
        self.away = False
        waiting, self.waiting = self.waiting, []
        self.state_store.apply_records(waiting)

    @property
    def move(self) -> Move | None:
        """The move as it is folded."""
        return move_by_id(self.state_store.state, MOVE)

    def tick(self) -> None:
        """Plays a tenth of a second."""
        self.clock.advance(TICK_S)
        now = self.clock.seconds()
        move = self.move
        permille = move.permille if move else 0
        expected = self.service.rate(now) * TICK_S
        count = int(expected)
        count += self.rng.random() < expected - count
        for _ in range(count):
            self._request(now, permille)
        if now - self.reported >= REPORT_S:
            self.reported = now
            self._report()

    def _request(self, now: float, permille: int) -> None:
        route = self.service.pick_route()
        versions = eligible_versions(
            self.state_store.state, SERVICE, route, self.facts.brakes, self.rng
        )
        self.service.serve(versions[0].only, route, now, permille)

    def _report(self) -> None:
        for (version, index), tallies in self.service.tallies.items():
            evidence = Evidence(
                source=f"{version}-{index}",
                incarnation=1,
                sequence=int(self.clock.seconds() * 10),
                tallies=tallies.of_service(SERVICE),
            )
            if self.facts.merge(evidence, self.clock.seconds()):
                self.monitor.add_evidence(evidence)
        self.monitor.tick()
        if self.controlling:
            duty = duty_named(self.state_store.state, CONTROLLER)
            self.controller.tick(self.state_store.state, duty.term)

    def play(self) -> Played:
        """Plays the whole move."""
        self.start()
        limit = self.scenario.deadline_s * 1.2
        while self.move.phase is Phase.RUNNING:
            self.tick()
            if self.clock.seconds() > limit:
                break
        took = self.clock.seconds()
        for _ in range(30):
            self.tick()
        return self.played(took)

    def played(self, took: float) -> Played:
        """Returns what has come of the move so far."""
        service, scenario = self.service, self.scenario
        rest = max(0.0, scenario.deadline_s - self.clock.seconds())
        bad_since = service.bad_since
        return Played(
            scenario=scenario,
            phase=self.move.phase,
            reason=self.move.reason,
            took_s=took,
            new=service.new,
            new_bad=service.new_bad,
            total=service.total + int(rest * scenario.rate),
            cut_s=0.0 if bad_since is None else service.last_new - bad_since,
        )

    def _outcome(self, outcome) -> None:
        if isinstance(outcome, Refused):
            self.on_refused(outcome.reason.value)
        done = self.outcomes.pop(outcome.id, None)
        if done is not None:
            done.callback(outcome)

    def _advanced(self, before: int) -> None:
        self.monitor.sync_moves(self.state_store.state)

    def _confirmed(self, offset: int) -> Confirmation:
        return Confirmation(
            confirmed=self.heard, lagging=(), unheard=self.unheard
        )
