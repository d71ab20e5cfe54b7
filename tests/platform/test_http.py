"""Endpoints for readiness, heartbeats, deregistrations and metrics."""

import dataclasses
import io
import json
import random

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock
from twisted.web.test.requesthelper import DummyRequest

from fulmarrudder.distribution import Document
from fulmarrudder.model import Arrangement, Condition
from fulmarrudder.node.gossip_node import (
    DISCOVERY_TIMEOUT_S,
    GossipNode,
    GossipNodeSettings,
)
from fulmarrudder.platform.header_names import HEADER_NAMES
from fulmarrudder.platform.http import (
    HeartbeatResource,
    MetricsResource,
    ReadinessResource,
)
from tests.platform.test_heartbeats import HEARTBEAT


class UnheldLease:
    """A lease on the controller's duty that this node does not hold."""

    term = 0

    def holds_lease(self):
        return False


def new_node():
    settings = GossipNodeSettings(
        node="n1",
        data_centre="lima-1",
        service="caja",
        host_address="127.0.0.1:1",
        mesh_address="127.0.0.1:2",
        retry_ratio=0.2,
        retry_slack=50.0,
    )
    return GossipNode(
        settings,
        reactor=Clock(),
        rng=random.Random(1),
        incarnation=1,
        header_names=HEADER_NAMES,
        token=b"t",
        lease=UnheldLease(),
        record_status=lambda move: succeed(move.phase),
        read_status=lambda move: succeed(move.phase),
        on_document=lambda document: None,
    )


@pytest.fixture
def node():
    return new_node()


def request_page(resource, path=b"/", body=None):
    request = DummyRequest([b""])
    request.path = path
    if body is None:
        return request, resource.render_GET(request)
    request.content = io.BytesIO(body)
    answer = resource.render_POST(request)
    if isinstance(answer, Deferred) and answer.called:
        answer = answer.result
    return request, answer


def send_heartbeat(
    node, sequence, state="ready", born=1000, target="i-1", service="caja"
):
    heartbeat = {
        **HEARTBEAT,
        "born": born,
        "info": {**HEARTBEAT["info"], "service": service},
        "status": {"state": state, "sequence": sequence},
    }
    path = f"/-/instances/{target}/heartbeat".encode()
    return request_page(
        HeartbeatResource(node), path, json.dumps(heartbeat).encode()
    )


def test_node_is_ready_with_a_config_and_not_while_leaving(node):
    assert request_page(ReadinessResource(node))[0].responseCode == 503
    node.apply_arrangement(Document(version=3, text=""), Arrangement())
    assert request_page(ReadinessResource(node))[0].responseCode == 503
    node.clock.advance(DISCOVERY_TIMEOUT_S + 0.1)
    assert request_page(ReadinessResource(node))[1] == b"ready\n"
    node.leave()
    assert request_page(ReadinessResource(node))[0].responseCode == 503


def test_older_config_does_not_replace_a_newer_one(node):
    node.apply_arrangement(Document(version=3, text="3"), Arrangement())
    node.apply_arrangement(Document(version=2, text="2"), Arrangement())
    assert (node.version, node.document.text) == (3, "3")


def test_heartbeat_after_a_deregistration_does_not_undo_it(node):
    send_heartbeat(node, 1)
    assert node.local_target.condition is Condition.READY
    _, answer = request_page(
        HeartbeatResource(node), b"/-/instances/i-1/deregister", b""
    )
    assert answer == b"{}"
    assert node.local_target.condition is Condition.LEAVING
    send_heartbeat(node, 2)
    assert node.local_target.condition is Condition.LEAVING


# Requests were sent to a target that had left: its node had started again, and
# acknowledged the deregistration before it received a heartbeat.
@pytest.mark.parametrize("born", [1000, None])
def test_target_that_left_before_its_first_heartbeat_stays_leaving(node, born):
    _, answer = request_page(
        HeartbeatResource(node), b"/-/instances/i-1/deregister", b""
    )
    assert answer == b"{}"
    for sequence in (7, 8):
        send_heartbeat(node, sequence, born=born)
        assert node.local_target.condition is Condition.LEAVING


# Guards the next start of that target, and others on the same machine.
def test_target_that_starts_after_a_deregistration_is_ready(node):
    request_page(HeartbeatResource(node), b"/-/instances/i-1/deregister", b"")
    now_ms = int(node.wall() * 1000)
    send_heartbeat(node, 1, born=now_ms + 1)
    assert node.local_target.condition is Condition.READY
    send_heartbeat(node, 1, born=now_ms + 2, target="i-2")
    assert node.local_target.condition is Condition.READY


