"""A version whose move did not complete serves no requests after the next order."""

import dataclasses
import random

import pytest
from twisted.internet.defer import ensureDeferred

from fulmarrudder.call.version_split import eligible_versions
from fulmarrudder.distribution import Document
from fulmarrudder.model import Arrangement, MoveProgress, Service
from fulmarrudder.move import MoveRequest
from fulmarrudder.platform.operator_records import OperatorRecords
from fulmarrudder.platform.store import RecordBatch
from fulmarrudder.state_machine import Phase, move_by_id
from tests.call.fakes import result_of
from tests.node.fakes import new_node

SERVICE = "caja"
SHARES = {Phase.RUNNING: 60, Phase.COMPLETING: 1000, Phase.COMPLETED: 1000}


class FakeStore:
    """The latest status of each service."""

    def __init__(self):
        self.newest = {}
        self.end = 0

    async def read_latest(self, topic):
        records = tuple(self.newest.values())
        return RecordBatch(records=records, next_offset=self.end)

    async def append(self, topic, record, *, expected_end=None):
        assert expected_end == self.end
        self.end += 1
        self.newest[record.key] = record


class Scene:
    """A node and the store; orders are numbered by their offsets."""

    def __init__(self):
        self.store = FakeStore()
        self.orders = {}
        self.restart()

    def restart(self):
        """Starts the node; it reads the latest order and the latest status."""
        self.node = new_node()
        self.records = OperatorRecords(self.store, self.node.clock)
        self.records.node = self.node
        self.node.apply_arrangement(
            Document(version=1, text=""),
            Arrangement(
                services=(
                    Service(name=SERVICE, target_versions=(), initial=""),
                )
            ),
        )
        for request in self.orders.values():
            self.node.add_move_request(request)
        result_of(ensureDeferred(self.records.load_move_results()))

    def order(self, version):
        offset = self.node.move_requests.requests.get(SERVICE)
        offset = offset.offset + 1 if offset else 1
        request = MoveRequest(
            id=f"{SERVICE}/{version}/{offset}",
            service=SERVICE,
            to_version=version,
            deadline=2e9,
            offset=offset,
        )
        self.orders[SERVICE] = request
        self.node.add_move_request(request)
        return request

    def report(self, request, phase, *, is_recorded=True):
        """Broadcasts the progress of a move, and records its status."""
        if is_recorded:
            move = move_by_id(self.node.state, request.id)
            recorded = {
                Phase.COMPLETING: Phase.RUNNING,
                Phase.TAKING_BACK: Phase.RUNNING,
            }.get(phase, phase)
            move = dataclasses.replace(move, phase=recorded)
            result_of(ensureDeferred(self.records.record_status(move)))
        self.node.gossip.broadcast(
            MoveProgress(
                move=request.id,
                service=SERVICE,
                to_version=request.to_version,
                permille=SHARES.get(phase, 0),
                phase=phase.value,
                deadline=2e9,
                term=1,
                step=request.offset * 10 + len(phase.value),
            )
        )

    def allows(self, version):
        """Returns whether any request may be sent to a version."""
        config = self.node.entry.active_config
        rng = random.Random(1)
        for _ in range(200):
            filters = eligible_versions(
                config.state,
                SERVICE,
                "r",
                self.node.facts.brakes,
                rng,
                config.withdrawn.get(SERVICE, frozenset()),
            )
            if any(found.allows(version) for found in filters):
                return True
        return False


@pytest.fixture
def scene():
    return Scene()


# A version that had been taken back got a large part of all requests as soon as the
# next move of the service was ordered.
@pytest.mark.parametrize("phase", [Phase.TAKING_BACK, Phase.TAKEN_BACK])
@pytest.mark.parametrize(
    "next_phase", [None, Phase.RUNNING, Phase.COMPLETED, Phase.TAKEN_BACK]
)
def test_version_that_was_taken_back_gets_nothing_after_the_next_order(
    scene, phase, next_phase
):
    bad = scene.order("v2")
    scene.report(bad, phase)
    assert not scene.allows("v2")
    following = scene.order("v3")
    if next_phase is not None:
        scene.report(following, next_phase)
    assert scene.allows("v1")
    assert not scene.allows("v2")
    assert scene.allows("v3") == (next_phase in SHARES)


# The same with a restart of all nodes: the store keeps the latest status alone.
@pytest.mark.parametrize("later", [("v3",), ("v3", "v4"), ("v3", "v4", "v5")])
def test_version_that_was_taken_back_gets_nothing_after_a_restart(scene, later):
    scene.report(scene.order("v2"), Phase.TAKEN_BACK)
    for version in later:
        scene.restart()
        assert not scene.allows("v2")
        following = scene.order(version)
        scene.restart()
        assert not scene.allows("v2")
        scene.report(following, Phase.RUNNING)
    scene.restart()
    assert scene.allows("v1")
    for version in ("v2", *later):
        assert not scene.allows(version)


# A move that is replaced before its verdict has shown nothing of its version.
@pytest.mark.parametrize("is_restarted", [False, True])
@pytest.mark.parametrize("phase", [None, Phase.RUNNING])
def test_version_of_a_replaced_move_gets_nothing(scene, phase, is_restarted):
    replaced = scene.order("v2")
    if phase is not None:
        scene.report(replaced, phase)
    following = scene.order("v3")
    scene.report(following, Phase.RUNNING)
    if is_restarted:
        scene.restart()
    assert scene.allows("v1")
    assert not scene.allows("v2")


def test_version_that_was_taken_back_gets_nothing_once_its_order_is_deleted(
    scene,
):
    scene.report(scene.order("v2"), Phase.TAKEN_BACK)
    scene.node.remove_move_request(SERVICE)
    assert scene.allows("v1")
    assert not scene.allows("v2")


# Guards the versions that serve the callers.
@pytest.mark.parametrize(
    ("phase", "is_restarted"),
    [
        (Phase.COMPLETING, False),
        (Phase.COMPLETED, False),
        (Phase.COMPLETED, True),
    ],
)
def test_version_that_was_completed_is_the_old_one_of_the_next_move(
    scene, phase, is_restarted
):
    scene.report(scene.order("v2"), phase)
    following = scene.order("v3")
    if is_restarted:
        scene.restart()
    assert scene.allows("v2")
    scene.report(following, Phase.TAKEN_BACK)
    assert scene.allows("v2")
    assert not scene.allows("v3")


@pytest.mark.parametrize("is_restarted", [False, True])
def test_version_that_completes_in_a_second_move_is_used_again(
    scene, is_restarted
):
    scene.report(scene.order("v2"), Phase.TAKEN_BACK)
    again = scene.order("v2")
    scene.report(again, Phase.RUNNING)
    assert scene.allows("v2")
    scene.report(again, Phase.COMPLETED)
    if is_restarted:
        scene.restart()
    scene.order("v3")
    assert scene.allows("v2")


# The verdict of a replaced move may arrive after the next order.
def test_version_whose_verdict_arrives_late_is_used(scene):
    done = scene.order("v2")
    scene.report(done, Phase.RUNNING)
    scene.order("v3")
    assert not scene.allows("v2")
    scene.report(done, Phase.COMPLETED, is_recorded=False)
    assert scene.allows("v2")


# Guards the log against a line that tells of no version.
def test_completed_move_withdraws_nothing(scene):
    before = scene.node.entry.active_config.withdrawn
    scene.report(scene.order("v2"), Phase.COMPLETED)
    assert scene.node.entry.active_config.withdrawn == before == {}
