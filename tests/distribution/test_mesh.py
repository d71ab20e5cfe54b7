"""Records reach every node below the relays, whatever is lost."""

import functools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarrudder.model import Brake, Condition, Presence
from tests.conftest import claim, publish, replace
from tests.distribution.fakes import Net

RELAY_0 = "relay/lima-1/0"
RELAY_1 = "relay/lima-1/1"


def relay_claim(duty, node, place="lima-1", expected=0):
    return replace(
        claim(duty=duty, holder=f"{node}/1", expected=expected),
        mesh_address=node,
        data_centre=place,
    )


def tree(count=20, seed=1):
    """Returns a net with two relays and nodes that knew them once."""
    net = Net(seed)
    net.append(relay_claim(RELAY_0, "n0"))
    net.append(relay_claim(RELAY_1, "n1"))
    for index in range(count):
        net.add(f"n{index}")
    for name in net.members:
        net.feed(name)
    net.run(10.0)
    return net


def two_places():
    """Returns a net of two data centres with a relay and a node each."""
    net = Net()
    net.append(relay_claim(RELAY_0, "a0"))
    net.append(relay_claim("relay/lima-2/0", "b0", "lima-2"))
    for name, place in (
        ("a0", "lima-1"),
        ("a1", "lima-1"),
        ("b0", "lima-2"),
        ("b1", "lima-2"),
    ):
        net.add(name, place)
        net.feed(name)
    return net


def offsets(net):
    return {m.state_store.state.offset for m in net.members.values()}


def presence(node, sequence=1, place="lima-1", service="caja"):
    return Presence(
        node=node,
        incarnation=1,
        sequence=sequence,
        data_centre=place,
        call_address="",
        mesh_address=node,
        service=service,
        target_version="1",
        condition=Condition.READY,
        slots=1,
    )


def test_tree_has_bounded_degree_and_reaches_every_node():
    net = tree(40)
    for member in net.members.values():
        assert len(member.mesh.children.by_link) <= 3
        assert member.mesh.position().rooted
    net.append(publish())
    net.feed("n0", "n1")
    net.run(1.0)
    assert offsets(net) == {2}


def test_relay_lost_in_the_middle_of_an_update():
    net = tree(20)
    net.append(publish())
    net.feed("n0")
    net.kill("n0")
    net.feed("n1")
    net.run(15.0)
    assert offsets(net) == {2}
    assert all(m.mesh.position().rooted for m in net.members.values())


def test_node_that_was_away_gets_only_what_it_missed():
    net = tree(8)
    net.kill("n7")
    for expected in range(3):
        net.append(publish(expected=expected))
    net.feed("n0", "n1")
    net.run(1.0)
    late = net.add("n7")
    late.state_store.apply_records(net.log[:2])
    net.run(5.0)
    assert late.state_store.state.offset == 4
    assert late.versions == sorted(late.versions)


def test_node_that_holds_nothing_starts_from_a_parents_whole_state():
    net = tree(4)
    for member in net.members.values():
        member.state_store.recent_records.clear()
    new = net.add("new")
    new.mesh.seeds = ("n0",)
    net.run(5.0)
    assert new.state_store.state == net.members["n0"].state_store.state
    assert new.state_store.synced


def test_parent_that_holds_less_takes_nothing_from_a_child():
    net = tree(4)
    ahead = net.members["n3"]
    net.append(publish())
    ahead.state_store.apply_records(net.log)
    net.run(2.0)
    assert ahead.state_store.state.version == 1
    net.feed("n0", "n1")
    net.run(1.0)
    assert ahead.versions == sorted(ahead.versions)


def test_presence_reaches_those_who_want_it_and_no_others():
    net = tree(12)
    wants = net.members["n5"]
    wants.mesh.set_interest(frozenset({"caja"}))
    net.run(1.0)
    teller = net.members["n9"]
    teller.mesh.fact_router.broadcast(presence("n9"))
    net.run(2.0)
    assert [p.node for p in wants.facts.endpoints_of("caja")] == ["n9"]
    on_the_way = {*teller.mesh.uplink.path, *wants.mesh.uplink.path}
    on_the_way |= {"n5", "n9", "n0", "n1"}
    others = [m for m in net.members.values() if m.name not in on_the_way]
    assert others
    for other in others:
        assert other.facts.endpoints_of("caja") == ()


def test_interest_that_comes_later_brings_what_was_said_before():
    net = tree(12)
    net.members["n9"].mesh.fact_router.broadcast(presence("n9"))
    net.run(1.0)
    late = net.members["n5"]
    late.mesh.set_interest(frozenset({"caja"}))
    net.run(2.0)
    assert [p.node for p in late.facts.endpoints_of("caja")] == ["n9"]


def test_dead_node_is_declared_lost_and_a_living_one_is_not():
    net = tree(12)
    for member in net.members.values():
        member.mesh.set_interest(frozenset({"caja"}))
    net.run(1.0)
    for name in ("n8", "n9"):
        net.members[name].mesh.fact_router.broadcast(presence(name))
    net.run(1.0)
    net.kill("n8")
    net.run(8.0)
    for member in net.members.values():
        found = [p.node for p in member.facts.endpoints_of("caja")]
        assert found == ["n9"]


