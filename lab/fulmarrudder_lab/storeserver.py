"""Stand-in for the platform's store: topics, latest records and groups.

    python -m fulmarrudder_lab.storeserver --port 7000

It serves the requests of `fulmarrudder.platform.store` and stores all records
in memory. A group member that does not join again within its time to live is
removed; the member that joined first is assigned the first partition.
"""

import base64
import collections
import json
import struct

import click
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

LENGTH_PREFIX = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
FIRST_PARTITION = 0


class Topic:
    """One partition of a topic.

    Attributes:
        records: Contents of its records, by offset.
        waiters: Called when a record is appended.
    """

    def __init__(self):
        self.records: list[bytes] = []
        self.waiters: list = []

    def latest_records(self) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of the latest record of each key.

        A record with an empty value deletes its key.
        """
        latest = {}
        for offset, content in enumerate(self.records):
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            latest.pop(key, None)
            if value:
                latest[key] = (offset, value)
        return latest


class Group:
    """Members of a group, in the order in which they joined."""

    def __init__(self):
        self.generation = 0
        self.expires_at: dict[str, float] = {}

    def remove_expired(self, now: float) -> None:
        """Removes members whose time to live has passed."""
        for member, expiry in list(self.expires_at.items()):
            if expiry < now:
                self.remove(member)

    def join(self, member: str, expiry: float) -> bool:
        """Adds or renews a member; returns whether it joined first."""
        if member not in self.expires_at:
            self.generation += 1
        self.expires_at[member] = expiry
        return next(iter(self.expires_at)) == member

    def remove(self, member: str) -> None:
        """Removes a member."""
        if self.expires_at.pop(member, None) is not None:
            self.generation += 1


class StoreResource(Resource):
    """Serves the store's requests."""

    isLeaf = True  # noqa: N815

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.topics = collections.defaultdict(Topic)
        self.groups = collections.defaultdict(Group)

    def render_GET(self, request):  # noqa: N802
        """Reads records, or the latest record of each key."""
        topic = self.topics[request.args[b"topic"][0]]
        if request.path == b"/-/log-newest":
            return self._encode_latest_records(topic)
        start = int(request.args[b"from"][0])
        wait_s = int(request.args[b"waitMs"][0]) / 1000
        disconnected: list = []
        request.notifyFinish().addErrback(disconnected.append)
        self._read(request, disconnected, topic, start, wait_s)
        return NOT_DONE_YET

    def render_POST(self, request):  # noqa: N802
        """Appends records, or joins or leaves a group."""
        data = request.content.read()
        if request.path == b"/-/log-append":
            topic = self.topics[request.args[b"topic"][0]]
            expected_end = request.args.get(b"at")
            if expected_end and int(expected_end[0]) != len(topic.records):
                request.setResponseCode(412)
                return json.dumps({"endOffset": len(topic.records)}).encode()
            return self._append(topic, data)
        body = json.loads(data)
        group = self.groups[body["group"]]
        if request.path == b"/-/log-leave":
            group.remove(body["memberId"])
            return b"{}"
        return self._join(group, body)

    def _encode_latest_records(self, topic: Topic) -> bytes:
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.latest_records().items())
        ]
        page = {
            "items": items,
            "hasMore": False,
            "endOffset": len(topic.records),
        }
        return json.dumps(page).encode()

    def _append(self, topic: Topic, data: bytes) -> bytes:
        first = len(topic.records)
        while data:
            (size,) = LENGTH_PREFIX.unpack_from(data)
            topic.records.append(
                data[LENGTH_PREFIX.size : LENGTH_PREFIX.size + size]
            )
            data = data[LENGTH_PREFIX.size + size :]
        waiters, topic.waiters = topic.waiters, []
        for waiter in waiters:
            waiter()
        offsets = {"offset": first, "endOffset": len(topic.records)}
        return json.dumps(offsets).encode()

    def _read(
        self, request, disconnected, topic: Topic, start: int, wait_s: float
    ):
        finished: list = []

        def finish():
            if finished or disconnected:
                return
            finished.append(True)
            request.write(READ_HEADER.pack(len(topic.records), 0))
            for content in topic.records[start:]:
                request.write(LENGTH_PREFIX.pack(len(content)) + content)
            request.finish()

        if len(topic.records) > start or wait_s <= 0:
            finish()
            return
        topic.waiters.append(finish)
        self.clock.callLater(wait_s, finish)

    def _join(self, group: Group, body: dict) -> bytes:
        now = self.clock.seconds()
        group.remove_expired(now)
        ttl_s = int(body["ttl_time"].removesuffix("ms")) / 1000
        is_first = group.join(body["memberId"], now + ttl_s)
        partitions = (
            [[body["topics"][0], FIRST_PARTITION, 0]] if is_first else []
        )
        answer = {"generation": group.generation, "parts": partitions}
        return json.dumps(answer).encode()


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Runs the store stand-in on loopback."""
    site = Site(StoreResource(reactor))
    reactor.listenTCP(port, site, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main()
