"""Simulates a service during a move, on a fake clock.

Callers and targets are simulated. All decisions are made by the product's own
code: state machine, version split, tallies, move statistics, canary analysis,
schedule and controller.
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
from fulmarrudder.distribution.state_store import StateStore
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
REPORT_INTERVAL_S = 1.0
LOG_LATENCY_S = 0.05
MOVE_NAME = "m"
SERVICE_NAME = "moving"
OLD_VERSION, NEW_VERSION = "1", "2"
MEDIAN_LATENCY_S = 0.008
LATENCY_SIGMA = 0.45
COLD_LATENCY_FACTOR = 6.0
WARMUP_S = 20.0
PEAK_FACTOR = 3.0
PEAK_FAILURE_RATE = 0.02
OVERLOAD_PERMILLE = 200


class VersionKind(enum.Enum):
    """How the new version behaves."""

    GOOD = "good"
    GOOD_COLD = "good-cold"
    GOOD_PEAK = "good-peak"
    BAD_AT_ONCE = "bad-at-once"
    BAD_LATER = "bad-later"
    BAD_LOADED = "bad-under-load"
    BAD_ROUTE = "bad-on-one-route"

    @property
    def is_bad(self) -> bool:
        """Whether the version should be taken back."""
        return self.value.startswith("bad")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A move to simulate.

    Attributes:
        rate: Requests a second to the service.
        targets: Targets of each version.
        slots: Slots of each target.
        deadline_s: Seconds from the start to the deadline.
        fails: Probability that a bad version fails a request.
        slows: Factor by which a bad version slows a request.
        turns_s: Seconds after which a `BAD_LATER` version turns bad.
        routes: Weights of the routes; a `BAD_ROUTE` version is bad on the
            last one only.
    """

    name: str
    kind: VersionKind
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
class SimulationResult:
    """The result of a simulated move.

    Attributes:
        duration_s: Seconds from the start of the move to its decision.
        new_requests: Requests that the new version received.
        bad_requests: Requests that it received after it turned bad.
        total_requests: Requests to the service until the deadline.
        cutoff_s: Seconds from the moment the new version turned bad to the
            last request that it received; 0 if it never turned bad.
    """

    scenario: Scenario
    phase: Phase
    reason: str
    duration_s: float
    new_requests: int
    bad_requests: int
    total_requests: int
    cutoff_s: float


class SimulatedService:
    """Simulated callers and targets of the moved service."""

    def __init__(self, scenario: Scenario, clock: Clock, rng: random.Random):
        self.scenario = scenario
        self.clock = clock
        self.rng = rng
        self.routes = tuple(f"r{i}" for i in range(len(scenario.routes)))
        self.tallies = {
            (version, index): Tallies()
            for version in (OLD_VERSION, NEW_VERSION)
            for index in range(scenario.targets)
        }
        self.warmup = {target: WarmupTracker() for target in self.tallies}
        self.first_new_at: float | None = None
        self.bad_since: float | None = None
        self.last_new_at = 0.0
        self.new_requests = 0
        self.bad_requests = 0
        self.total_requests = 0
        self.new_failures = 0

    def request_rate(self, now: float) -> float:
        """Returns the requests a second at a given time."""
        scenario = self.scenario
        if scenario.kind is VersionKind.GOOD_PEAK and self._is_peak(now):
            return scenario.rate * PEAK_FACTOR
        return scenario.rate

    def _is_peak(self, now: float) -> bool:
        progress = now / self.scenario.deadline_s
        return 0.10 < progress < 0.35

    def is_bad(self, now: float, permille: int) -> bool:
        """Returns whether the new version misbehaves at a given time."""
        scenario = self.scenario
        if scenario.kind in (VersionKind.BAD_AT_ONCE, VersionKind.BAD_ROUTE):
            return True
        if scenario.kind is VersionKind.BAD_LATER:
            return now >= scenario.turns_s
        if scenario.kind is VersionKind.BAD_LOADED:
            return permille >= OVERLOAD_PERMILLE
        return False

    def serve(self, version: str, route: str, now: float, permille: int):
        """Serves one request and records its result."""
        scenario = self.scenario
        self.total_requests += 1
        index = self.rng.randrange(scenario.targets)
        latency_s = MEDIAN_LATENCY_S * math.exp(
            self.rng.gauss(0.0, LATENCY_SIGMA)
        )
        failed = self.rng.random() < 0.001
        if scenario.kind is VersionKind.GOOD_PEAK and self._is_peak(now):
            latency_s *= PEAK_FACTOR
            failed = failed or self.rng.random() < PEAK_FAILURE_RATE
        if version == NEW_VERSION:
            latency_s, failed = self._serve_new_version(
                route, now, permille, latency_s, failed
            )
        cold = self.warmup[(version, index)].record_request(1, now)
        self.tallies[(version, index)].record(
            SERVICE_NAME,
            version,
            route,
            failed=failed,
            latency_s=None if cold else latency_s,
        )

    def _serve_new_version(self, route, now, permille, latency_s, failed):
        scenario = self.scenario
        self.new_requests += 1
        self.last_new_at = now
        if self.first_new_at is None:
            self.first_new_at = now
        if (
            scenario.kind is VersionKind.GOOD_COLD
            and now - self.first_new_at < WARMUP_S
        ):
            latency_s *= COLD_LATENCY_FACTOR
        if not self.is_bad(now, permille):
            return latency_s, failed
        if self.bad_since is None:
            self.bad_since = now
        self.bad_requests += 1
        if scenario.kind is VersionKind.BAD_ROUTE and route != self.routes[-1]:
            return latency_s, failed
        failed = failed or self.rng.random() < scenario.fails
        self.new_failures += failed
        return latency_s * scenario.slows, failed

    def pick_route(self) -> str:
        """Draws a route by weight."""
        return self.rng.choices(self.routes, self.scenario.routes)[0]


