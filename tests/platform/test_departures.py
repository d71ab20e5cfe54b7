"""Departures of targets outlive a restart of all nodes."""

import contextlib
import json

import pytest
from twisted.internet.defer import Deferred, succeed

from fulmarrudder.clock import wall_seconds
from fulmarrudder.model import Condition
from fulmarrudder.node import gossip_node
from fulmarrudder.node.gossip_node import DISCOVERY_TIMEOUT_S
from fulmarrudder.node.recorder import RECORD_TIMEOUT_S, RETRY_S
from fulmarrudder.platform.daemon import DEPARTURES_PERIOD_S, Daemon
from fulmarrudder.platform.directory import TOPIC
from fulmarrudder.platform.errors import (
    StoreRejectedError,
    StoreUnavailableError,
)
from fulmarrudder.platform.http import HeartbeatResource
from fulmarrudder.platform.settings import parse_machine_settings
from fulmarrudder.platform.store import RecordBatch
from tests.platform.test_http import request_page, send_heartbeat
from tests.platform.test_settings import SETTINGS
from tests.platform.test_task_faults import Pool, Reactor

TICK_S = 0.25


class FakeStore:
    """The newest records of the directory; other topics have none.

    Attributes:
        answering: Whether calls are answered; others fail.
        holding: Whether appends are answered only by `release`.
        delaying: Whether appends get no answer, and are executed by
            `execute_delayed`.
    """

    def __init__(self):
        self.newest = {}
        self.epochs = {}
        self.answering = True
        self.holding = False
        self.held = []
        self.delaying = False
        self.delayed = []
        self.appends = 0

    async def append(self, topic, record, *, producer="", epoch=0, **_):
        if topic != TOPIC:
            return
        self.appends += 1
        if not self.answering:
            raise StoreUnavailableError("503")
        if self.delaying:
            self.delayed.append((record, producer, epoch))
            raise StoreUnavailableError("no answer")
        answer = Deferred() if self.holding else succeed(None)
        self.held.append(answer)
        await answer
        self.execute(record, producer, epoch)

    def execute(self, record, producer, epoch):
        if producer and epoch < self.epochs.get(producer, 0):
            raise StoreRejectedError(409, "fenced")
        self.epochs[producer] = epoch
        self.newest[record.key] = record

    def execute_delayed(self):
        for append in self.delayed:
            with contextlib.suppress(StoreRejectedError):
                self.execute(*append)

    def release(self):
        self.holding = False
        for answer in self.held:
            if not answer.called:
                answer.callback(None)

    async def read_latest(self, topic, **_):
        if not self.answering:
            raise StoreUnavailableError("503")
        found = tuple(self.newest.values()) if topic == TOPIC else ()
        return RecordBatch(records=found, next_offset=1, is_latest=True)

    async def read(self, topic, start, wait_s, **_):
        raise StoreUnavailableError("503")

    async def read_end(self, topic):
        raise StoreUnavailableError("503")

    async def join_group(self, *_, **__):
        raise StoreUnavailableError("503")


class Scene:
    """A node that restarts, and the store."""

    def __init__(self, folder):
        self.path = folder / "settings.json"
        self.store = FakeStore()
        self.starts = 0
        self.daemon = None
        self.restart()

    def restart(self):
        """Starts the node; no other node remembers anything."""
        settings = {**SETTINGS, "bootstrap": not self.starts}
        self.starts += 1
        self.path.write_text(json.dumps(settings))
        parsed = parse_machine_settings(self.path.read_text()).ok
        self.daemon = Daemon(parsed, self.path, Reactor())
        for name in ("directory", "operator_records", "lease", "tail"):
            getattr(self.daemon, name).store = self.store
        self.daemon.start()

    @property
    def condition(self):
        return self.daemon.node.local_target.condition

    def pass_time(self, seconds):
        self.daemon.reactor.pump([TICK_S] * int(seconds / TICK_S))

    def deregister(self):
        path = b"/-/instances/i-1/deregister"
        return request_page(HeartbeatResource(self.daemon.node), path, b"")


@pytest.fixture
def scene(tmp_path, monkeypatch):
    monkeypatch.setattr(gossip_node, "ConnectionPool", Pool)
    scene = Scene(tmp_path)
    scene.pass_time(1.0)
    send_heartbeat(scene.daemon.node, 1)
    assert scene.condition is Condition.READY
    return scene


def leave_by_deregistration(scene):
    return scene.deregister()


def leave_by_heartbeat(scene):
    return send_heartbeat(scene.daemon.node, 2, state="draining")


