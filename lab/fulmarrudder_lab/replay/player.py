"""Plays a trace of a whole firm: every node, through its real pipelines."""

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
    ServiceSize,
    arrangement_of,
)
from fulmarrudder_lab.replay.clock import ReplayClock
from fulmarrudder_lab.replay.instance import CALL, Instance
from fulmarrudder_lab.replay.network import Network, Seat
from fulmarrudder_lab.replay.platform import Platform
from fulmarrudder_lab.replay.target import (
    ID_FIELD,
    Behaviour,
    Caller,
    Run,
    Sent,
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
FAR_S = 0.001
READY_S = 12.0
LOOK_S = 0.05
RUNNER = "runner of "
MOVE = "move-1"


PROCESS = {
    "kill": Instance.end,
    "kill-node": Instance.end_node,
    "start": Instance.start,
    "stop": Instance.stop,
    "freeze": Instance.freeze,
    "wake": Instance.wake,
    "leave": Instance.leave,
}


class Player:
    """Plays one trace.

    Attributes:
        instances: All instances by name.
        sent: Requests by name.
        load: Requests of the load, in order.
        runs: Requests that targets began.
        ready_s: When the trace's own time begins.
        moved_at: When the move was started.
    """

    def __init__(self, trace: Trace):
        self.ready_s = READY_S
        self.trace = trace
        self.seed = trace.header.seed
        self.firm = FIRMS[trace.header.firm]
        self.clock = ReplayClock()
        self.network = Network(self.clock, FAR_S)
        self.platform = Platform(self.network)
        self.instances: dict[str, Instance] = {}
        self.runs: list[Run] = []
        self.sent: dict[str, Sent] = {}
        self.load: list[Sent] = []
        self.written = 0
        self.moved_at = 0.0
        self.callers = Seat(self.network, "callers", "callers")
        self._add_instances()

    def _add_instances(self) -> None:
        for size in self.firm.services:
            self._add_targets(size, "1", size.name)
        for size in self.firm.services:
            if size.name == self.trace.header.moving:
                self._add_targets(size, "2", f"{size.name}-v2")

    def _add_targets(self, size: ServiceSize, version: str, stem: str) -> None:
        places = self.firm.data_centres
        for index in range(size.targets):
            place = places[index % len(places)]
            name = f"{place}-{stem}-{index}"
            host = f"10.0.0.{len(self.instances) + 1}"
            self.instances[name] = Instance(
                self, name, place, size, host, version=version
            )

    def run(self) -> None:
        """Plays the trace to its end."""
        for instance in self.instances.values():
            instance.start()
        versions = ("1", "2") if self.trace.header.moving else ("1",)
        arrangement = parse_document(arrangement_of(self.firm, versions)).ok
        self.write(Publish(operator="ana", expected=0, arrangement=arrangement))
        self.run_until(READY_S)
        for event in self.trace.events:
            self.run_until(READY_S + event.at)
            self.play(event)
        self.run_until(READY_S + self.trace.header.until_s)

    def run_until(self, moment: float) -> None:
        """Lets time pass, looking at the nodes now and then."""
        while self.clock.now < moment:
            self.clock.run_until(min(moment, self.clock.now + LOOK_S))
            for instance in self.instances.values():
                instance.look()

    def write(self, body) -> None:
        """Appends a record as an operator's."""
        self.written += 1
        text = encode_envelope(
            Envelope(id=f"operator-{self.written}", body=body)
        )
        self.platform.write(CONFIG_STREAM, (text,))

    def fitting(self, who: str) -> list[Instance]:
        """Returns the instances that a pattern names."""
        if who.startswith("!"):
            spared = self.fitting(who[1:])
            return [o for o in self.instances.values() if o not in spared]
        if who == "frozen":
            return [o for o in self.instances.values() if o.seat.frozen]
        if who.startswith(RUNNER):
            return [self._runner(who.removeprefix(RUNNER))]
        if who == CONTROLLER or who.startswith("relay/"):
            return [self._holder(who)]
        names = fnmatch.filter(self.instances, who)
        if not names:
            raise LookupError(f"nothing is named {who}")
        return [self.instances[name] for name in names]

    def _holder(self, duty: str) -> Instance:
        states = [
            one.daemon.node.state_store.state
            for one in self.instances.values()
            if one.running
        ]
        latest = max(states, key=lambda state: state.offset)
        holder = duty_named(latest, duty).holder
        return self.instances[holder.partition("/")[0]]

    def _runner(self, request: str) -> Instance:
        for run in self.runs:
            if run.request == request:
                return self.instances[run.node]
        raise LookupError(f"{request} has not run")

    @singledispatchmethod
    def play(self, event) -> None:
        """Plays one event, a dataclass of `trace`."""
        raise TypeError(f"not an event: {type(event).__name__}")

    @play.register
    def _(self, event: Change) -> None:
        known = arrangement_of(self.firm, ("1",))["routes"][0]
        service = known["service"] if event.sound else "unheard-of"
        route = {**known, "service": service, "timeout_ms": event.timeout_ms}
        body = Amend(
            operator="ana", expected=event.expected, routes=(Route(**route),)
        )
        self.write(body)

    @play.register
    def _(self, event: Move) -> None:
        self.moved_at = self.clock.now
        body = StartMove(
            move=MOVE,
            operator="ana",
            service=self.trace.header.moving,
            to_version="2",
            expected=1,
            deadline=self.clock.now + event.within_s,
        )
        self.write(body)

    @play.register
    def _(self, event: Log) -> None:
        self.platform.away = event.away
        self.platform.lose = event.lose
        if event.expire:
            self.platform.expire(event.expire)

    @play.register
    def _(self, event: Cut) -> None:
        for other in event.others:
            self.network.cuts.add(frozenset({event.place, other}))

    @play.register
    def _(self, event: Heal) -> None:
        self.network.heal()

    @play.register
    def _(self, event: Process) -> None:
        for instance in self.fitting(event.who):
            PROCESS[event.do](instance)

    @play.register
    def _(self, event: Behave) -> None:
        behaviour = Behaviour(
            delay_s=event.delay_s,
            fails=event.fails,
            crash_on=event.crash_on,
            shed_at=event.shed_at,
            cold_s=event.cold_s,
        )
        for instance in self.fitting(event.who):
            instance.target.behaviour = behaviour

    @play.register
    def _(self, event: Send) -> None:
        through = self.fitting(event.through)[0]
        sent = Sent(name=event.name, through=through.name, size=event.size)
        self.sent[event.name] = sent
        caller = self._call(sent, through, event)
        if event.give_up_s:
            self.callers.callLater(event.give_up_s, caller.give_up)

    @play.register
    def _(self, event: Load) -> None:
        through = self.fitting(event.through)
        count = int((event.until - event.at) * event.rate)
        for index in range(count):
            instance = through[index % len(through)]
            sent = Sent(name=f"load-{len(self.load)}", through=instance.name)
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

    def _call_running(self, sent: Sent, instance: Instance, send: Send) -> None:
        if not instance.running or instance.daemon.stopping:
            self.load.remove(sent)
            return
        self._call(sent, instance, send)

    def _call(self, sent: Sent, through: Instance, send: Send) -> Caller:
        fields = [
            (b"host", self.firm.host.encode()),
            (ID_FIELD, send.name.encode()),
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
        self.callers.connectTCP(through.host, CALL, factory, timeout=5)
        return caller

    def runs_of(self, request: str) -> int:
        """Counts how often targets began a request."""
        return sum(run.request == request for run in self.runs)

    def exposure(self) -> float:
        """Returns the share of the moved service that its new version got."""
        service = self.trace.header.moving
        versions = [
            self.instances[run.node].version
            for run in self.runs
            if run.at >= self.moved_at
            and self.instances[run.node].size.name == service
        ]
        return versions.count("2") / max(1, len(versions))

    def names_by_key(self) -> dict[str, list[str]]:
        """Returns names of requests by their idempotency key."""
        found = collections.defaultdict(list)
        for event in self.trace.events:
            if isinstance(event, Send) and event.key:
                found[event.key].append(event.name)
        return found

    def same_request(self, one: str, other: str) -> bool:
        """Tells whether two names are one, or share a key."""
        if one == other:
            return True
        return any(
            one in names and other in names
            for names in self.names_by_key().values()
        )

    def endings(self) -> collections.Counter:
        """Counts how the load's requests ended."""
        return collections.Counter(
            "lost" if sent.lost else sent.status for sent in self.load
        )


class _CallerFactory:
    """Makes one caller's connection."""

    def __init__(self, caller: Caller, sent: Sent):
        self.caller = caller
        self.sent = sent

    def startedConnecting(self, connector):  # noqa: N802
        """Does nothing; the caller never gives up while it connects."""

    def buildProtocol(self, addr):  # noqa: N802
        """Returns the caller."""
        return self.caller

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        """Notes that nothing was sent."""
        self.sent.lost = True