def test_late_heartbeat_of_an_earlier_start_is_ignored(node):
    send_heartbeat(node, 1, born=2000, target="i-2")
    send_heartbeat(node, 99, born=1000, target="i-1")
    assert node.local_target.latest.id == "i-2"


def test_restart_with_the_same_id_resets_the_sequence(node):
    send_heartbeat(node, 50, state="draining", born=1000)
    send_heartbeat(node, 1, born=2000)
    assert node.local_target.condition is Condition.READY


def test_malformed_heartbeat_is_refused(node):
    request, _ = request_page(
        HeartbeatResource(node), b"/-/instances/i-1/heartbeat", b"\xff"
    )
    assert request.responseCode == 400
    assert node.local_target.latest is None


def test_metrics_contain_the_config_version(node):
    node.apply_arrangement(Document(version=3, text=""), Arrangement())
    _, text = request_page(MetricsResource(node))
    assert b"fulmarrudder_config_version" in text


# Guards against a heartbeat of another writer: a service that the settings do not
# name, and a later start, put the live target out of use for good.
@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("target", ["i-other", "i-1"])
@pytest.mark.parametrize("born", [999, 2000, None])
def test_heartbeat_of_another_service_changes_nothing(
    node, state, target, born
):
    send_heartbeat(node, 1)
    request, _ = send_heartbeat(
        node, 9, state=state, target=target, born=born, service="another"
    )
    assert request.responseCode == 400
    send_heartbeat(node, 2)
    latest = node.local_target.latest
    assert (latest.id, latest.service, latest.sequence) == ("i-1", "caja", 2)
    assert node.local_target.condition is Condition.READY


def test_heartbeat_of_another_service_is_not_taken_after_a_start(node):
    send_heartbeat(node, 1, service="another")
    assert node.local_target.latest is None
    send_heartbeat(node, 2)
    assert node.local_target.condition is Condition.READY


# An address may go to another service, which the settings then name.
def test_heartbeat_is_taken_once_the_settings_name_its_service(node):
    send_heartbeat(node, 1)
    node.settings = dataclasses.replace(node.settings, service="vitrina")
    send_heartbeat(node, 1, born=2000, target="i-2", service="vitrina")
    assert node.local_target.latest.id == "i-2"


def deregister(node, body, target="i-1"):
    path = f"/-/instances/{target}/deregister".encode()
    return request_page(HeartbeatResource(node), path, body)


# Guards against a late deregistration of an earlier start, which put the next start
# of the same target out of use.
def test_deregistration_of_an_earlier_start_leaves_the_next_one_in_use(node):
    send_heartbeat(node, 5, born=1000)
    send_heartbeat(node, 1, born=2000)
    assert deregister(node, b'{"born": 1000}')[1] == b"{}"
    assert node.local_target.condition is Condition.READY
    send_heartbeat(node, 2, born=2000)
    assert node.local_target.condition is Condition.READY


# Guards against a late heartbeat of a target whose start lies ahead of this clock.
@pytest.mark.parametrize("known_start", [None, 1000])
def test_start_that_a_deregistration_tells_is_not_used_again(node, known_start):
    ahead = int(node.wall() * 1000) + 5_000
    if known_start:
        send_heartbeat(node, 5, born=known_start)
    deregister(node, json.dumps({"born": ahead}).encode())
    for sequence in (1, 2):
        send_heartbeat(node, sequence, born=ahead)
        assert node.local_target.condition is Condition.LEAVING
    send_heartbeat(node, 1, born=ahead + 1)
    assert node.local_target.condition is Condition.READY


@pytest.mark.parametrize("body", [b"", b"{}", b'{"born": 1000}'])
def test_deregistration_of_the_live_target_is_heeded(node, body):
    send_heartbeat(node, 1)
    assert deregister(node, body)[1] == b"{}"
    assert node.local_target.condition is Condition.LEAVING


@pytest.mark.parametrize("body", [b"\xff", b"[]", b'{"born": "soon"}', b"{"])
def test_malformed_deregistration_is_refused(node, body):
    send_heartbeat(node, 1)
    request, _ = deregister(node, body)
    assert request.responseCode == 400
    assert node.local_target.condition is Condition.READY
