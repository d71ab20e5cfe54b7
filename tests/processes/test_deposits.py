"""Deposits run at most once; requests that crash targets are refused."""

import json
import threading

import pytest

from fulmarrudder_lab.cluster import Cluster, send_request, wait_for
from fulmarrudder_lab.firms import ESFERA, arrangement_document


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(
        tmp_path_factory.mktemp("deposits"), relays=1
    ) as running_cluster:
        vitrina, caja, _ = ESFERA.services
        for index in range(2):
            running_cluster.add_instance("lima-1", vitrina, "1", index)
        for index in range(4):
            running_cluster.add_instance("lima-1", caja, "1", index)
        running_cluster.start_all()
        running_cluster.publish_initial_version(arrangement_document(ESFERA))
        yield running_cluster


def deposit(port, key, body=b"amount=1"):
    headers = {"host": ESFERA.host}
    if key:
        headers["idempotency-key"] = key
    status, fields, data = send_request(
        "POST", port, "/deposits", body, headers
    )
    return status, {k.lower(): v for k, v in fields.items()}, data


def caja_instances(cluster):
    return [
        instance
        for instance in cluster.running_instances()
        if instance.service == "caja" and instance.target_process.running
    ]


def count_runs(cluster, key):
    found = 0
    for instance in cluster.instances.values():
        if instance.service == "caja" and instance.target_process.running:
            _, _, data = send_request("GET", instance.target_port, "/runs")
            found += json.loads(data)["ran"].get(key, 0)
    return found


def set_behaviour(instance, **behaviour):
    send_request("POST", instance.target_port, "/behave", json.dumps(behaviour))


def test_deposit_sent_again_through_another_node_runs_once(cluster):
    one, other = list(cluster.instances.values())[:2]
    first = deposit(one.call_port, "twice")
    second = deposit(other.call_port, "twice")
    assert first[0] == second[0] == 200
    assert first[2] == second[2]
    assert count_runs(cluster, "twice") == 1


def test_deposits_sent_at_once_through_two_nodes_run_once(cluster):
    one, other = list(cluster.instances.values())[:2]
    for instance in caja_instances(cluster):
        set_behaviour(instance, delay_ms=300)
    answers = []
    senders = [
        threading.Thread(
            target=lambda instance=instance: answers.append(
                deposit(instance.call_port, "at-once")
            )
        )
        for instance in (one, other)
    ]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    assert [a[0] for a in answers] == [200, 200]
    assert count_runs(cluster, "at-once") == 1


def test_deposit_whose_first_node_died_is_not_run_again(cluster):
    one, other = list(cluster.instances.values())[:2]
    for instance in caja_instances(cluster):
        set_behaviour(instance, delay_ms=1500)
    answers = []
    sender = threading.Thread(
        target=lambda: answers.append(deposit(one.call_port, "dead"))
    )
    sender.start()
    wait_for("the deposit to run", lambda: count_runs(cluster, "dead") == 1)
    running = next(
        instance
        for instance in caja_instances(cluster)
        if json.loads(send_request("GET", instance.target_port, "/runs")[2])[
            "ran"
        ].get("dead")
    )
    running.node_process.kill()
    sender.join()
    again = deposit(other.call_port, "dead")
    for status, fields, _ in (*answers, again):
        assert (status, fields["fulmarrudder-ran"]) == (409, "unknown")
    assert count_runs(cluster, "dead") == 1


def test_request_that_crashed_two_targets_is_refused_as_not_run(cluster):
    one, other = list(cluster.instances.values())[:2]
    before = caja_instances(cluster)
    assert len(before) == 3
    for instance in before:
        set_behaviour(instance, crash_on="poison")
    for entry in (one, other):
        status, fields, _ = deposit(entry.call_port, "", b"poison")
        assert (status, fields["fulmarrudder-ran"]) == (502, "unknown")
    for entry in (one, other):
        wait_for(
            "both crashes to be reported",
            lambda instance=entry: (
                cluster.read_metric(instance, "fulmarrudder_strikes") >= 2
            ),
        )
    for entry in (one, other):
        status, fields, _ = deposit(entry.call_port, "", b"poison")
        assert status == 503
        assert fields["fulmarrudder-ran"] == "no"
        assert fields["fulmarrudder-reason"] == "crashed-targets-before"
    assert len(caja_instances(cluster)) == 1
    harmless = deposit(one.call_port, "", b"honest")
    assert harmless[0] == 200, harmless
