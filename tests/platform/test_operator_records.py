"""A node knows how earlier moves ended before it controls any."""

from twisted.internet.defer import ensureDeferred

from fulmarrudder.model import Condition, Evacuation, Presence
from fulmarrudder.platform.operator_records import OperatorRecords
from fulmarrudder.platform.rollout import encode_status
from fulmarrudder.platform.store import KeyedRecord, RecordBatch
from fulmarrudder.state_machine import Phase
from tests.call.fakes import result_of
from tests.platform.test_http import new_node
from tests.platform.test_task_faults import new_daemon

ROLLOUT = b'{"service":"caja","targetVersion":"v2","duration":"20s"}'


class FakeStore:
    """A store that holds the recorded status of the move."""

    def __init__(self, *records, next_offset=1, is_latest=False):
        self.batch = RecordBatch(
            records=records, next_offset=next_offset, is_latest=is_latest
        )

    async def read_latest(self, topic):
        return self.batch

    async def read(self, topic, start, wait_s):
        return RecordBatch(records=(), next_offset=start)


def node_with_rollout(*statuses):
    node = new_node()
    node.facts.merge(
        Presence(
            node="n1",
            incarnation=1,
            sequence=1,
            data_centre="lima-1",
            call_address="a:1",
            mesh_address="a:2",
            service="caja",
            target_version="v2",
            condition=Condition.READY,
        ),
        0.0,
    )
    store = FakeStore(
        *(KeyedRecord(key="rollout/caja", value=status) for status in statuses)
    )
    records = OperatorRecords(store, node.clock)
    records.node = node
    records.apply_record(KeyedRecord(key="rollout/caja", value=ROLLOUT))
    return node, records


# A node that started while the store was slow began a completed move again: its
# old targets were gone, and callers got 503 for 10 s. Seen in pozarnik-mesh
# trouble-2, seed 13102206.
def test_ended_move_is_not_started_again_by_a_new_node():
    ended = encode_status(Phase.COMPLETED, "v2", -1)
    node, records = node_with_rollout(ended)
    assert not node.is_controller_candidate()
    result_of(ensureDeferred(records.load_move_results()))
    assert not node.is_controller_candidate()


def test_open_move_is_controlled_once_earlier_results_are_known():
    node, records = node_with_rollout()
    assert not node.is_controller_candidate()
    result_of(ensureDeferred(records.load_move_results()))
    assert node.is_controller_candidate()


# The record was deleted before this node, which its neighbours had told of it, read
# anything: its data centre got nothing for the rest of the day.
def test_deletion_of_an_evacuation_that_neighbours_told_of_is_noticed(tmp_path):
    daemon = new_daemon(tmp_path)
    daemon.node.gossip.broadcast(
        Evacuation(data_centre="lima-2", offset=7, in_force=True)
    )
    assert daemon.node.facts.evacuated == {"lima-2"}
    daemon.tail.store = FakeStore(next_offset=9, is_latest=True)
    daemon.tail.on_answer = lambda start, batch: None
    result_of(ensureDeferred(daemon.tail.catch_up()))
    assert not daemon.node.facts.evacuated
