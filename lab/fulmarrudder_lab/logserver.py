"""Stand-in for the platform's append-only log service.

    python -m fulmarrudder_lab.logserver --port 7000

`POST /faults` with a JSON object sets faults: `down`, `delay_ms`,
`lose_answers` (how many appends take effect without an answer), `keep`
(records kept per stream) and `read_lag_ms` (delay until reads return a record).
"""

import collections
import json

import click
import pydantic
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site


class Faults(pydantic.BaseModel):
    """Faults that are injected until the next `POST /faults`."""

    model_config = pydantic.ConfigDict(extra="forbid")

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    keep: int = 1_000_000
    read_lag_ms: int = 0


class Stream:
    """An in-memory stream of records."""

    def __init__(self):
        self.first_offset = 0
        self.records: collections.deque = collections.deque()
        self.waiters: list = []

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""
        return self.first_offset + len(self.records)

    def trim(self, keep: int) -> None:
        """Drops the oldest records, all but the newest `keep`."""
        while len(self.records) > keep:
            self.records.popleft()
            self.first_offset += 1


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
        """Appends records, or sets faults."""
        data = request.content.read()
        if request.path == b"/faults":
            self.faults = Faults.model_validate_json(data)
            for stream in self.streams.values():
                stream.trim(self.faults.keep)
            return b"{}"
        if self.faults.down:
            return _error_answer(request, 503, {"error": "down"})
        name = request.path.decode().removeprefix("/streams/")
        bodies = json.loads(data)["records"]
        delay_s = self.faults.delay_ms / 1000
        self.clock.callLater(delay_s, self._append, request, name, bodies)
        return NOT_DONE_YET

    def render_GET(self, request):  # noqa: N802
        """Reads records, or reports offsets and counters."""
        if request.path == b"/status":
            return self._encode_status()
        if self.faults.down:
            return _error_answer(request, 503, {"error": "down"})
        self.reads += 1
        name = request.path.decode().removeprefix("/streams/")
        start = int(request.args[b"from"][0])
        limit = int(request.args[b"limit"][0])
        wait_s = int(request.args[b"wait_ms"][0]) / 1000
        disconnected: list = []
        request.notifyFinish().addErrback(disconnected.append)
        delay_s = self.faults.delay_ms / 1000
        deadline = self.clock.seconds() + delay_s + wait_s
        self.clock.callLater(
            delay_s,
            self._read,
            request,
            disconnected,
            name,
            start,
            limit,
            deadline,
        )
        return NOT_DONE_YET

    def _encode_status(self) -> bytes:
        streams = {
            name: {"first": stream.first_offset, "next": stream.next_offset}
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
        first_offset = stream.next_offset
        appended_at = self.clock.seconds()
        for body in bodies:
            stream.records.append((appended_at, body))
        self.appends += 1
        stream.trim(self.faults.keep)
        waiters, stream.waiters = stream.waiters, []
        for waiter in waiters:
            waiter()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abortConnection()
            return
        _write_answer(request, {"first": first_offset})

    def _read(self, request, disconnected, name, start, limit, deadline):
        if disconnected:
            return
        if self.faults.down:
            request.setResponseCode(503)
            _write_answer(request, {"error": "down"})
            return
        stream = self.streams[name]
        if start < 0:
            start = max(stream.first_offset, stream.next_offset - 1)
            deadline = self.clock.seconds()
        if start < stream.first_offset:
            request.setResponseCode(410)
            _write_answer(request, {"first": stream.first_offset})
            return
        records = self._visible_records(stream, start, limit)
        now = self.clock.seconds()
        if records or now >= deadline:
            _write_answer(
                request,
                {
                    "records": records,
                    "first": stream.first_offset,
                    "next": stream.next_offset,
                },
            )
            return
        read_arguments = (request, disconnected, name, start, limit, deadline)
        self._wait_for_records(stream, deadline - now, read_arguments)

    def _wait_for_records(self, stream, timeout_s, read_arguments):
        fired = []

        def wake():
            if fired:
                return
            fired.append(True)
            if timer.active():
                timer.cancel()
            self.clock.callLater(
                self.faults.read_lag_ms / 1000, self._read, *read_arguments
            )

        def expire():
            fired.append(True)
            if wake in stream.waiters:
                stream.waiters.remove(wake)
            self._read(*read_arguments)

        timer = self.clock.callLater(timeout_s, expire)
        stream.waiters.append(wake)

    def _visible_records(self, stream, start, limit):
        visible_until = self.clock.seconds() - self.faults.read_lag_ms / 1000
        records = []
        start_index = start - stream.first_offset
        for index in range(
            start_index, min(len(stream.records), start_index + limit)
        ):
            appended_at, body = stream.records[index]
            if appended_at > visible_until:
                break
            records.append(
                {"offset": stream.first_offset + index, "body": body}
            )
        return records


def _error_answer(request, code: int, answer: dict) -> bytes:
    request.setResponseCode(code)
    return json.dumps(answer).encode()


def _write_answer(request, answer: dict) -> None:
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
