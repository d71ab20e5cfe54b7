"""Replays a trace of a whole firm: all nodes run their real pipelines."""

import collections
import fnmatch
from functools import singledispatchmethod

from fulmarrudder.call.message import Framing, Headers, RequestHead
from fulmarrudder.log import CONFIG_STREAM, Envelope, encode_envelope
from fulmarrudder.model import Amend, Publish, Route, StartMove
from fulmarrudder.operate.document import parse_document
from fulmarrudder.state_machine import CONTROLLER, duty_named
from fulmarrudder_lab.firms import (
    ESFERA,
    POZARNIK,
    ServiceSpec,
    arrangement_document,
)
from fulmarrudder_lab.replay.clock import ReplayClock
from fulmarrudder_lab.replay.instance import CALL_PORT, Instance
from fulmarrudder_lab.replay.network import Network, ReplayReactor
from fulmarrudder_lab.replay.platform import PlatformLog
from fulmarrudder_lab.replay.target import (
    REQUEST_ID_HEADER,
    Behaviour,
    Caller,
    Run,
    SentRequest,
)
from fulmarrudder_lab.replay.trace import (
    Behave,
    Change,
    Cut,
    Heal,
    Load,
    Log,
    Move,
    Process,
    Send,
    Trace,
)

FIRMS = {"esfera": ESFERA, "pozarnik": POZARNIK}
REMOTE_LATENCY_S = 0.001
STARTUP_S = 12.0
SAMPLE_INTERVAL_S = 0.05
RUNNER_PREFIX = "runner of "
MOVE_NAME = "move-1"


PROCESS_ACTIONS = {
    "kill": Instance.kill,
    "kill-node": Instance.kill_node,
    "start": Instance.start,
    "stop": Instance.stop,
    "freeze": Instance.freeze,
    "wake": Instance.wake,
    "leave": Instance.announce_leaving,
}


