"""A data centre has one reader of the source, and another in time."""

import pytest
from twisted.internet.task import Clock

from fulmarrudder.distribution.readers import (
    RETRY_DELAY_S,
    SLOW_RETRY_DELAY_S,
    ReaderDuty,
)
from fulmarrudder.distribution.topology import Topology

DUE_S = 2.0


class Scene:
    """The duties of the nodes of one data centre, by rank."""

    def __init__(self, nodes):
        self.clock = Clock()
        self.clock.advance(100.0)
        names = [f"n{index:03}" for index in range(nodes)]
        self.duties = [
            ReaderDuty(
                clock=self.clock,
                node=name,
                due_s=DUE_S,
                topology=lambda rank=rank: Topology(
                    local_gateways=tuple(names[:2]),
                    rank=rank,
                    local_nodes=nodes,
                ),
            )
            for rank, name in enumerate(names)
        ]

    def hear(self):
        for duty in self.duties:
            duty.hear()

    def readers(self):
        return [i for i, duty in enumerate(self.duties) if duty.reads()]


@pytest.mark.parametrize("nodes", [2, 4, 22, 75])
def test_one_node_reads_while_the_others_hear_of_it(nodes):
    scene = Scene(nodes)
    for _ in range(20):
        scene.hear()
        # The reader's longest wait.
        scene.clock.advance(0.5 * DUE_S)
        assert scene.readers() == [0]


@pytest.mark.parametrize("nodes", [4, 22, 75])
def test_second_gateway_reads_before_the_others_when_the_first_is_silent(
    nodes,
):
    scene = Scene(nodes)
    scene.hear()
    scene.clock.advance(0.6 * DUE_S)
    assert scene.readers() == [0, 1]


@pytest.mark.parametrize("nodes", [4, 22, 75])
def test_all_nodes_read_in_time_when_none_is_heard(nodes):
    scene = Scene(nodes)
    scene.hear()
    scene.clock.advance(0.75 * DUE_S)
    assert len(scene.readers()) == nodes


def test_node_that_knows_no_gateway_reads():
    duty = ReaderDuty(clock=Clock(), node="n1", due_s=DUE_S, topology=Topology)
    duty.hear()
    assert duty.reads()


# Guards against all nodes of a fleet that try each second while the store is away.
def test_few_nodes_try_often():
    delays = [duty.retry_delay_s() for duty in Scene(40).duties]
    assert delays.count(RETRY_DELAY_S) == 4
    assert delays.count(SLOW_RETRY_DELAY_S) == 36
