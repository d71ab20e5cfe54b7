"""Nodes go on while the store comes back from an older copy, whenever it does."""

import collections
import json

import pytest

from fulmarrudder.model import SourceEra
from fulmarrudder.node import gossip_node
from fulmarrudder.platform.daemon import Daemon
from fulmarrudder.platform.rewrites import AWAIT_S
from fulmarrudder.platform.settings import parse_machine_settings
from fulmarrudder.state_machine import OPEN_PHASES, Phase
from fulmarrudder_lab.era_store import EraStore
from tests.platform.era_connections import EraPool
from tests.platform.test_config import CONFIG
from tests.platform.test_http import send_heartbeat
from tests.platform.test_settings import SETTINGS
from tests.platform.test_task_faults import Reactor

STEP_S = 0.05
ORDER = b'{"service":"caja","targetVersion":"v2","duration":"8s"}'
ORDERED_AT_S = 3.0
# Time in which a node has caught up, read once more and written again.
SETTLED_S = 25.0


class World:
    """Nodes of one fleet, the store and the operator.

    Attributes:
        daemons: Running daemons by name.
        cut: Names of nodes that hear of no other node.
        versions: Highest version that each daemon had.
        verdicts: Verdict of each move that a daemon has known, by its name.
    """

    def __init__(self, folder, monkeypatch, *, era=1, names=("n1", "n2", "n3")):
        self.folder = folder
        self.reactor = Reactor()
        self.store = EraStore(self.reactor, era)
        self.daemons = {}
        self.cut = set()
        self.versions = collections.Counter()
        self.verdicts = {}
        self.starting = ""
        monkeypatch.setattr(gossip_node, "ConnectionPool", self._new_pool)
        self.store.write("keyed.op", "config", json.dumps(CONFIG).encode())
        for name in names:
            self.start(name, is_first=True)

    def _new_pool(self, clock, **_):
        return EraPool(self.store, self.starting)

    def start(self, name, *, is_first=False):
        """Starts a node; one that ran before has forgotten everything."""
        settings = {**SETTINGS, "nodeId": name, "bootstrap": is_first}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.starting = name
        daemon = Daemon(
            parse_machine_settings(path.read_text()).ok, path, self.reactor
        )
        daemon.rng.seed(name)
        self.daemons[name] = daemon
        self.versions[name] = 0
        self.verdicts[name] = {}
        daemon.start()

    def kill(self, name):
        """Ends a node without a word."""
        daemon = self.daemons.pop(name)
        daemon.supervisor.stop()
        daemon.node.gossip.stopped = True

    def pass_time(self, seconds):
        """Runs all nodes; checks after each step what must always hold."""
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)
            self._exchange_facts()
            self.check()

    def _exchange_facts(self):
        linked = [d for n, d in self.daemons.items() if n not in self.cut]
        for source in linked:
            for other in linked:
                for fact in tuple(source.node.facts.facts.values()):
                    other.node.gossip._receive(fact, None)

    def check(self):
        """Checks that one node acts at most, and that nothing goes back."""
        holders = [n for n, d in self.daemons.items() if d.lease.holds_lease()]
        assert len(holders) <= 1, holders
        for name, daemon in self.daemons.items():
            assert daemon.node.version >= self.versions[name]
            self.versions[name] = daemon.node.version
            for move in daemon.node.state.moves:
                verdict = self.verdicts[name].get(move.id)
                assert verdict in (None, move.phase), (name, move)
                if move.phase not in OPEN_PHASES:
                    self.verdicts[name][move.id] = move.phase

    def order(self, value=ORDER):
        """Lets the operator order a move."""
        self.store.write("keyed.op", "rollout/caja", value)

    def go_back(self, seconds, *, rewritten_after=1.0):
        """Lets the store go back; the operator writes again what it lost."""
        for key, value in self.store.go_back(seconds):
            self.reactor.callLater(
                rewritten_after, self.store.write, "keyed.op", key, value
            )

    def written_again(self, topic):
        """Counts the records of a topic of the present era, by key and value."""
        return collections.Counter(
            (key, value)
            for era, found, key, value in self.store.appends
            if era == self.store.era and found == topic
        )

    def check_settled(self, phase=Phase.TAKEN_BACK, *, writes_once=True):
        """Checks that store and nodes agree, and who has written what.

        Args:
            phase: The phase of the move.
            writes_once: Whether no record was written twice, which a node may
                have to do whose answer was lost.
        """
        self.store.lost = ""
        self.store.cut.clear()
        self.store.delays.clear()
        self.pass_time(SETTLED_S)
        for daemon in self.daemons.values():
            moves = daemon.node.state.moves
            assert [(m.to_version, m.phase) for m in moves] == [("v2", phase)]
            assert daemon.store.era.current == self.store.era
            assert self.store.newest("keyed.nodes", daemon.settings.node)
        assert (
            len({d.node.state.moves[0].id for d in self.daemons.values()}) == 1
        )
        status = json.loads(self.store.newest("keyed.status", "rollout/caja"))
        assert status["state"] == "rolled_back"
        for topic in ("keyed.status", "keyed.nodes"):
            again = self.written_again(topic)
            assert not writes_once or set(again.values()) <= {1}, again