class MoveSimulation:
    """Runs one scenario with the product's own decisions.

    Attributes:
        log_unavailable: Whether the log accepts no appends from the controller
            and delivers no records.
        controller_running: Whether the controller ticks; False simulates a
            paused controller.
    """

    def __init__(self, scenario: Scenario):
        self.scenario = scenario
        self.clock = Clock()
        self.rng = random.Random(scenario.seed)
        self.service = SimulatedService(scenario, self.clock, self.rng)
        self.facts = FactStore()
        self.records: list[RawRecord] = []
        self.pending_appends: dict[str, Deferred] = {}
        self.state_store = StateStore(
            on_outcome=self._handle_outcome, on_advance=self._handle_advance
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
            self._confirmation,
            wall=self.clock.seconds,
        )
        self.log_unavailable = False
        self.controller_running = True
        self.confirmed_data_centres = ("dc-1",)
        self.unheard: tuple[str, ...] = ()
        self.unread_records: list[RawRecord] = []
        self.on_refused = lambda reason: None
        self.last_report_at = 0
        self._publish_arrangement()

    def _publish_arrangement(self) -> None:
        routes = tuple(
            Route(name=name, host="", prefix=f"/{name}", service=SERVICE_NAME)
            for name in self.service.routes
        )
        arrangement = Arrangement(
            services=(
                Service(
                    name=SERVICE_NAME,
                    target_versions=(OLD_VERSION, NEW_VERSION),
                    initial=OLD_VERSION,
                ),
            ),
            routes=routes,
        )
        self.append_record(
            Publish(operator="lab", expected=0, arrangement=arrangement)
        )
        self.claim_controller("c1/1", 0)

    def claim_controller(self, holder: str, expected_term: int) -> None:
        """Appends a claim of the controller duty by a node."""
        self.append_record(
            ClaimDuty(
                duty=CONTROLLER,
                holder=holder,
                data_centre="dc-1",
                mesh_address="",
                admin_address="",
                expected_term=expected_term,
            )
        )

    def append_record(
        self, body: RecordBody, record_id: str | None = None
    ) -> None:
        """Appends a record, and applies it unless the log is unavailable."""
        text = encode_envelope(
            Envelope(id=record_id or uuid.uuid4().hex, body=body)
        )
        record = RawRecord(offset=len(self.records), body=text)
        self.records.append(record)
        if self.log_unavailable:
            self.unread_records.append(record)
            return
        self.state_store.apply_records((record,))

    def start(self) -> None:
        """Starts the move."""
        self.append_record(
            StartMove(
                move=MOVE_NAME,
                operator="lab",
                service=SERVICE_NAME,
                to_version=NEW_VERSION,
                expected=1,
                deadline=self.clock.seconds() + self.scenario.deadline_s,
            )
        )

    def append(self, body: RecordBody) -> Deferred:
        """Appends a record for the controller, after the log's latency."""
        pending: Deferred = Deferred()
        record_id = uuid.uuid4().hex
        self.pending_appends[record_id] = pending
        self.clock.callLater(LOG_LATENCY_S, self._append, body, record_id)
        return pending

    def _append(self, body: RecordBody, record_id: str) -> None:
        if self.log_unavailable:
            self.clock.callLater(
                REPORT_INTERVAL_S, self._append, body, record_id
            )
            return
        self.append_record(body, record_id)

    def restore_log(self) -> None:
        """Makes the log available and applies the unread records."""
        self.log_unavailable = False
        unread, self.unread_records = self.unread_records, []
        self.state_store.apply_records(unread)

    @property
    def move(self) -> Move | None:
        """The move in the replicated state."""
        return move_by_id(self.state_store.state, MOVE_NAME)

    def tick(self) -> None:
        """Simulates `TICK_S` seconds."""
        self.clock.advance(TICK_S)
        now = self.clock.seconds()
        move = self.move
        permille = move.permille if move else 0
        expected = self.service.request_rate(now) * TICK_S
        count = int(expected)
        count += self.rng.random() < expected - count
        for _ in range(count):
            self._request(now, permille)
        if now - self.last_report_at >= REPORT_INTERVAL_S:
            self.last_report_at = now
            self._report()

    def _request(self, now: float, permille: int) -> None:
        route = self.service.pick_route()
        versions = eligible_versions(
            self.state_store.state,
            SERVICE_NAME,
            route,
            self.facts.brakes,
            self.rng,
        )
        self.service.serve(versions[0].only, route, now, permille)

    def _report(self) -> None:
        for (version, index), tallies in self.service.tallies.items():
            evidence = Evidence(
                source=f"{version}-{index}",
                incarnation=1,
                sequence=int(self.clock.seconds() * 10),
                tallies=tallies.of_service(SERVICE_NAME),
            )
            if self.facts.merge(evidence, self.clock.seconds()):
                self.monitor.add_evidence(evidence)
        self.monitor.tick()
        if self.controller_running:
            duty = duty_named(self.state_store.state, CONTROLLER)
            self.controller.tick(self.state_store.state, duty.term)

    def run(self) -> SimulationResult:
        """Runs the move to its end and returns the result."""
        self.start()
        limit = self.scenario.deadline_s * 1.2
        while self.move.phase is Phase.RUNNING:
            self.tick()
            if self.clock.seconds() > limit:
                break
        duration_s = self.clock.seconds()
        for _ in range(30):
            self.tick()
        return self.result(duration_s)

    def result(self, duration_s: float) -> SimulationResult:
        """Returns the result of the move so far."""
        service, scenario = self.service, self.scenario
        remaining_s = max(0.0, scenario.deadline_s - self.clock.seconds())
        bad_since = service.bad_since
        return SimulationResult(
            scenario=scenario,
            phase=self.move.phase,
            reason=self.move.reason,
            duration_s=duration_s,
            new_requests=service.new_requests,
            bad_requests=service.bad_requests,
            total_requests=service.total_requests
            + int(remaining_s * scenario.rate),
            cutoff_s=0.0
            if bad_since is None
            else service.last_new_at - bad_since,
        )

    def _handle_outcome(self, outcome) -> None:
        if isinstance(outcome, Refused):
            self.on_refused(outcome.reason.value)
        pending = self.pending_appends.pop(outcome.id, None)
        if pending is not None:
            pending.callback(outcome)

    def _handle_advance(self, before: int) -> None:
        self.monitor.sync_moves(self.state_store.state)

    def _confirmation(self, offset: int) -> Confirmation:
        return Confirmation(
            confirmed=self.confirmed_data_centres,
            lagging=(),
            unheard=self.unheard,
        )
