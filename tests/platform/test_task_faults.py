"""Each task of a node raises in turn while calls run: none is lost.

On a day of the users a fault of the controller ended nodes with code 0, each
with every call in progress.
"""

import json

import pytest
from twisted.internet.error import CannotListenError
from twisted.internet.testing import MemoryReactorClock

from fulmarrudder.call.errors import ConnectError
from fulmarrudder.call.message import (
    BodyEnd,
    BodyPart,
    Framing,
    Headers,
    ResponseHead,
)
from fulmarrudder.node import gossip_node
from fulmarrudder.node.supervisor import RESTART_MAX_DELAY_S
from fulmarrudder.platform.daemon import EXIT_FAULT, Daemon
from fulmarrudder.platform.errors import StoreUnavailableError
from fulmarrudder.platform.heartbeats import parse_heartbeat
from fulmarrudder.platform.settings import parse_machine_settings
from fulmarrudder.platform.store import KeyedRecord
from tests.call.test_host import FakePool
from tests.call.test_server import Transport
from tests.node.fakes import request_of
from tests.platform.test_config import CONFIG
from tests.platform.test_heartbeats import HEARTBEAT
from tests.platform.test_settings import SETTINGS

STEP_S = 0.05
TASKS = (
    "gossip",
    "presence",
    "moves",
    "retry-budget",
    "evidence",
    "facts-expiry",
    "connections",
    "lease",
    "lease-records",
    "config-from-peers",
    "departures",
    "directory",
    "move-results",
    "statuses",
    "settings",
)


class Pool(FakePool):
    """Connects to targets only, so that the store is away."""

    def __init__(self, clock, *, header_names, events):
        super().__init__(clock)
        self.store_error = ConnectError("away")

    async def acquire(self, address, **options):
        if address == SETTINGS["platform"]["address"]:
            raise self.store_error
        return await super().acquire(address, **options)

    def sweep(self):
        pass

    def close(self):
        pass


class Reactor(MemoryReactorClock):
    """Records that the process would end."""

    ended = False

    def stop(self):
        self.ended = True