@pytest.fixture
def world(tmp_path, monkeypatch):
    world = World(tmp_path, monkeypatch)
    world.pass_time(ORDERED_AT_S)
    world.order()
    return world


# The verdict falls some 10 s after the order: what is under way at these moments
# are long polls, renewals, the start, the decision and the record of a move.
@pytest.mark.parametrize(
    "back_after_s", [0.05, 0.5, 2.0, 5.0, 8.1, 9.7, 9.9, 12.0]
)
@pytest.mark.parametrize("lost", ["", "append", "join"])
def test_move_has_one_verdict_whenever_the_store_goes_back(
    world, back_after_s, lost
):
    world.pass_time(back_after_s)
    world.store.lost = lost
    world.go_back(3.0)
    world.pass_time(2.0)
    world.store.lost = ""
    world.pass_time(15.0)
    world.check_settled()


@pytest.mark.parametrize("name", ["n1", "n2", "n3"])
@pytest.mark.parametrize("back_after_s", [0.5, 5.0, 9.7])
@pytest.mark.parametrize("reaches_others", [True, False])
def test_node_without_the_store_holds_no_lease_of_an_earlier_era(
    world, name, back_after_s, reaches_others
):
    world.pass_time(back_after_s)
    world.store.cut.add(name)
    if not reaches_others:
        world.cut.add(name)
    world.go_back(3.0)
    world.pass_time(4.0)
    if reaches_others:
        assert world.daemons[name].store.era.current == world.store.era
    world.store.cut.clear()
    world.cut.clear()
    world.check_settled()


@pytest.mark.parametrize("apart_s", [0.0, 0.05, 0.5, 3.0])
@pytest.mark.parametrize("back_after_s", [0.5, 9.7, 12.0])
def test_eras_in_quick_succession_end_in_the_last_one(
    world, apart_s, back_after_s
):
    world.pass_time(back_after_s)
    world.go_back(3.0)
    world.pass_time(apart_s)
    world.go_back(2.0)
    world.check_settled()


# The answers of a node come late, as those of an era that has ended.
@pytest.mark.parametrize("late_s", [0.2, 0.8, 1.3])
@pytest.mark.parametrize("back_after_s", [0.5, 9.7, 12.0])
def test_late_answers_of_an_earlier_era_change_nothing(
    world, late_s, back_after_s
):
    world.pass_time(back_after_s)
    world.store.delays = {"n1": late_s, "n2": late_s}
    world.pass_time(0.1)
    world.go_back(3.0)
    world.pass_time(5.0)
    world.check_settled()


@pytest.mark.parametrize("restarted_after_s", [0.1, 4.0, 12.0])
@pytest.mark.parametrize("names", [["n1"], ["n1", "n2"], ["n1", "n2", "n3"]])
def test_node_that_restarts_in_a_later_era_knows_the_move(
    world, names, restarted_after_s
):
    world.pass_time(12.0)
    world.go_back(0.5)
    world.pass_time(restarted_after_s)
    for name in names:
        world.kill(name)
    for name in names:
        world.start(name)
    world.pass_time(1.0)
    assert not any(d.node.open_moves() for d in world.daemons.values())
    world.check_settled()


# It begins the move afresh; what the others know of it stands.
def test_move_begun_again_by_a_node_cut_off_from_the_others_ends(world):
    world.pass_time(12.0)
    world.kill("n3")
    world.cut.add("n3")
    world.store.cut = {"n1", "n2"}
    world.go_back(12.5, rewritten_after=0.1)
    world.pass_time(1.0)
    world.start("n3")
    world.pass_time(6.0)
    assert world.daemons["n3"].node.open_moves()[0].permille
    world.cut.clear()
    world.store.cut.clear()
    world.pass_time(3.0)
    assert not any(d.node.open_moves() for d in world.daemons.values())
    world.check_settled(writes_once=False)


