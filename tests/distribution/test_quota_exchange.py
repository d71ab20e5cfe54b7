"""Nodes tell each other of workspaces' requests, where workspaces have limits."""

import dataclasses

import pytest

from fulmarrudder.model import Condition, Workspace
from fulmarrudder.quotas import QuotaReport, QuotaUse
from tests.distribution.test_gossip import presence_of, running_fleet

ACME = Workspace(name="acme", keys=(), requests_per_s=50.0, burst=50.0)
FREE = Workspace(name="free", keys=())
ASKING = "a-05"


def quotas_of(net, name):
    return net.nodes[name].mesh.quota_exchange.quotas


def limit(net, *workspaces):
    """Puts a version with some workspaces in force on all nodes."""
    for node in net.nodes.values():
        exchange = node.mesh.quota_exchange
        exchange.quotas.set_workspaces(workspaces, net.clock.seconds())
        exchange.start()


def record_messages(net, monkeypatch):
    """Returns a list that gets sender, receiver and message of each message."""
    sent = []
    monkeypatch.setattr(
        net,
        "count",
        lambda sender, receiver, message, size: sent.append(
            (sender, receiver, message)
        ),
    )
    return sent


@pytest.mark.parametrize("workspaces", [None, (), (FREE,)])
def test_nothing_is_sent_where_no_workspace_has_a_limit(
    monkeypatch, workspaces
):
    net = running_fleet(size=4)
    for node in net.nodes.values():
        exchange = node.mesh.quota_exchange
        exchange.quotas.set_workspaces(workspaces, net.clock.seconds())
        exchange.start()
        assert exchange.timer is None
    sent = record_messages(net, monkeypatch)
    net.run(3.0)
    assert not sent


def test_all_nodes_hear_of_a_request_once():
    net = running_fleet(size=6)
    limit(net, ACME)
    net.run(4.0)
    now = net.clock.seconds()
    for _ in range(3):
        assert quotas_of(net, ASKING).admit(ACME, now) is None
    net.run(1.0)
    others = {
        round(quotas_of(net, name).buckets["acme"].others.value, 1)
        for name in net.nodes
        if name != ASKING
    }
    assert others == {1.5}
    assert not quotas_of(net, ASKING).buckets["acme"].others.value
    assert not any(
        quotas_of(net, name).view.silent or quotas_of(net, name).view.missing
        for name in net.nodes
    )


def test_nodes_of_an_older_build_get_no_message_that_they_do_not_know(
    monkeypatch,
):
    net = running_fleet(size=4)
    old = "a-03"
    for node in net.nodes.values():
        for link in node.mesh.links.values():
            if old in (link.node, node.name):
                link.protocol = 1
    limit(net, ACME)
    sent = record_messages(net, monkeypatch)
    net.run(2.0)
    kinds = (QuotaReport, QuotaUse)
    assert any(isinstance(message, kinds) for *_, message in sent)
    assert not any(
        isinstance(message, kinds) and old in (sender, receiver)
        for sender, receiver, message in sent
    )


def test_data_centre_that_is_cut_off_is_silent_until_it_is_heard_again():
    net = running_fleet(size=4)
    limit(net, ACME)
    net.run(2.0)
    net.partition("a", "b")
    net.run(2.0)
    assert quotas_of(net, "a-03").view.silent == {"b"}
    assert quotas_of(net, "b-03").view.silent == {"a"}
    net.partitions.clear()
    net.run(6.0)
    assert not quotas_of(net, "a-03").view.silent


def test_a_frozen_gateway_is_replaced_as_collector():
    net = running_fleet(size=4)
    limit(net, ACME)
    net.run(2.0)
    net.freeze("a-00")
    net.nodes["a-00"].mesh.quota_exchange.halt()
    net.run(1.8)
    reports_to = {
        net.nodes[name].mesh.quota_exchange.reports_to
        for name in ("a-02", "a-03")
    }
    assert reports_to == {"a-01"}


# A release replaces the nodes of a data centre one after the other, gateways first.
def test_gateways_that_leave_keep_no_data_centre_from_being_heard():
    net = running_fleet(size=6, data_centres="abc")
    limit(net, ACME)
    net.run(2.0)
    leaving = [f"{data_centre}-{n:02}" for data_centre in "bc" for n in (0, 1)]
    for name in leaving:
        told = dataclasses.replace(
            presence_of(net.nodes[name], sequence=2),
            condition=Condition.LEAVING,
        )
        net.nodes[name].mesh.broadcast(told)
    net.run(2.5)
    for name in leaving:
        net.nodes[name].mesh.stop()
        net.kill(name)
    for _ in range(40):
        net.run(0.2)
        for name in ("a-00", "a-03", "b-04", "c-05"):
            assert not quotas_of(net, name).view.silent
