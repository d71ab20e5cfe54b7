"""Decisions of one node on the requests of workspaces."""

import pytest

from fulmarrudder.quotas import FleetQuotas, QuotaSum, QuotaUse
from tests.quotas.fleet import BOUNDS, workspace_of


def lone_node(*workspaces, now=0.0):
    """Returns a node that is the whole fleet and hears itself."""
    quotas = FleetQuotas("a1", "a", now, BOUNDS)
    quotas.set_workspaces((), now)
    quotas.view.hear("a", 0.0, now)
    quotas.view.counted_from.clear()
    quotas.set_workspaces(workspaces, now)
    return quotas


def test_what_is_not_reported_survives_a_version_with_another_workspace():
    one, two = workspace_of(50.0, name="one"), workspace_of(50.0, name="two")
    quotas = lone_node(one)
    quotas.admit(one, 0.1)
    quotas.set_workspaces((one, two), 0.2)
    assert quotas.take_report(0.3).counts[1:] == (1, 0)


def test_own_requests_are_not_counted_twice():
    workspace = workspace_of(50.0)
    quotas = lone_node(workspace)
    quotas.admit(workspace, 0.0)
    before = quotas.buckets["acme"].tokens
    report = quotas.take_report(0.0)
    told = QuotaSum(data_centre="a", counts=report.counts, missing=0.0)
    quotas.hear(QuotaUse(sums=(told,), included=(("a1", report.number),)), 0.0)
    assert quotas.buckets["acme"].tokens == before
    quotas.hear(QuotaUse(sums=(told,)), 0.0)
    assert quotas.buckets["acme"].tokens == before - 1


def test_refund_is_told_as_a_request_less():
    workspace = workspace_of(50.0)
    quotas = lone_node(workspace)
    quotas.admit(workspace, 0.0)
    quotas.take_report(0.0)
    quotas.refund(workspace)
    assert quotas.take_report(0.0).counts[1:] == (-1, 0)


@pytest.mark.parametrize("tokens", [0.0, -4.0])
def test_retry_after_is_the_time_until_the_next_token(tokens):
    workspace = workspace_of(2.0)
    quotas = lone_node(workspace)
    quotas.buckets["acme"].tokens = tokens
    refusal = quotas.admit(workspace, 0.0)
    assert refusal.retry_after_s == pytest.approx((1 - tokens) / 2.0)


def test_version_without_limits_forgets_all_buckets():
    workspace = workspace_of(2.0)
    quotas = lone_node(workspace)
    quotas.set_workspaces(None, 1.0)
    assert not quotas.has_limits
    assert quotas.admit(workspace, 1.0) is None


@pytest.mark.parametrize("nodes_first", [True, False])
def test_node_that_starts_in_a_cut_leaves_the_others_their_part(nodes_first):
    workspace = workspace_of(50.0)
    quotas = FleetQuotas("a1", "a", 0.0, BOUNDS)
    learned = [
        lambda: quotas.view.set_nodes({"a": 3, "b": 3}, 0.1),
        lambda: quotas.set_workspaces((workspace,), 0.1),
    ]
    for learn in learned if nodes_first else reversed(learned):
        learn()
    quotas.view.hear("a", 0.0, 0.2)
    quotas.admit(workspace, 0.3)
    assert quotas.buckets["acme"].heard_share == pytest.approx(0.5)


def test_what_a_lost_collector_was_told_is_reported_again():
    workspace = workspace_of(50.0)
    quotas = lone_node(workspace)
    quotas.admit(workspace, 0.0)
    quotas.take_report(0.0)
    quotas.report_again()
    quotas.admit(workspace, 0.1)
    assert quotas.take_report(0.1).counts[1:] == (2, 0)


def test_what_a_node_admits_while_it_is_cut_off_is_not_told_afterwards():
    workspace = workspace_of(50.0)
    quotas = lone_node(workspace)
    for now in (0.9, 1.8):
        quotas.beat(now)
    assert quotas.view.silent == {"a"}
    quotas.admit(workspace, 1.8)
    assert not quotas.take_report(1.9).counts
    quotas.view.hear("a", 0.0, 2.0)
    assert not quotas.take_report(2.1).counts
    quotas.admit(workspace, 2.6)
    assert quotas.take_report(2.6).counts[1:] == (1, 0)