@pytest.mark.parametrize("rewritten_after_s", [0.1, 3.0, 9.0])
def test_order_that_is_written_again_goes_on(world, rewritten_after_s):
    world.pass_time(2.0)
    world.go_back(2.5, rewritten_after=rewritten_after_s)
    world.pass_time(1.0)
    assert all(d.node.open_moves() for d in world.daemons.values())
    world.check_settled()


def test_order_that_is_not_written_again_counts_as_withdrawn(world):
    world.pass_time(2.0)
    world.store.go_back(2.5)
    world.pass_time(AWAIT_S - 0.5)
    assert all(d.node.state.moves for d in world.daemons.values())
    world.pass_time(1.5)
    assert not any(d.node.state.moves for d in world.daemons.values())


# The copy holds the order before: it must not be carried out meanwhile.
def test_order_of_the_copy_does_not_replace_a_later_one(world):
    world.pass_time(4.0)
    later = ORDER.replace(b"v2", b"v3")
    world.order(later)
    world.pass_time(1.0)
    world.go_back(3.0, rewritten_after=3.0)
    for _ in range(10):
        world.pass_time(1.0)
        for daemon in world.daemons.values():
            assert [m.to_version for m in daemon.node.state.moves] == ["v3"]


def test_order_of_a_later_era_opens_a_move_to_a_version_taken_back(world):
    world.pass_time(12.0)
    world.go_back(3.0)
    world.pass_time(AWAIT_S + 1.0)
    world.order()
    world.pass_time(1.0)
    assert all(d.node.open_moves() for d in world.daemons.values())
    world.check_settled()


@pytest.mark.parametrize("back_after_s", [0.0, 0.01, 0.02, 0.03, 0.7, 2.0])
@pytest.mark.parametrize("lost", ["", "append"])
def test_departure_outlives_the_copy_and_a_restart(world, back_after_s, lost):
    node = world.daemons["n1"].node
    send_heartbeat(node, 1)
    world.pass_time(1.0)
    send_heartbeat(node, 2, "draining")
    world.reactor.advance(back_after_s)
    world.store.lost = lost
    world.go_back(5.0)
    world.pass_time(1.0)
    world.store.lost = ""
    world.pass_time(5.0)
    entry = json.loads(world.store.newest("keyed.nodes", "n1"))
    assert entry["departed"]["id"] == "i-1"
    for name in tuple(world.daemons):
        world.kill(name)
    world.start("n1")
    world.pass_time(1.0)
    assert world.daemons["n1"].node.local_target.departed.id == "i-1"
    if not lost:
        assert set(world.written_again("keyed.nodes").values()) == {1}


# A node that starts knows it from the others only, and not since when the store
# lacks it.
@pytest.mark.parametrize(
    ("rewritten_after_s", "is_in_force"), [(4.0, True), (90.0, False)]
)
def test_evacuation_that_the_copy_lacks_outlives_the_restart_of_a_node(
    world, rewritten_after_s, is_in_force
):
    world.pass_time(ORDERED_AT_S)
    world.store.write("keyed.op", "evacuate/lima-9", b"{}")
    world.pass_time(1.5)
    world.go_back(2.5, rewritten_after=rewritten_after_s)
    world.pass_time(0.3)
    world.kill("n3")
    world.start("n3")
    for _ in range(8):
        world.pass_time(1.0)
        for daemon in world.daemons.values():
            assert daemon.node.facts.evacuated == {"lima-9"}
    world.pass_time(SETTLED_S)
    for daemon in world.daemons.values():
        assert bool(daemon.node.facts.evacuated) is is_in_force


def test_evacuation_ends_that_all_nodes_were_told_of_only(world):
    world.pass_time(ORDERED_AT_S)
    world.store.write("keyed.op", "evacuate/lima-9", b"{}")
    world.pass_time(1.5)
    world.go_back(2.5, rewritten_after=90.0)
    for name in tuple(world.daemons):
        world.pass_time(0.3)
        world.kill(name)
        world.start(name)
    world.pass_time(SETTLED_S)
    for daemon in world.daemons.values():
        assert not daemon.node.facts.evacuated


def test_store_without_eras_is_served_as_before(tmp_path, monkeypatch):
    world = World(tmp_path, monkeypatch, era=None)
    world.pass_time(ORDERED_AT_S)
    world.order()
    world.pass_time(12.0)
    for daemon in world.daemons.values():
        assert daemon.node.state.moves[0].id == "caja/v2/1"
        assert not daemon.node.facts.all_of(SourceEra)
        assert daemon.lease.acts_from == 0.0
    status = json.loads(world.store.newest("keyed.status", "rollout/caja"))
    assert status["requestOffset"] == 1
