"""Stand-in of the platform's store: topics, newest records by key, and groups.

    python -m fulmarrudder_lab.storeserver --port 7000

It serves the calls that `fulmarrudder.platform.store` makes, and keeps all
records in memory. A member of a group that sends nothing for its time to live
is removed; the first member holds the first partition.
"""

import base64
import collections
import json
import struct

import click
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

LENGTH = struct.Struct(">I")
EDGES = struct.Struct(">QQ")
FIRST_PART = 0


class Topic:
    """One partition of a topic.

    Attributes:
        records: Contents of its records, by offset.
        waiters: Called when a record is appended.
    """

    def __init__(self):
        self.records: list[bytes] = []
        self.waiters: list = []

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of the newest record of each key."""
        found = {}
        for offset, content in enumerate(self.records):
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return found


class Group:
    """Members of a group, in the order in which they joined."""

    def __init__(self):
        self.generation = 0
        self.expires: dict[str, float] = {}

    def expire(self, now: float) -> None:
        """Removes members whose time to live has passed."""
        for member, moment in list(self.expires.items()):
            if moment < now:
                self.remove(member)

    def join(self, member: str, moment: float) -> bool:
        """Adds or keeps a member; returns whether it is the first one."""
        if member not in self.expires:
            self.generation += 1
        self.expires[member] = moment
        return next(iter(self.expires)) == member

    def remove(self, member: str) -> None:
        """Removes a member."""
        if self.expires.pop(member, None) is not None:
            self.generation += 1


class StoreResource(Resource):
    """Serves the calls of the store."""

    isLeaf = True  # noqa: N815

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.topics = collections.defaultdict(Topic)
        self.groups = collections.defaultdict(Group)

    def render_GET(self, request):  # noqa: N802
        """Reads records, or the newest of each key."""
        topic = self.topics[request.args[b"topic"][0]]
        if request.path == b"/-/log-newest":
            return self._newest(topic)
        start = int(request.args[b"from"][0])
        wait_s = int(request.args[b"waitMs"][0]) / 1000
        lost: list = []
        request.notifyFinish().addErrback(lost.append)
        self._read(request, lost, topic, start, wait_s)
        return NOT_DONE_YET

    def render_POST(self, request):  # noqa: N802
        """Appends, joins or leaves."""
        data = request.content.read()
        if request.path == b"/-/log-append":
            return self._append(self.topics[request.args[b"topic"][0]], data)
        body = json.loads(data)
        group = self.groups[body["group"]]
        if request.path == b"/-/log-leave":
            group.remove(body["memberId"])
            return b"{}"
        return self._join(group, body)

    def _newest(self, topic: Topic) -> bytes:
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.newest().items())
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
            (size,) = LENGTH.unpack_from(data)
            topic.records.append(data[LENGTH.size : LENGTH.size + size])
            data = data[LENGTH.size + size :]
        waiters, topic.waiters = topic.waiters, []
        for waiter in waiters:
            waiter()
        end = {"offset": first, "endOffset": len(topic.records)}
        return json.dumps(end).encode()

    def _read(self, request, lost, topic: Topic, start: int, wait_s: float):
        done: list = []

        def finish():
            if done or lost:
                return
            done.append(True)
            request.write(EDGES.pack(len(topic.records), 0))
            for content in topic.records[start:]:
                request.write(LENGTH.pack(len(content)) + content)
            request.finish()

        if len(topic.records) > start or wait_s <= 0:
            finish()
            return
        topic.waiters.append(finish)
        self.clock.callLater(wait_s, finish)

    def _join(self, group: Group, body: dict) -> bytes:
        now = self.clock.seconds()
        group.expire(now)
        ttl_s = int(body["ttl_time"].removesuffix("ms")) / 1000
        first = group.join(body["memberId"], now + ttl_s)
        parts = [[body["topics"][0], FIRST_PART, 0]] if first else []
        answer = {"generation": group.generation, "parts": parts}
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