def leave_unannounced(scene):
    scene.restart()
    return scene.deregister()


def set_clock(monkeypatch, offset_s):
    """Sets the time of day of later starts ahead, or back."""
    monkeypatch.setattr(
        "fulmarrudder.platform.daemon.wall_seconds",
        lambda: wall_seconds() + offset_s,
    )


# A target that had left was used again: all nodes were killed at once, and a heartbeat
# that it had sent before came late.
@pytest.mark.parametrize(
    "leave", [leave_by_deregistration, leave_by_heartbeat, leave_unannounced]
)
@pytest.mark.parametrize("restarts", [1, 2])
def test_target_that_left_before_all_nodes_restarted_stays_leaving(
    scene, leave, restarts
):
    leave(scene)
    for _ in range(restarts):
        scene.restart()
        scene.pass_time(1.0)
    send_heartbeat(scene.daemon.node, 1)
    assert scene.condition is Condition.LEAVING


# The same while the store is away after the restart: the heartbeat comes first.
def test_late_heartbeat_is_not_trusted_before_the_departure_is_read(scene):
    scene.deregister()
    scene.store.answering = False
    scene.restart()
    send_heartbeat(scene.daemon.node, 1)
    assert scene.condition is Condition.ABSENT
    scene.store.answering = True
    scene.pass_time(2.0)
    assert scene.condition is Condition.LEAVING


# Guards against a departure, recorded and acknowledged, that one late heartbeat undoes
# as the store is away for longer than the node waits for it.
@pytest.mark.parametrize("late_s", [0.0, 2.0, 2 * DISCOVERY_TIMEOUT_S])
def test_late_heartbeat_is_not_trusted_while_the_store_is_away(scene, late_s):
    scene.deregister()
    scene.store.answering = False
    scene.restart()
    scene.pass_time(late_s)
    send_heartbeat(scene.daemon.node, 1)
    for _ in range(10):
        scene.pass_time(1.0)
        assert scene.condition is Condition.ABSENT


def test_live_target_is_used_without_the_store_after_a_while(scene):
    scene.store.answering = False
    scene.restart()
    for sequence in (2, 3):
        send_heartbeat(scene.daemon.node, sequence)
        scene.pass_time(1.25)
        assert scene.condition is Condition.ABSENT
    scene.pass_time(DISCOVERY_TIMEOUT_S - 2.5 + TICK_S)
    assert scene.condition is Condition.READY


def test_next_target_is_used_without_the_store_after_a_while(scene):
    scene.deregister()
    scene.store.answering = False
    scene.restart()
    send_heartbeat(scene.daemon.node, 1)
    scene.pass_time(DISCOVERY_TIMEOUT_S + TICK_S)
    for sequence in (1, 2):
        assert scene.condition is Condition.ABSENT
        send_heartbeat(scene.daemon.node, sequence, born=2000, target="i-2")
    assert scene.condition is Condition.READY


def test_next_target_is_ready_after_a_restart(scene):
    scene.deregister()
    scene.restart()
    scene.pass_time(1.0)
    send_heartbeat(scene.daemon.node, 1, born=2000)
    assert scene.condition is Condition.READY


def test_departure_is_acknowledged_once_it_is_recorded(scene):
    scene.store.holding = True
    _, answer = scene.deregister()
    assert scene.condition is Condition.LEAVING
    assert not answer.called
    scene.store.release()
    assert answer.result == b"{}"


# Guards against a departure that is acknowledged while it is in memory only: all nodes
# were killed then, and a late heartbeat put the target in use again.
@pytest.mark.parametrize(
    "leave", [leave_by_deregistration, leave_by_heartbeat, leave_unannounced]
)
@pytest.mark.parametrize("holding", [False, True])
def test_departure_is_not_acknowledged_while_the_store_is_away(
    scene, leave, holding
):
    scene.store.holding = holding
    scene.store.answering = holding
    request, answer = leave(scene)
    scene.daemon.reactor.advance(RECORD_TIMEOUT_S - 0.01)
    assert not answer.called
    scene.daemon.reactor.advance(0.02)
    assert request.responseCode == 503
    assert scene.condition is not Condition.READY


# A target awaits its acknowledgement for a second, and asks again.
def test_departure_is_acknowledged_once_the_store_is_back(scene):
    scene.store.answering = False
    request, _ = scene.deregister()
    scene.daemon.reactor.advance(RECORD_TIMEOUT_S)
    assert request.responseCode == 503
    scene.store.answering = True
    scene.pass_time(2 * RETRY_S)
    assert scene.deregister()[1] == b"{}"
    scene.restart()
    scene.pass_time(1.0)
    send_heartbeat(scene.daemon.node, 1)
    assert scene.condition is Condition.LEAVING


