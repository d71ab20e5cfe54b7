"""Plays a trace of a whole firm: every node, through its real pipelines."""

import collections
import fnmatch
import random
from functools import singledispatchmethod

from fulmarrudder.call.message import Framing, Headers, RequestHead
from fulmarrudder.fold import CONTROLLER, duty_named
from fulmarrudder.log import CONFIG, Envelope, encode
from fulmarrudder.membership import Announcement
from fulmarrudder.model import Amend, Condition, Publish, Route
from fulmarrudder.node import Settings
from fulmarrudder.node.daemon import Daemon
from fulmarrudder.operate.document import read_document
from fulmarrudder_lab.firms import ESFERA, POZARNIK, arrangement_of
from fulmarrudder_lab.replay.clock import ReplayClock
from fulmarrudder_lab.replay.network import Network, Seat
from fulmarrudder_lab.replay.platform import Platform, PlatformLog
from fulmarrudder_lab.replay.target import (
    ID_FIELD,
    Behaviour,
    Caller,
    Run,
    Sent,
    Target,
)
from fulmarrudder_lab.replay.trace import (
    Behave,
    Change,
    Cut,
    Heal,
    Load,
    Log,
    Process,
    Send,
    Trace,
)

FIRMS = {"esfera": ESFERA, "pozarnik": POZARNIK}
FAR_S = 0.001
READY_S = 12.0
ANNOUNCE_S = 1.0
LOOK_S = 0.05
RUNNER = "runner of "
CALL, MESH, ADMIN, TARGET = 7100, 7101, 7102, 7200
SEEDS = tuple(f"10.0.0.{number}:{MESH}" for number in (1, 2, 3))


class Instance:
    """An instance of the firm: a target and the node in its slot.

    Attributes:
        settings: Settings that its node is started with.
        versions: Versions seen in force, by start of the node.
    """

    def __init__(self, player: "Player", name: str, place: str, size, host):
        self.player = player
        self.name = name
        self.place = place
        self.size = size
        self.host = host
        player.network.places[host] = place
        self.starts = 0
        self.versions: list[list[int]] = []
        self.announced = 0
        self.condition = Condition.READY
        self.settings = _settings(name, place, host)
        self.seat: Seat | None = None
        self.daemon: Daemon | None = None
        self.target: Target | None = None

    def start(self) -> None:
        """Starts the node, and the target unless it runs."""
        self.starts += 1
        self.versions.append([])
        player = self.player
        self.seat = Seat(player.network, self.host, self.place)
        self.daemon = Daemon(
            self.settings,
            self.seat,
            log=PlatformLog(player.platform, self.seat),
            rng=random.Random(f"{player.seed} {self.name} {self.starts}"),
            incarnation=self.starts,
        )
        self.daemon.start()
        if self.target is None or self.target.seat.dead:
            self.start_target()
        self._announce(self.starts)

    def start_target(self) -> None:
        """Starts the target."""
        seat = Seat(self.player.network, self.host, self.place)
        self.target = Target(seat, self.name, TARGET, self.player.runs)
        self.condition = Condition.READY

    def leave(self) -> None:
        """Lets the target announce that it leaves."""
        self.condition = Condition.LEAVING
        self._tell()

    def _announce(self, start: int) -> None:
        if start != self.starts:
            return
        if not self.target.seat.dead and not self.target.seat.frozen:
            self._tell()
        self.seat.callLater(ANNOUNCE_S, self._announce, start)

    def _tell(self) -> None:
        self.announced += 1
        self.daemon.node.announced(
            Announcement(
                service=self.size.name,
                target_version="1",
                address=f"{self.host}:{TARGET}",
                incarnation=1,
                sequence=self.announced,
                condition=self.condition,
                slots=self.size.slots,
                connections=self.size.connections,
            )
        )

    @property
    def running(self) -> bool:
        """Whether the node runs."""
        return self.seat is not None and not self.seat.dead

    def look(self) -> None:
        """Notes the version that the node has in force."""
        state = self.daemon.node.entry.in_force.state
        if self.running and state is not None:
            self.versions[-1].append(state.version)


class Player:
    """Plays one trace.

    Attributes:
        instances: All instances by name.
        sent: Requests by name.
        load: Requests of the load, in order.
        runs: Requests that targets began.
        ready_s: When the trace's own time begins.
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
        self.callers = Seat(self.network, "callers", "callers")
        self._add_instances()

    def _add_instances(self) -> None:
        places = self.firm.data_centres
        for size in self.firm.services:
            for index in range(size.targets):
                place = places[index % len(places)]
                name = f"{place}-{size.name}-{index}"
                host = f"10.0.0.{len(self.instances) + 1}"
                self.instances[name] = Instance(self, name, place, size, host)

    def run(self) -> None:
        """Plays the trace to its end."""
        for instance in self.instances.values():
            instance.start()
        document = arrangement_of(self.firm, ("1",))
        arrangement = read_document(document).ok
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
        text = encode(Envelope(id=f"operator-{self.written}", body=body))
        self.platform.write(CONFIG, (text,))

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
            one.daemon.node.holder.state
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
            _PROCESS[event.do](instance)

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
            self.callers.callLater(
                event.give_up_s, lambda: caller.transport.abortConnection()
            )

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


def _settings(name: str, place: str, host: str) -> Settings:
    return Settings(
        node=name,
        data_centre=place,
        call_address=f"{host}:{CALL}",
        mesh_address=f"{host}:{MESH}",
        admin_address=f"{host}:{ADMIN}",
        log_url="http://platform",
        seeds=SEEDS,
        mesh_token="token-of-the-replay",
        operators=(),
        relays=1,
        degree=16,
        span_ratio=0.0,
        log_level="warning",
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


def _freeze(instance: Instance) -> None:
    instance.seat.frozen = True


def _kill(instance: Instance) -> None:
    instance.seat.stop()
    instance.target.seat.stop()


_PROCESS = {
    "kill": _kill,
    "kill-node": lambda instance: instance.seat.stop(),
    "start": Instance.start,
    "stop": lambda instance: instance.daemon.begin_stop(),
    "freeze": _freeze,
    "wake": lambda instance: instance.seat.wake(),
    "leave": Instance.leave,
}
