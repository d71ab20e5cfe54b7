"""Configurations are taken in as a whole or not at all, a slice at a time."""

import copy
import json

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from fulmarrudder.distribution.entries import change_between
from fulmarrudder.node.gossip_node import VersionSource
from fulmarrudder.platform import loader as loader_module
from fulmarrudder.platform.document import join_config
from fulmarrudder.platform.loader import ConfigLoader, WholeConfig
from tests.platform.test_config import CONFIG

ROUTE = CONFIG["virtualHosts"][0]["paths"][0]


def document(version, routes, **fields):
    config = copy.deepcopy(CONFIG)
    config["version"] = f"{version:08x}"
    config["virtualHosts"][0]["paths"] = [
        {**ROUTE, "name": f"r{index}", "pathPrefix": f"/p{index}/", **fields}
        for index in range(routes)
    ]
    return json.dumps(config).encode()


class Node:
    """A loader, and what it has loaded.

    Attributes:
        versions: Versions in the order in which they became active.
        changes: Changes that lead from each to the next.
    """

    def __init__(self):
        self.clock = Clock()
        self.versions, self.changes, self.faults = [], [], []
        self.loader = ConfigLoader(
            self.clock, on_loaded=self._loaded, on_fault=self.faults.append
        )

    def _loaded(self, config, before, source):
        self.versions.append(config.version)
        self.changes.append(
            change_between(
                before.entries,
                config.entries,
                base=before.version,
                version=config.version,
            )
        )

    def read(self, data, source=VersionSource.STORE):
        self.loader.offer(WholeConfig(data=data, source=source))

    def routes(self):
        return {
            (route.prefix, route.rank)
            for route in self.loader.config.arrangement.routes
        }


@pytest.fixture
def node():
    return Node()


def test_large_document_leaves_the_loop_turns_and_is_not_active_in_part(
    node, monkeypatch
):
    waiting = []
    monkeypatch.setattr(
        loader_module,
        "deferLater",
        lambda clock, delay_s: waiting.append(Deferred()) or waiting[-1],
    )
    node.read(document(3, 900))
    turns = 0
    while not node.versions:
        assert node.loader.config.arrangement.routes == ()
        waiting.pop().callback(None)
        turns += 1
    # Services and limits are entries as well.
    assert turns == 900 // loader_module.SLICE_ENTRIES + 1
    assert len(node.routes()) == 900


def test_versions_that_were_overtaken_are_not_parsed(node, monkeypatch):
    parsed = []
    split = loader_module.split_config
    monkeypatch.setattr(
        loader_module,
        "split_config",
        lambda data: parsed.append(data) or split(data),
    )
    for version in range(3, 9):
        node.read(document(version, 400, priority=version))
    node.clock.pump([0] * 50)
    assert node.versions == [3, 8]
    assert len(parsed) == 2


def test_older_document_of_a_neighbour_changes_nothing(node):
    node.read(document(3, 2))
    node.read(document(2, 5), VersionSource.PEER)
    assert node.versions == [3]


@pytest.mark.parametrize("routes", [3, 900])
def test_invalid_route_refuses_the_whole_version(node, routes):
    node.read(document(3, 2))
    broken = json.loads(document(4, routes))
    broken["virtualHosts"][0]["paths"][-1]["timeout"] = "soon"
    node.read(json.dumps(broken).encode())
    node.clock.pump([0] * 50)
    assert node.versions == [3]
    node.read(document(5, 4))
    assert node.versions == [3, 5]


def test_unchanged_routes_are_not_parsed_again(node, monkeypatch):
    node.read(document(3, 90))
    parsed = []
    parse = loader_module.parse_entries
    monkeypatch.setattr(
        loader_module,
        "parse_entries",
        lambda texts: parsed.extend(texts) or parse(texts),
    )
    node.read(document(4, 91))
    assert len(parsed) == 1
    assert len(node.routes()) == 91


def test_change_leads_to_the_same_arrangement_as_the_document(node):
    reader = Node()
    for version, data in ((3, document(3, 20)), (4, document(4, 18))):
        reader.read(data)
        assert reader.versions[-1] == version
    node.read(document(3, 20))
    node.loader.offer(reader.changes[-1])
    assert node.versions == [3, 4]
    assert node.routes() == reader.routes()
    held = node.loader.config
    whole = join_config(held.version, held.entries)
    another = Node()
    another.read(whole.encode())
    assert another.loader.config.entries == held.entries


def test_change_without_its_base_changes_nothing(node):
    reader = Node()
    for version in (3, 4, 5):
        reader.read(document(version, version))
    node.read(document(3, 3))
    node.loader.offer(reader.changes[2])
    assert node.versions == [3]
    node.loader.offer(reader.changes[1])
    node.loader.offer(reader.changes[2])
    assert node.versions == [3, 4, 5]


# A service that is still used must not vanish with a change.
def test_change_that_removes_a_used_service_is_refused(node):
    node.read(document(3, 2))
    broken = json.loads(document(4, 2))
    broken["services"] = broken["services"][:1]
    node.read(json.dumps(broken).encode())
    assert node.versions == [3]


def test_fault_of_the_loader_is_reported_and_the_next_version_loaded(
    node, monkeypatch
):
    monkeypatch.setattr(loader_module, "split_config", lambda data: 1 // 0)
    node.read(document(3, 2))
    assert node.faults[0].check(ZeroDivisionError)
    monkeypatch.undo()
    node.read(document(4, 2))
    assert node.versions == [4]