def test_departure_is_acknowledged_in_time_after_one_refused_write(scene):
    scene.store.answering = False
    request, answer = scene.deregister()
    scene.pass_time(DEPARTURES_PERIOD_S)
    scene.store.answering = True
    scene.pass_time(DEPARTURES_PERIOD_S)
    assert answer.result == b"{}"
    assert request.responseCode != 503


# Guards against a store in trouble that all nodes ask four times a second.
def test_write_that_no_target_awaits_is_tried_again_each_second(scene):
    scene.store.answering = False
    scene.deregister()
    scene.pass_time(1.0)
    before = scene.store.appends
    scene.pass_time(10.0)
    assert 9 <= scene.store.appends - before <= 11


# Guards against a late deregistration of another target that replaces the record.
def test_deregistration_of_another_target_keeps_the_departure(scene):
    scene.deregister()
    path = b"/-/instances/i-0/deregister"
    request_page(HeartbeatResource(scene.daemon.node), path, b"")
    scene.restart()
    scene.pass_time(1.0)
    send_heartbeat(scene.daemon.node, 1)
    assert scene.condition is Condition.LEAVING


# Guards against an acknowledgement of what the store's older copy may lack.
def test_departure_is_recorded_again_before_it_is_acknowledged_in_a_new_era(
    scene,
):
    scene.deregister()
    scene.store.answering = False
    scene.daemon._enter_era(0, 1)
    request, _ = scene.deregister()
    scene.daemon.reactor.advance(RECORD_TIMEOUT_S)
    assert request.responseCode == 503
    scene.store.answering = True
    scene.pass_time(2.0)
    assert scene.deregister()[1] == b"{}"


# Guards against an earlier write without an answer that the store executes after the
# departure was recorded and acknowledged, and that replaces it.
@pytest.mark.parametrize("written_by", ["this start", "the start before"])
def test_delayed_write_does_not_replace_a_departure(
    scene, monkeypatch, written_by
):
    scene.store.newest.clear()
    scene.store.delaying = True
    scene.restart()
    scene.pass_time(1.0)
    if written_by == "the start before":
        set_clock(monkeypatch, 2.0)
        scene.restart()
    scene.store.delaying = False
    assert scene.deregister()[1] == b"{}"
    scene.store.execute_delayed()
    scene.restart()
    scene.pass_time(1.0)
    send_heartbeat(scene.daemon.node, 1)
    assert scene.condition is Condition.LEAVING


def test_delayed_departure_does_not_replace_a_later_one(scene):
    scene.store.delaying = True
    scene.deregister()
    scene.pass_time(1.0)
    scene.store.delaying = False
    send_heartbeat(scene.daemon.node, 1, born=2000, target="i-2")
    send_heartbeat(
        scene.daemon.node, 2, born=2000, target="i-2", state="draining"
    )
    scene.pass_time(1.0)
    scene.store.execute_delayed()
    scene.restart()
    scene.pass_time(1.0)
    send_heartbeat(scene.daemon.node, 1, born=2000, target="i-2")
    assert scene.condition is Condition.LEAVING


# Guards against a node that can't write its record after its clock was set back.
def test_departure_is_recorded_after_the_clock_was_set_back(scene, monkeypatch):
    set_clock(monkeypatch, -600.0)
    scene.restart()
    scene.pass_time(1.0)
    send_heartbeat(scene.daemon.node, 1)
    _, answer = scene.deregister()
    scene.pass_time(1.0)
    assert answer.result == b"{}"
    scene.restart()
    scene.pass_time(1.0)
    send_heartbeat(scene.daemon.node, 1)
    assert scene.condition is Condition.LEAVING


# Guards against a fault for each answer in which a target tells that it leaves.
def test_departure_told_in_an_answer_needs_no_acknowledgement(scene):
    scene.store.answering = False
    scene.daemon.node.host.advice.on_leaving()
    scene.daemon.reactor.advance(RECORD_TIMEOUT_S)
    assert scene.condition is Condition.LEAVING
    assert not scene.daemon.supervisor.logged


def test_departure_is_recorded_once(scene):
    before = scene.store.appends
    for sequence in range(2, 6):
        send_heartbeat(scene.daemon.node, sequence, state="draining")
        scene.pass_time(1.5)
    assert scene.store.appends == before + 1