def test_lost_relay_is_declared_lost_by_its_heir():
    """Found by a replay: the only relay of a data centre stayed for ever."""
    net = Net()
    net.append(relay_claim(RELAY_0, "n0"))
    for name in ("n0", "n1", "n2"):
        net.add(name)
        net.feed(name)
    net.run(3.0)
    for name in ("n0", "n1", "n2"):
        mesh = net.members[name].mesh
        mesh.set_interest(frozenset({"caja"}))
        mesh.fact_router.broadcast(presence(name))
        mesh.on_position_change = functools.partial(
            mesh.fact_router.broadcast, presence(name, 2)
        )
    net.run(1.0)
    net.kill("n0")
    net.append(relay_claim(RELAY_0, "n1", expected=1))
    net.feed("n1", "n2")
    for _ in range(12):
        net.run(1.0)
        net.members["n1"].mesh.fact_router.expire()
    for name in ("n1", "n2"):
        known = net.members[name].facts.endpoints_of("caja")
        assert [found.node for found in known] == ["n1", "n2"]


def test_brake_crosses_data_centres_without_the_log():
    net = two_places()
    net.run(5.0)
    brake = Brake(
        move="m", service="caja", target_version="2", route="", reason="r"
    )
    net.cut_off("lima-1", "lima-2")
    net.members["a1"].mesh.fact_router.broadcast(brake)
    net.run(1.0)
    assert net.members["a0"].facts.brakes == (brake,)
    assert net.members["b1"].facts.brakes == ()
    net.cut.clear()
    net.run(10.0)
    assert net.members["b1"].facts.brakes == (brake,)


@pytest.mark.parametrize("seed", range(5))
def test_reconnect_storm_settles(seed):
    net = tree(30, seed)
    for index in range(2, 30, 4):
        net.kill(f"n{index}")
    net.append(publish())
    net.feed("n0", "n1")
    for index in range(2, 30, 4):
        late = net.add(f"n{index}")
        late.state_store.apply_records(net.log[:2])
    net.run(20.0)
    assert offsets(net) == {2}
    assert all(m.mesh.position().rooted for m in net.members.values())


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["publish", "feed", "kill", "add", "run"]),
        st.integers(2, 9),
        st.integers(1, 40),
    ),
    max_size=20,
)


@settings(derandomize=True, max_examples=40, deadline=None, database=None)
@given(STEPS)
def test_no_node_ever_goes_back_and_all_end_alike(steps):
    """Searches orders of updates, losses and restarts."""
    net = tree(10)
    seen = []
    for kind, index, ticks in steps:
        name = f"n{index}"
        if kind == "publish":
            net.append(publish(expected=len(net.log) - 2))
        elif kind == "feed":
            net.feed(f"n{index % 2}")
        elif kind == "kill" and name in net.members:
            seen.append(net.members[name].versions)
            net.kill(name)
        elif kind == "add" and name not in net.members:
            fresh = net.add(name)
            fresh.state_store.apply_records(net.log[:2])
        net.run(ticks * 0.01)
    net.feed("n0", "n1")
    net.run(20.0)
    seen += [m.versions for m in net.members.values()]
    assert all(versions == sorted(versions) for versions in seen)
    states = {m.state_store.state.digest for m in net.members.values()}
    assert len(states) == 1


def test_node_leaves_another_data_centres_tree_once_its_own_has_a_relay():
    """Found by a replayed cut: nodes stayed below the relay of their seed."""
    net = Net()
    net.append(relay_claim("relay/lima-2/0", "b0", "lima-2"))
    net.add("b0", "lima-2")
    net.feed("b0")
    for name in ("a0", "a1"):
        net.add(name, "lima-1").mesh.seeds = ("b0",)
    net.run(2.0)
    mesh = net.members["a1"].mesh
    mesh.on_position_change = lambda: mesh.fact_router.broadcast(
        presence("a1", 2)
    )
    assert mesh.position().path == ("b0",)
    net.append(relay_claim(RELAY_0, "a0"))
    net.feed("a0", "b0")
    net.run(12.0)
    assert net.members["a1"].mesh.position().path == ("a0",)
    known = net.members["a0"].facts.endpoints_of("caja")
    assert [found.node for found in known] == ["a1"]


def test_relay_tells_peers_of_nodes_below_it_from_elsewhere():
    net = Net()
    net.append(relay_claim("relay/lima-2/0", "b0", "lima-2"))
    for name, place in (("b0", "lima-2"), ("c0", "lima-3")):
        net.add(name, place)
        net.feed(name)
    net.add("a1", "lima-1").mesh.seeds = ("b0",)
    net.run(2.0)
    net.members["a1"].mesh.fact_router.broadcast(presence("a1"))
    net.run(1.0)
    net.append(relay_claim("relay/lima-3/0", "c0", "lima-3"))
    net.feed("b0", "c0")
    net.run(8.0)
    known = net.members["c0"].facts.endpoints_of("caja")
    assert [found.node for found in known] == ["a1"]
    net.kill("a1")
    net.run(8.0)
    assert net.members["c0"].facts.endpoints_of("caja") == ()


def test_data_centre_cut_off_keeps_its_version_and_catches_up_when_healed():
    net = two_places()
    net.append(publish())
    net.feed("a0", "b0")
    net.run(5.0)
    net.cut_off("lima-1", "lima-2")
    for expected in (1, 2):
        net.append(publish(expected=expected))
    net.feed("a0")
    net.run(10.0)
    assert net.members["a1"].state_store.state.version == 3
    assert net.members["b1"].state_store.state.version == 1
    net.cut.clear()
    net.run(10.0)
    assert net.members["b1"].state_store.state.version == 3
    for member in net.members.values():
        assert member.versions == sorted(member.versions)
