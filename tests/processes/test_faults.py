"""Real processes with killed relays, frozen nodes and a log outage."""

import json
import signal
import threading
import time

import pytest

from fulmarrudder_lab.cluster import Cluster, send_request, wait_for
from fulmarrudder_lab.firms import ESFERA, arrangement_document

LOG_OUTAGE_S = 20.0


class Caller(threading.Thread):
    """Calls nodes in turn until stopped, and records failed calls."""

    def __init__(self, ports):
        super().__init__(daemon=True)
        self.ports = ports
        self.stopped = threading.Event()
        self.answered = 0
        self.failed = []

    def run(self):
        while not self.stopped.wait(0.02):
            for port in self.ports:
                try:
                    status, _, data = send_request(
                        "GET",
                        port,
                        "/quotes/1",
                        headers={"host": ESFERA.host},
                        timeout_s=15,
                    )
                except OSError as error:
                    self.failed.append((port, repr(error)))
                    continue
                if status == 200:
                    self.answered += 1
                else:
                    self.failed.append((port, status, data))


def versions(cluster):
    return {
        instance.node: cluster.read_metric(
            instance, "fulmarrudder_config_version"
        )
        for instance in cluster.running_instances()
    }


def controller_of(cluster, instance):
    """Returns the controller's node, as a node reports it."""
    return cluster.send_command(instance, "show status")["d"]["controller"]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(
        tmp_path_factory.mktemp("faults"), relays=2
    ) as running_cluster:
        running_cluster.add_firm(ESFERA, ("1",), targets=2, data_centres=2)
        # One instance of caja is left when one is killed and another is frozen.
        running_cluster.add_instance("lima-1", ESFERA.services[1], "1", 2)
        running_cluster.start_all()
        first = running_cluster.publish_initial_version(
            arrangement_document(ESFERA)
        )
        wait_for("a controller", lambda: controller_of(running_cluster, first))
        yield running_cluster


def is_relay(cluster, instance):
    return cluster.read_metric(instance, "fulmarrudder_duties_held") > 0


def test_calls_survive_relay_loss_log_outage_and_frozen_controller(cluster):
    instances = list(cluster.instances.values())
    vitrina_instances = [
        instance for instance in instances if instance.service == "vitrina"
    ]
    caller = Caller([instance.call_port for instance in vitrina_instances])
    caller.start()

    controller = controller_of(cluster, vitrina_instances[0])
    victims = [
        instance
        for instance in instances
        if is_relay(cluster, instance)
        and instance.node != controller
        and instance not in vitrina_instances
    ]
    if victims:
        victims[0].node_process.kill()

    before = versions(cluster)
    cluster.set_log_faults(down=True)
    time.sleep(LOG_OUTAGE_S)
    assert caller.answered > 0
    answered = caller.answered
    cluster.set_log_faults()
    assert versions(cluster) == before

    frozen = cluster.instances[controller_of(cluster, vitrina_instances[0])]
    others = [
        instance
        for instance in cluster.running_instances()
        if instance is not frozen
    ]
    frozen.node_process.send_signal(signal.SIGSTOP)
    wait_for(
        "another controller",
        lambda: all(
            controller_of(cluster, instance) not in ("", frozen.node)
            for instance in others
        ),
    )
    published = wait_for(
        "a second version",
        lambda: (
            cluster.send_command(
                others[0], "publish expecting 1", arrangement_document(ESFERA)
            )["k"]
            == "done"
        ),
    )
    assert published
    frozen.node_process.send_signal(signal.SIGCONT)
    cluster.wait_for_version(2)
    agreed = wait_for(
        "one controller",
        lambda: (
            len(
                {
                    controller_of(cluster, instance)
                    for instance in cluster.running_instances()
                }
            )
            == 1
        ),
    )
    assert agreed
    caller.stopped.set()
    caller.join()
    assert caller.answered > answered
    # A frozen node cannot answer calls that are sent to it.
    if frozen in vitrina_instances:
        frozen_calls = [f for f in caller.failed if f[0] == frozen.call_port]
        caller.failed = [f for f in caller.failed if f not in frozen_calls]
    assert caller.failed == []


def test_graceful_stop_cuts_no_upload(cluster):
    instances = cluster.running_instances()
    entry, host = instances[0], None
    for instance in instances:
        if instance.service == "archivo-macro":
            host = instance
    import http.client

    connection = http.client.HTTPConnection(
        "127.0.0.1", entry.call_port, timeout=60
    )
    size = 4 * 1024 * 1024
    connection.putrequest("POST", "/photos/slow", skip_host=True)
    connection.putheader("host", ESFERA.host)
    connection.putheader("content-length", str(size))
    connection.endheaders()
    half = b"x" * (size // 2)
    connection.send(half)
    time.sleep(0.5)
    stopping = [
        instance
        for instance in instances
        if instance.service in ("archivo-macro",)
    ]
    for instance in (*stopping, entry):
        instance.node_process.send_signal(signal.SIGTERM)
    time.sleep(2.5)
    connection.send(half)
    response = connection.getresponse()
    answer = json.loads(response.read())
    assert (response.status, answer["size"]) == (200, size)
    assert host is not None
    for instance in (*stopping, entry):
        assert instance.node_process.stop() == 0
