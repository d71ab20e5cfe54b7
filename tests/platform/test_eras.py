"""Nodes go on while the store comes back from an older copy, whenever it does."""

import collections
import json

import pytest

from fulmarrudder.node import gossip_node
from fulmarrudder.platform.daemon import Daemon
from fulmarrudder.platform.settings import parse_machine_settings
from fulmarrudder.state_machine import OPEN_PHASES, Phase
from tests.platform.era_store import EraPool, EraStore
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
        verdicts: Verdict of each move that a daemon knew.
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
        self.daemons[name] = daemon
        self.versions[name] = 0
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
                verdict = self.verdicts.get((name, move.id))
                assert verdict in (None, move.phase), (name, move)
                if move.phase not in OPEN_PHASES:
                    self.verdicts[name, move.id] = move.phase

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

    def check_settled(self, phase=Phase.TAKEN_BACK):
        """Checks that store and nodes agree, and who has written what."""
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
            assert all(n == 1 for n in again.values()), again


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
