"""A large upload passes through two nodes unchanged, in bounded memory."""

import hashlib
import http.client
import json

import pytest

from fulmarrudder_lab.cluster import Cluster
from fulmarrudder_lab.firms import ESFERA, arrangement_document

MEBIBYTE = 1024 * 1024
UPLOAD_BYTES = 200 * MEBIBYTE
MAX_GROWTH_BYTES = 32 * MEBIBYTE
CHUNK = bytes(range(256)) * 256


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(
        tmp_path_factory.mktemp("upload"), relays=1
    ) as running_cluster:
        photos = ESFERA.services[2]
        running_cluster.add_instance("lima-1", ESFERA.services[0], "1", 0)
        running_cluster.add_instance("lima-1", photos, "1", 0)
        running_cluster.start_all()
        running_cluster.publish_initial_version(arrangement_document(ESFERA))
        yield running_cluster


def chunks():
    for _ in range(UPLOAD_BYTES // len(CHUNK)):
        yield CHUNK


@pytest.mark.parametrize("chunked", [False, True])
def test_upload_is_byte_exact_and_bounded_in_memory(cluster, chunked):
    entry, host = cluster.instances.values()
    before = [
        instance.node_process.resident_bytes() for instance in (entry, host)
    ]
    headers = {"host": ESFERA.host}
    if not chunked:
        headers["content-length"] = str(UPLOAD_BYTES)
    connection = http.client.HTTPConnection(
        "127.0.0.1", entry.call_port, timeout=120
    )
    connection.request(
        "POST", "/photos/1", chunks(), headers, encode_chunked=chunked
    )
    response = connection.getresponse()
    answer = json.loads(response.read())
    after = [
        instance.node_process.resident_bytes() for instance in (entry, host)
    ]
    digest = hashlib.sha256()
    for chunk in chunks():
        digest.update(chunk)
    assert response.status == 200
    assert answer["size"] == UPLOAD_BYTES
    assert answer["sha256"] == digest.hexdigest()
    for grown, start in zip(after, before, strict=True):
        assert grown - start < MAX_GROWTH_BYTES