class Caller:
    """Sends a call every `STEP_S`, whose target answers it a step later."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.reactor = daemon.reactor
        self.transports = []

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            send_heartbeat(self.daemon)
            self._send()
            self.reactor.advance(STEP_S)
            self._answer()
            self.reactor.advance(0)

    def _send(self):
        self.waiting = len(self.daemon.node.pool.made)
        protocol = self.daemon.node.calls.buildProtocol(None)
        transport = Transport()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        protocol.dataReceived(
            b"GET /pay/1 HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nX-Deadline-Remaining: 900\r\n\r\n"
        )
        self.transports.append(transport)

    def _answer(self):
        for connection in self.daemon.node.pool.made[self.waiting :]:
            fields = ((b"x-request-id", b"r1"), (b"x-response-seal", b"s"))
            for event in (
                ResponseHead(
                    status=200,
                    reason=b"",
                    headers=Headers(fields),
                    framing=Framing.LENGTH,
                    length=4,
                ),
                BodyPart(b"paid"),
                BodyEnd(),
            ):
                connection.exchange.receive(event)

    def lost(self):
        return [
            t.value()
            for t in self.transports
            if not t.value().startswith(b"HTTP/1.1 200")
            or not t.value().endswith(b"paid")
        ]


def send_heartbeat(daemon):
    latest = daemon.node.local_target.latest
    sequence = latest.sequence + 1 if latest else 1
    status = {**HEARTBEAT["status"], "sequence": sequence}
    data = json.dumps({**HEARTBEAT, "status": status}).encode()
    daemon.node.apply_announcement(parse_heartbeat("i-1", data).ok)


def new_daemon(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    settings = parse_machine_settings(path.read_text()).ok
    return Daemon(settings, path, Reactor())


@pytest.fixture
def daemon(tmp_path, monkeypatch):
    monkeypatch.setattr(gossip_node, "ConnectionPool", Pool)
    config = json.loads(json.dumps(CONFIG))
    route = config["virtualHosts"][0]["paths"][0]
    del route["trafficSplit"]
    route["service"] = "caja"
    daemon = new_daemon(tmp_path)
    daemon.start()
    daemon.operator_records.apply_config(json.dumps(config))
    send_heartbeat(daemon)
    daemon.node.add_move_request(request_of("libro"))
    return daemon


def task_named(daemon, name):
    tasks = {task.name: task for task in daemon.supervisor.periodic_tasks}
    return tasks[name]


def test_every_task_is_tested(daemon):
    found = {task.name for task in daemon.supervisor.periodic_tasks}
    assert found == set(TASKS)
    assert [t.name for t in daemon.supervisor.coroutine_tasks] == [
        "store-records"
    ]


def test_tasks_wake_the_node_once_a_tick(daemon):
    """Tasks of longer periods run in a wake-up of the shortest one."""
    periods_s = set(daemon.supervisor.rounds)
    assert min(periods_s) == gossip_node.TICK_PERIOD_S
    assert {period_s % gossip_node.TICK_PERIOD_S for period_s in periods_s} == {
        0.0
    }


@pytest.mark.parametrize("name", TASKS)
def test_no_call_is_lost_while_a_task_raises(daemon, name):
    caller = Caller(daemon)
    caller.run(1.0)
    task = task_named(daemon, name)
    sound, raised, resumed = task.call, [], []

    def broken():
        raised.append(1)
        raise KeyError(name)

    def mended():
        resumed.append(1)
        return sound()

    task.call = broken
    caller.run(5.0)
    assert raised
    task.call = mended
    caller.run(RESTART_MAX_DELAY_S + 5.0)
    assert resumed
    assert caller.lost() == []
    assert not daemon.reactor.ended


def test_fault_of_the_moves_gives_the_lease_up(daemon):
    daemon.lease.held_until = daemon.reactor.seconds() + 60.0
    daemon.lease.joined = True
    task_named(daemon, "moves").call = lambda: {}["phase"]
    Caller(daemon).run(1.0)
    assert not daemon.lease.holds_lease()
    assert not daemon.lease.joined


def test_no_call_is_lost_while_reading_the_store_raises(daemon):
    caller = Caller(daemon)
    daemon.node.pool.store_error = ZeroDivisionError("store")
    caller.run(5.0)
    daemon.node.pool.store_error = ConnectError("away")
    caller.run(RESTART_MAX_DELAY_S + 1.0)
    assert caller.lost() == []
    (task,) = daemon.supervisor.coroutine_tasks
    assert not task.running.called


def test_record_that_raises_does_not_keep_later_ones_from_the_node(daemon):
    node = daemon.node
    node.remove_move_request = lambda service: {}[service]
    rollout = {"service": "caja", "targetVersion": "v2", "duration": "16s"}
    daemon.tail.on_record(KeyedRecord(key="rollout/x", value=None))
    daemon.tail.on_record(
        KeyedRecord(key="rollout/caja", value=json.dumps(rollout).encode())
    )
    assert "caja" in {move.service for move in node.open_moves()}


def test_process_that_cannot_stop_gracefully_ends_with_a_code(daemon):
    daemon.node.leave = lambda: {}["leave"]
    daemon.begin_stop()
    assert daemon.exit_code == EXIT_FAULT
    assert daemon.reactor.ended


def test_process_that_cannot_start_ends_with_a_code(tmp_path, monkeypatch):
    monkeypatch.setattr(gossip_node, "ConnectionPool", Pool)
    daemon = new_daemon(tmp_path)

    def listen(*args, **kw):
        raise CannotListenError("", 1, OSError("in use"))

    daemon.reactor.listenTCP = listen
    daemon.supervisor.guard("start", daemon.start, daemon.abort)()
    assert daemon.exit_code == EXIT_FAULT
    assert daemon.reactor.ended


def test_graceful_stop_ends_with_code_0(daemon):
    daemon.begin_stop()
    Caller(daemon).run(0.05)
    daemon.reactor.advance(10.0)
    assert daemon.reactor.ended
    assert daemon.exit_code == 0


def test_store_error_is_no_fault(daemon):
    daemon.node.pool.store_error = StoreUnavailableError("503")
    Caller(daemon).run(3.0)
    page = daemon.node.metrics.render(()).decode()
    assert "fulmarrudder_task_faults_total{" not in page
