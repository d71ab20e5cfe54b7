"""Records and facts reach every node below the relays, despite failures."""

import functools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarrudder.model import Brake, Condition, Presence
from tests.conftest import claim, publish, replace
from tests.distribution.fakes import FakeNetwork

RELAY_0 = "relay/lima-1/0"
RELAY_1 = "relay/lima-1/1"


def relay_claim(duty, node, data_centre="lima-1", expected=0):
    return replace(
        claim(duty=duty, holder=f"{node}/1", expected=expected),
        mesh_address=node,
        data_centre=data_centre,
    )


def tree(count=20, seed=1):
    """Returns a network whose nodes have attached below two relays."""
    net = FakeNetwork(seed)
    net.append(relay_claim(RELAY_0, "n0"))
    net.append(relay_claim(RELAY_1, "n1"))
    for index in range(count):
        net.add(f"n{index}")
    for name in net.nodes:
        net.apply_log(name)
    net.run(10.0)
    return net


def two_data_centres():
    """Returns two data centres with a relay and another node each."""
    net = FakeNetwork()
    net.append(relay_claim(RELAY_0, "a0"))
    net.append(relay_claim("relay/lima-2/0", "b0", "lima-2"))
    for name, data_centre in (
        ("a0", "lima-1"),
        ("a1", "lima-1"),
        ("b0", "lima-2"),
        ("b1", "lima-2"),
    ):
        net.add(name, data_centre)
        net.apply_log(name)
    return net


def offsets(net):
    return {m.state_store.state.offset for m in net.nodes.values()}


def presence(node, sequence=1, data_centre="lima-1", service="caja"):
    return Presence(
        node=node,
        incarnation=1,
        sequence=sequence,
        data_centre=data_centre,
        call_address="",
        mesh_address=node,
        service=service,
        target_version="1",
        condition=Condition.READY,
        slots=1,
    )


def test_tree_has_bounded_degree_and_reaches_every_node():
    net = tree(40)
    for node in net.nodes.values():
        assert len(node.mesh.children.by_link) <= 3
        assert node.mesh.position().rooted
    net.append(publish())
    net.apply_log("n0", "n1")
    net.run(1.0)
    assert offsets(net) == {2}


def test_update_reaches_all_nodes_although_a_relay_is_lost():
    net = tree(20)
    net.append(publish())
    net.apply_log("n0")
    net.kill("n0")
    net.apply_log("n1")
    net.run(15.0)
    assert offsets(net) == {2}
    assert all(m.mesh.position().rooted for m in net.nodes.values())


def test_returning_node_receives_missed_records():
    net = tree(8)
    net.kill("n7")
    for expected in range(3):
        net.append(publish(expected=expected))
    net.apply_log("n0", "n1")
    net.run(1.0)
    late = net.add("n7")
    late.state_store.apply_records(net.log[:2])
    net.run(5.0)
    assert late.state_store.state.offset == 4
    assert late.versions == sorted(late.versions)


def test_new_node_starts_from_its_parents_snapshot():
    net = tree(4)
    for node in net.nodes.values():
        node.state_store.recent_records.clear()
    new = net.add("new")
    new.mesh.seeds = ("n0",)
    net.run(5.0)
    assert new.state_store.state == net.nodes["n0"].state_store.state
    assert new.state_store.synced


def test_parent_with_an_older_state_does_not_set_a_child_back():
    net = tree(4)
    ahead = net.nodes["n3"]
    net.append(publish())
    ahead.state_store.apply_records(net.log)
    net.run(2.0)
    assert ahead.state_store.state.version == 1
    net.apply_log("n0", "n1")
    net.run(1.0)
    assert ahead.versions == sorted(ahead.versions)


def test_presence_reaches_only_interested_nodes():
    net = tree(12)
    subscriber = net.nodes["n5"]
    subscriber.mesh.set_interest(frozenset({"caja"}))
    net.run(1.0)
    publisher = net.nodes["n9"]
    publisher.mesh.fact_router.broadcast(presence("n9"))
    net.run(2.0)
    assert [p.node for p in subscriber.facts.endpoints_of("caja")] == ["n9"]
    forwarding_nodes = {
        *publisher.mesh.uplink.path,
        *subscriber.mesh.uplink.path,
    }
    forwarding_nodes |= {"n5", "n9", "n0", "n1"}
    others = [m for m in net.nodes.values() if m.name not in forwarding_nodes]
    assert others
    for other in others:
        assert other.facts.endpoints_of("caja") == ()


def test_later_interest_receives_earlier_presences():
    net = tree(12)
    net.nodes["n9"].mesh.fact_router.broadcast(presence("n9"))
    net.run(1.0)
    late = net.nodes["n5"]
    late.mesh.set_interest(frozenset({"caja"}))
    net.run(2.0)
    assert [p.node for p in late.facts.endpoints_of("caja")] == ["n9"]


def test_only_the_dead_node_is_declared_lost():
    net = tree(12)
    for node in net.nodes.values():
        node.mesh.set_interest(frozenset({"caja"}))
    net.run(1.0)
    for name in ("n8", "n9"):
        net.nodes[name].mesh.fact_router.broadcast(presence(name))
    net.run(1.0)
    net.kill("n8")
    net.run(8.0)
    for node in net.nodes.values():
        found = [p.node for p in node.facts.endpoints_of("caja")]
        assert found == ["n9"]


