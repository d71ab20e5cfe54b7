r"""Load generator: sends calls at a steady rate and counts their results.

python -m fulmarrudder_lab.load --port 7101 --port 7102 --rate 200 \
        --seconds 10 --path /quotes/1 --path POST:/deposits
"""

import collections
import json
import math
import random
import sys
import uuid

import click
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.collector import BodyCollector
from fulmarrudder.call.message import Framing, Headers, RequestHead
from fulmarrudder.call.upstream import ConnectionPool

TICK_S = 0.005
ANSWER_TIMEOUT_S = 30.0
DRAIN_TIMEOUT_S = 10.0


class LoadGenerator:
    """Sends calls and counts their results.

    Attributes:
        results: Counts by status and target version.
        latencies: Seconds that each call took, failed calls included.
    """

    def __init__(self, ports, rate: float, host: str, paths, seed: int):
        self.ports = ports
        self.rate = rate
        self.host = host.encode()
        self.paths = paths
        self.rng = random.Random(seed)
        self.pool = ConnectionPool(reactor)
        self.results: collections.Counter = collections.Counter()
        self.latencies: list[float] = []
        self.started = reactor.seconds()
        self.sent = 0
        self.in_flight = 0

    def tick(self) -> None:
        """Sends the calls that are due."""
        due = int((reactor.seconds() - self.started) * self.rate)
        while self.sent < due:
            self.sent += 1
            self.in_flight += 1
            ensureDeferred(self._call())

    async def _call(self) -> None:
        method, _, path = self.rng.choice(self.paths).rpartition(":")
        method = method or "GET"
        began = reactor.seconds()
        try:
            outcome = await self._send(method, path)
        except Exception as error:
            outcome = (f"error:{type(error).__name__}", "-")
        self.results[outcome] += 1
        self.latencies.append(reactor.seconds() - began)
        self.in_flight -= 1

    async def _send(self, method: str, path: str):
        address = f"127.0.0.1:{self.rng.choice(self.ports)}"
        connection = await self.pool.acquire(address)
        headers = [(b"host", self.host)]
        body, framing, length = None, Framing.NONE, 0
        if method == "POST":
            headers.append((b"idempotency-key", uuid.uuid4().hex.encode()))
            body = RequestBody(connection.transport)
            body.receive_part(b"amount=1")
            body.receive_end()
            framing, length = Framing.LENGTH, body.received_bytes
        head = RequestHead(
            method=method.encode(),
            target=path.encode(),
            headers=Headers(tuple(headers)),
            framing=framing,
            length=length,
        )
        exchange = connection.start(head, body)
        answer = await exchange.head_ready.addTimeout(ANSWER_TIMEOUT_S, reactor)
        collector = BodyCollector()
        exchange.stream_to(collector)
        data = await collector.body
        return str(answer.status), _version(data)

    def summary(self) -> dict:
        """Returns counts by status and version, and latencies in ms."""
        ordered = sorted(self.latencies)
        by_status: collections.Counter = collections.Counter()
        by_version: collections.Counter = collections.Counter()
        for (status, version), count in self.results.items():
            by_status[status] += count
            by_version[version] += count
        return {
            "sent": self.sent,
            "by_status": dict(by_status),
            "by_version": dict(by_version),
            "p50_ms": _quantile(ordered, 0.50) * 1000,
            "p99_ms": _quantile(ordered, 0.99) * 1000,
        }


def _version(data: bytes) -> str:
    try:
        document = json.loads(data)
    except ValueError:
        return "-"
    return str(document.get("version", document.get("error", "-")))


def _quantile(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@click.command()
@click.option("--port", "ports", type=int, multiple=True, required=True)
@click.option("--rate", type=float, default=100.0, help="Calls a second.")
@click.option("--seconds", type=float, default=10.0)
@click.option("--host", default="esfera.example")
@click.option("--path", "paths", multiple=True, default=("/",))
@click.option("--seed", type=int, default=1)
def main(ports, rate, seconds, host, paths, seed) -> None:
    """Sends calls at a steady rate and prints a summary as JSON."""
    generator = LoadGenerator(ports, rate, host, paths, seed)
    loop = LoopingCall(generator.tick)

    def finish() -> None:
        if loop.running:
            loop.stop()
        reactor.callLater(0.05, drain, reactor.seconds() + DRAIN_TIMEOUT_S)

    def drain(deadline: float) -> None:
        if generator.in_flight and reactor.seconds() < deadline:
            reactor.callLater(0.05, drain, deadline)
            return
        print(json.dumps(generator.summary()))
        sys.stdout.flush()
        reactor.stop()

    loop.start(TICK_S)
    reactor.callLater(seconds, finish)
    reactor.run()


if __name__ == "__main__":
    main()
