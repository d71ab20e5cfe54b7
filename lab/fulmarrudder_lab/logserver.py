"""Stand-in of the platform's append-only log service.

    python -m fulmarrudder_lab.logserver --port 7000

`POST /faults` with a JSON object sets faults: `down`, `delay_ms`,
`lose_answers` (how many appends take effect without an answer), `keep`
(records kept per stream) and `read_lag_ms` (how late records are returned).
"""

import collections
import json

import click
import pydantic
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site


class Faults(pydantic.BaseModel):
    """Faults that the stand-in shows until told otherwise."""

    model_config = pydantic.ConfigDict(extra="forbid")

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    keep: int = 1_000_000
    read_lag_ms: int = 0


class Stream:
    """One stream in memory."""

    def __init__(self):
        self.first = 0
        self.records: collections.deque = collections.deque()
        self.waiters: list = []

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""
        return self.first + len(self.records)

    def trim(self, keep: int) -> None:
        """Forgets the oldest records."""
        while len(self.records) > keep:
            self.records.popleft()
            self.first += 1


class LogResource(Resource):
    """Serves appends, reads and fault settings."""

    isLeaf = True  # noqa: N815

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.streams = collections.defaultdict(Stream)
        self.faults = Faults()
        self.appends = 0
        self.reads = 0

    def render_POST(self, request):  # noqa: N802
        """Appends, or sets faults."""
        data = request.content.read()
        if request.path == b"/faults":
            self.faults = Faults.model_validate_json(data)
            for stream in self.streams.values():
                stream.trim(self.faults.keep)
            return b"{}"
        if self.faults.down:
            return _status(request, 503, {"error": "down"})
        name = request.path.decode().removeprefix("/streams/")
        bodies = json.loads(data)["records"]
        delay = self.faults.delay_ms / 1000
        self.clock.callLater(delay, self._append, request, name, bodies)
        return NOT_DONE_YET

    def render_GET(self, request):  # noqa: N802
        """Reads, or reports what is kept."""
        if request.path == b"/status":
            return self._status()
        if self.faults.down:
            return _status(request, 503, {"error": "down"})
        self.reads += 1
        name = request.path.decode().removeprefix("/streams/")
        start = int(request.args[b"from"][0])
        limit = int(request.args[b"limit"][0])
        wait = int(request.args[b"wait_ms"][0]) / 1000
        lost: list = []
        request.notifyFinish().addErrback(lost.append)
        delay = self.faults.delay_ms / 1000
        until = self.clock.seconds() + delay + wait
        self.clock.callLater(
            delay, self._read, request, lost, name, start, limit, until
        )
        return NOT_DONE_YET

    def _status(self) -> bytes:
        streams = {
            name: {"first": stream.first, "next": stream.next_offset}
            for name, stream in self.streams.items()
        }
        totals = {
            "streams": streams,
            "appends": self.appends,
            "reads": self.reads,
        }
        return json.dumps(totals).encode()

    def _append(self, request, name, bodies):
        stream = self.streams[name]
        first = stream.next_offset
        now = self.clock.seconds()
        for body in bodies:
            stream.records.append((now, body))
        self.appends += 1
        stream.trim(self.faults.keep)
        waiters, stream.waiters = stream.waiters, []
        for waiter in waiters:
            waiter()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abortConnection()
            return
        _finish(request, {"first": first})

    def _read(self, request, lost, name, start, limit, until):
        if lost:
            return
        if self.faults.down:
            request.setResponseCode(503)
            _finish(request, {"error": "down"})
            return
        stream = self.streams[name]
        if start < 0:
            start = max(stream.first, stream.next_offset - 1)
            until = self.clock.seconds()
        if start < stream.first:
            request.setResponseCode(410)
            _finish(request, {"first": stream.first})
            return
        found = self._visible(stream, start, limit)
        now = self.clock.seconds()
        if found or now >= until:
            _finish(
                request,
                {
                    "records": found,
                    "first": stream.first,
                    "next": stream.next_offset,
                },
            )
            return
        again = (request, lost, name, start, limit, until)
        self._wait(stream, until - now, again)

    def _wait(self, stream, left, again):
        called = []

        def wake():
            if called:
                return
            called.append(True)
            if timer.active():
                timer.cancel()
            self.clock.callLater(
                self.faults.read_lag_ms / 1000, self._read, *again
            )

        def expire():
            called.append(True)
            if wake in stream.waiters:
                stream.waiters.remove(wake)
            self._read(*again)

        timer = self.clock.callLater(left, expire)
        stream.waiters.append(wake)

    def _visible(self, stream, start, limit):
        horizon = self.clock.seconds() - self.faults.read_lag_ms / 1000
        found = []
        low = start - stream.first
        for index in range(low, min(len(stream.records), low + limit)):
            at, body = stream.records[index]
            if at > horizon:
                break
            found.append({"offset": stream.first + index, "body": body})
        return found


def _status(request, code: int, answer: dict) -> bytes:
    request.setResponseCode(code)
    return json.dumps(answer).encode()


def _finish(request, answer: dict) -> None:
    request.write(json.dumps(answer).encode())
    request.finish()


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Runs the log stand-in on loopback."""
    site = Site(LogResource(reactor))
    reactor.listenTCP(port, site, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main()