class Player:
    """Replays one trace.

    Attributes:
        instances: All instances by name.
        sent: Requests of `send` events, by name.
        load: Requests of `load` events, in order.
        runs: Requests that targets started.
        ready_s: Simulated time at which the time of the trace is 0.
        move_started_at: Simulated time at which the move started.
    """

    def __init__(self, trace: Trace):
        self.ready_s = STARTUP_S
        self.trace = trace
        self.seed = trace.header.seed
        self.firm = FIRMS[trace.header.firm]
        self.clock = ReplayClock()
        self.network = Network(self.clock, REMOTE_LATENCY_S)
        self.platform = PlatformLog(self.network)
        self.instances: dict[str, Instance] = {}
        self.runs: list[Run] = []
        self.sent: dict[str, SentRequest] = {}
        self.load: list[SentRequest] = []
        self.record_count = 0
        self.move_started_at = 0.0
        self.callers = ReplayReactor(self.network, "callers", "callers")
        self._add_instances()

    def _add_instances(self) -> None:
        for spec in self.firm.services:
            self._add_service(spec, "1", spec.name)
        for spec in self.firm.services:
            if spec.name == self.trace.header.moving:
                self._add_service(spec, "2", f"{spec.name}-v2")

    def _add_service(
        self, spec: ServiceSpec, version: str, name_prefix: str
    ) -> None:
        data_centres = self.firm.data_centres
        for index in range(spec.targets):
            data_centre = data_centres[index % len(data_centres)]
            name = f"{data_centre}-{name_prefix}-{index}"
            host = f"10.0.0.{len(self.instances) + 1}"
            self.instances[name] = Instance(
                self, name, data_centre, spec, host, version=version
            )

    def run(self) -> None:
        """Replays the trace to its end."""
        for instance in self.instances.values():
            instance.start()
        versions = ("1", "2") if self.trace.header.moving else ("1",)
        arrangement = parse_document(
            arrangement_document(self.firm, versions)
        ).ok
        self.append_record(
            Publish(operator="ana", expected=0, arrangement=arrangement)
        )
        self.run_until(STARTUP_S)
        for event in self.trace.events:
            self.run_until(STARTUP_S + event.at)
            self.apply_event(event)
        self.run_until(STARTUP_S + self.trace.header.until_s)

    def run_until(self, until: float) -> None:
        """Advances the clock and samples the active versions."""
        while self.clock.now < until:
            self.clock.run_until(min(until, self.clock.now + SAMPLE_INTERVAL_S))
            for instance in self.instances.values():
                instance.record_version()

    def append_record(self, body) -> None:
        """Appends an operator's record."""
        self.record_count += 1
        text = encode_envelope(
            Envelope(id=f"operator-{self.record_count}", body=body)
        )
        self.platform.write(CONFIG_STREAM, (text,))

    def matching_instances(self, pattern: str) -> list[Instance]:
        """Returns the instances that a pattern selects; see `trace`."""
        if pattern.startswith("!"):
            excluded = self.matching_instances(pattern[1:])
            return [
                instance
                for instance in self.instances.values()
                if instance not in excluded
            ]
        if pattern == "frozen":
            return [
                instance
                for instance in self.instances.values()
                if instance.reactor.frozen
            ]
        if pattern.startswith(RUNNER_PREFIX):
            return [
                self._instance_that_ran(pattern.removeprefix(RUNNER_PREFIX))
            ]
        if pattern == CONTROLLER or pattern.startswith("relay/"):
            return [self._duty_holder(pattern)]
        names = fnmatch.filter(self.instances, pattern)
        if not names:
            raise LookupError(f"no instance matches {pattern}")
        return [self.instances[name] for name in names]

    def _duty_holder(self, duty: str) -> Instance:
        states = [
            instance.daemon.node.state_store.state
            for instance in self.instances.values()
            if instance.running
        ]
        latest = max(states, key=lambda state: state.offset)
        holder = duty_named(latest, duty).holder
        return self.instances[holder.partition("/")[0]]

    def _instance_that_ran(self, request: str) -> Instance:
        for run in self.runs:
            if run.request == request:
                return self.instances[run.node]
        raise LookupError(f"{request} has not run on any target")

    @singledispatchmethod
    def apply_event(self, event) -> None:
        """Applies one event, a dataclass of `trace`."""
        raise TypeError(f"not an event: {type(event).__name__}")

    @apply_event.register
    def _(self, event: Change) -> None:
        template = arrangement_document(self.firm, ("1",))["routes"][0]
        service = template["service"] if event.sound else "unheard-of"
        route = {**template, "service": service, "timeout_ms": event.timeout_ms}
        body = Amend(
            operator="ana", expected=event.expected, routes=(Route(**route),)
        )
        self.append_record(body)

    @apply_event.register
    def _(self, event: Move) -> None:
        self.move_started_at = self.clock.now
        body = StartMove(
            move=MOVE_NAME,
            operator="ana",
            service=self.trace.header.moving,
            to_version="2",
            expected=1,
            deadline=self.clock.now + event.within_s,
        )
        self.append_record(body)

    @apply_event.register
    def _(self, event: Log) -> None:
        self.platform.unavailable = event.away
        self.platform.answers_to_lose = event.lose
        if event.expire:
            self.platform.expire(event.expire)

    @apply_event.register
    def _(self, event: Cut) -> None:
        for other in event.others:
            self.network.partitions.add(frozenset({event.place, other}))

    @apply_event.register
    def _(self, event: Heal) -> None:
        self.network.heal()

    @apply_event.register
    def _(self, event: Process) -> None:
        for instance in self.matching_instances(event.who):
            PROCESS_ACTIONS[event.do](instance)

    @apply_event.register
    def _(self, event: Behave) -> None:
        behaviour = Behaviour(
            delay_s=event.delay_s,
            fails=event.fails,
            crash_on=event.crash_on,
            shed_at=event.shed_at,
            cold_s=event.cold_s,
        )
        for instance in self.matching_instances(event.who):
            instance.target.behaviour = behaviour

    @apply_event.register
    def _(self, event: Send) -> None:
        through = self.matching_instances(event.through)[0]
        sent = SentRequest(
            name=event.name, through=through.name, size=event.size
        )
        self.sent[event.name] = sent
        caller = self._call(sent, through, event)
        if event.give_up_s:
            self.callers.callLater(event.give_up_s, caller.disconnect)

    @apply_event.register
    def _(self, event: Load) -> None:
        through = self.matching_instances(event.through)
        count = int((event.until - event.at) * event.rate)
        for index in range(count):
            instance = through[index % len(through)]
            sent = SentRequest(
                name=f"load-{len(self.load)}", through=instance.name
            )
            self.load.append(sent)
            send = Send(
                do="send",
                at=event.at,
                name=sent.name,
                through=instance.name,
                path=event.path,
                method="GET",
                size=0,
            )
            self.callers.callLater(
                index / event.rate, self._call_running, sent, instance, send
            )

    def _call_running(
        self, sent: SentRequest, instance: Instance, send: Send
    ) -> None:
        # The load only counts requests through running nodes.
        if not instance.running or instance.daemon.stopping:
            self.load.remove(sent)
            return
        self._call(sent, instance, send)

    def _call(self, sent: SentRequest, through: Instance, send: Send) -> Caller:
        fields = [
            (b"host", self.firm.host.encode()),
            (REQUEST_ID_HEADER, send.name.encode()),
        ]
        if send.key:
            fields.append((b"idempotency-key", send.key.encode()))
        head = RequestHead(
            method=send.method.encode(),
            target=send.path.encode(),
            headers=Headers(tuple(fields)),
            framing=Framing.LENGTH if send.size else Framing.NONE,
            length=send.size,
        )
        caller = Caller(sent, head, send.over_s, self.callers)
        factory = _CallerFactory(caller, sent)
        self.callers.connectTCP(through.host, CALL_PORT, factory, timeout=5)
        return caller

    def count_runs(self, request: str) -> int:
        """Returns how many times targets started a request."""
        return sum(run.request == request for run in self.runs)

    def new_version_share(self) -> float:
        """Returns the new version's fraction of requests since the move began.

        Only requests to the moved service are counted.
        """
        service = self.trace.header.moving
        versions = [
            self.instances[run.node].version
            for run in self.runs
            if run.at >= self.move_started_at
            and self.instances[run.node].spec.name == service
        ]
        return versions.count("2") / max(1, len(versions))

    def request_names_by_key(self) -> dict[str, list[str]]:
        """Returns the names of requests by idempotency key."""
        found = collections.defaultdict(list)
        for event in self.trace.events:
            if isinstance(event, Send) and event.key:
                found[event.key].append(event.name)
        return found

    def is_same_request(self, first: str, second: str) -> bool:
        """Returns whether two names are equal or share an idempotency key."""
        if first == second:
            return True
        return any(
            first in names and second in names
            for names in self.request_names_by_key().values()
        )

    def count_results(self) -> collections.Counter:
        """Counts the load's requests by status, or `lost`."""
        return collections.Counter(
            "lost" if sent.lost else sent.status for sent in self.load
        )


class _CallerFactory:
    """Builds one caller's connection."""

    def __init__(self, caller: Caller, sent: SentRequest):
        self.caller = caller
        self.sent = sent

    def startedConnecting(self, connector):  # noqa: N802
        """Does nothing: a caller does not abort a connection attempt."""

    def buildProtocol(self, addr):  # noqa: N802
        """Returns the caller."""
        return self.caller

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        """Records that the request was not sent."""
        self.sent.lost = True