def test_lost_relay_is_declared_lost_by_its_successor():
    """Guards against endpoints of a crashed relay that are never removed.

    The only relay of a data centre has no parent that would detect its crash.
    """
    net = FakeNetwork()
    net.append(relay_claim(RELAY_0, "n0"))
    for name in ("n0", "n1", "n2"):
        net.add(name)
        net.apply_log(name)
    net.run(3.0)
    for name in ("n0", "n1", "n2"):
        mesh = net.nodes[name].mesh
        mesh.set_interest(frozenset({"caja"}))
        mesh.fact_router.broadcast(presence(name))
        mesh.on_position_change = functools.partial(
            mesh.fact_router.broadcast, presence(name, 2)
        )
    net.run(1.0)
    net.kill("n0")
    net.append(relay_claim(RELAY_0, "n1", expected=1))
    net.apply_log("n1", "n2")
    for _ in range(12):
        net.run(1.0)
        net.nodes["n1"].mesh.fact_router.expire()
    for name in ("n1", "n2"):
        endpoints = net.nodes[name].facts.endpoints_of("caja")
        assert [found.node for found in endpoints] == ["n1", "n2"]


def test_brake_crosses_data_centres_without_the_log():
    net = two_data_centres()
    net.run(5.0)
    brake = Brake(
        move="m", service="caja", target_version="2", route="", reason="r"
    )
    net.partition("lima-1", "lima-2")
    net.nodes["a1"].mesh.fact_router.broadcast(brake)
    net.run(1.0)
    assert net.nodes["a0"].facts.brakes == (brake,)
    assert net.nodes["b1"].facts.brakes == ()
    net.partitions.clear()
    net.run(10.0)
    assert net.nodes["b1"].facts.brakes == (brake,)


@pytest.mark.parametrize("seed", range(5))
def test_all_nodes_reattach_after_a_reconnect_storm(seed):
    net = tree(30, seed)
    for index in range(2, 30, 4):
        net.kill(f"n{index}")
    net.append(publish())
    net.apply_log("n0", "n1")
    for index in range(2, 30, 4):
        late = net.add(f"n{index}")
        late.state_store.apply_records(net.log[:2])
    net.run(20.0)
    assert offsets(net) == {2}
    assert all(m.mesh.position().rooted for m in net.nodes.values())


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["publish", "apply_log", "kill", "add", "run"]),
        st.integers(2, 9),
        st.integers(1, 40),
    ),
    max_size=20,
)


@settings(derandomize=True, max_examples=40, deadline=None, database=None)
@given(STEPS)
def test_versions_never_decrease_and_all_nodes_converge(steps):
    """Tries random sequences of updates, failures and restarts."""
    net = tree(10)
    seen = []
    for kind, index, ticks in steps:
        name = f"n{index}"
        if kind == "publish":
            net.append(publish(expected=len(net.log) - 2))
        elif kind == "apply_log":
            net.apply_log(f"n{index % 2}")
        elif kind == "kill" and name in net.nodes:
            seen.append(net.nodes[name].versions)
            net.kill(name)
        elif kind == "add" and name not in net.nodes:
            late = net.add(name)
            late.state_store.apply_records(net.log[:2])
        net.run(ticks * 0.01)
    net.apply_log("n0", "n1")
    net.run(20.0)
    seen += [m.versions for m in net.nodes.values()]
    assert all(versions == sorted(versions) for versions in seen)
    states = {m.state_store.state.digest for m in net.nodes.values()}
    assert len(states) == 1


def test_node_returns_to_its_own_data_centres_tree_once_it_has_a_relay():
    """Guards against nodes that stay below another data centre's relay.

    A partition between the two data centres would then cut them off from
    configuration.
    """
    net = FakeNetwork()
    net.append(relay_claim("relay/lima-2/0", "b0", "lima-2"))
    net.add("b0", "lima-2")
    net.apply_log("b0")
    for name in ("a0", "a1"):
        net.add(name, "lima-1").mesh.seeds = ("b0",)
    net.run(2.0)
    mesh = net.nodes["a1"].mesh
    mesh.on_position_change = lambda: mesh.fact_router.broadcast(
        presence("a1", 2)
    )
    assert mesh.position().path == ("b0",)
    net.append(relay_claim(RELAY_0, "a0"))
    net.apply_log("a0", "b0")
    net.run(12.0)
    assert net.nodes["a1"].mesh.position().path == ("a0",)
    endpoints = net.nodes["a0"].facts.endpoints_of("caja")
    assert [found.node for found in endpoints] == ["a1"]


def test_relay_reports_children_of_other_data_centres_to_new_peers():
    net = FakeNetwork()
    net.append(relay_claim("relay/lima-2/0", "b0", "lima-2"))
    for name, data_centre in (("b0", "lima-2"), ("c0", "lima-3")):
        net.add(name, data_centre)
        net.apply_log(name)
    net.add("a1", "lima-1").mesh.seeds = ("b0",)
    net.run(2.0)
    net.nodes["a1"].mesh.fact_router.broadcast(presence("a1"))
    net.run(1.0)
    net.append(relay_claim("relay/lima-3/0", "c0", "lima-3"))
    net.apply_log("b0", "c0")
    net.run(8.0)
    endpoints = net.nodes["c0"].facts.endpoints_of("caja")
    assert [found.node for found in endpoints] == ["a1"]
    net.kill("a1")
    net.run(8.0)
    assert net.nodes["c0"].facts.endpoints_of("caja") == ()


def test_partitioned_data_centre_keeps_its_version_and_catches_up():
    net = two_data_centres()
    net.append(publish())
    net.apply_log("a0", "b0")
    net.run(5.0)
    net.partition("lima-1", "lima-2")
    for expected in (1, 2):
        net.append(publish(expected=expected))
    net.apply_log("a0")
    net.run(10.0)
    assert net.nodes["a1"].state_store.state.version == 3
    assert net.nodes["b1"].state_store.state.version == 1
    net.partitions.clear()
    net.run(10.0)
    assert net.nodes["b1"].state_store.state.version == 3
    for node in net.nodes.values():
        assert node.versions == sorted(node.versions)
