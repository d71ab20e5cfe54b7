"""Measures the time that two nodes add to a call.

    python bench/calls.py [--rate 50] [--rounds 5] [--seconds 6]

Calls go in turn directly to the target, through one node and through two, in
one run and from one process, so that machine load affects all alike.
"""

import json
import math
import pathlib
import statistics
import tempfile

import click
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults

from fulmarrudder.call.collector import BodyCollector
from fulmarrudder.call.message import Headers, RequestHead
from fulmarrudder.call.upstream import ConnectionPool
from fulmarrudder_lab.cluster import Cluster, send_request
from fulmarrudder_lab.firms import ESFERA, arrangement_document

SLICES_PER_ROUND = 6
HOST = ESFERA.host.encode()


class Caller:
    """Calls one address and records latencies in seconds."""

    def __init__(self, address: str):
        self.address = address
        self.pool = ConnectionPool(reactor)
        self.latencies: list[float] = []
        self.failures = 0

    async def call(self) -> None:
        """Makes one call."""
        began = reactor.seconds()
        connection = await self.pool.acquire(self.address)
        head = RequestHead(
            method=b"GET",
            target=b"/quotes/1",
            headers=Headers(((b"host", HOST),)),
        )
        exchange = connection.start(head, None)
        answer = await exchange.head_ready
        collector = BodyCollector()
        exchange.stream_to(collector)
        await collector.body
        self.failures += answer.status != 200
        self.latencies.append(reactor.seconds() - began)


def sleep(seconds: float) -> Deferred:
    """Waits without blocking the event loop."""
    done: Deferred = Deferred()
    reactor.callLater(max(0.0, seconds), done.callback, None)
    return done


async def send_calls(
    callers: list[Caller], rate: float, seconds: float
) -> None:
    """Sends calls at a rate, with the callers in turn for a slice each."""
    running = []
    for _ in range(SLICES_PER_ROUND):
        for caller in callers:
            began = reactor.seconds()
            for index in range(int(rate * seconds / SLICES_PER_ROUND)):
                await sleep(began + index / rate - reactor.seconds())
                running.append(ensureDeferred(caller.call()))
            await gatherResults(running)
            running.clear()


def quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile in milliseconds."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000


async def measure(cluster: Cluster, rate: float, rounds: int, seconds: float):
    """Runs the rounds and prints a line for each."""
    entry, host = cluster.instances.values()
    addresses = (
        f"127.0.0.1:{host.target_port}",
        f"127.0.0.1:{host.call_port}",
        f"127.0.0.1:{entry.call_port}",
    )
    warmup_callers = [Caller(address) for address in addresses]
    await send_calls(warmup_callers, rate, 2.0)
    added = []
    for number in range(rounds):
        callers = [Caller(address) for address in addresses]
        before = [
            instance.node_process.cpu_seconds() for instance in (entry, host)
        ]
        await send_calls(callers, rate, seconds)
        after = [
            instance.node_process.cpu_seconds() for instance in (entry, host)
        ]
        figures = [
            (quantile(c.latencies, 0.5), quantile(c.latencies, 0.99))
            for c in callers
        ]
        (d50, d99), (o50, o99), (t50, t99) = figures
        added.append((o50 - d50, o99 - d99, t50 - d50, t99 - d99))
        cpu = [
            f"{100 * (b - a) / seconds / path_count:.1f}"
            for a, b, path_count in zip(before, after, (1, 2), strict=True)
        ]
        print(
            f"rate {rate:g} round {number}: p50/p99 ms direct {d50:.2f}/"
            f"{d99:.2f}, one node {o50:.2f}/{o99:.2f}, two nodes"
            f" {t50:.2f}/{t99:.2f}; added by two {t50 - d50:.2f}/"
            f"{t99 - d99:.2f}, ratio {t50 / d50:.2f}/{t99 / d99:.2f};"
            f" core % entry, host {', '.join(cpu)};"
            f" failures {sum(c.failures for c in callers)}"
        )
    medians = [statistics.median(column) for column in zip(*added, strict=True)]
    print(
        "rate {:g} median added ms p50/p99: one node {:.2f}/{:.2f},"
        " two nodes {:.2f}/{:.2f}".format(rate, *medians)
    )


def start_cluster(folder: pathlib.Path, span_ratio: float) -> Cluster:
    """Starts an entry node, a host node and its target."""
    cluster = Cluster(folder, relays=1, span_ratio=span_ratio)
    cluster.start_log()
    cluster.add_instance("lima-1", ESFERA.services[0], "1", 0)
    cluster.add_instance("lima-1", ESFERA.services[1], "1", 0)
    cluster.start_all()
    _, host = cluster.instances.values()
    cluster.publish_initial_version(arrangement_document(ESFERA))
    send_request(
        "POST", host.target_port, "/behave", json.dumps({"delay_ms": 0})
    )
    return cluster


@click.command()
@click.option("--rate", "rates", multiple=True, type=float, default=(50, 500))
@click.option("--rounds", type=int, default=5)
@click.option("--seconds", type=float, default=6.0)
@click.option("--span-ratio", type=float, default=1.0)
def main(rates, rounds, seconds, span_ratio) -> None:
    """Measures the time that nodes add to a call."""
    cluster = start_cluster(pathlib.Path(tempfile.mkdtemp()), span_ratio)

    async def run():
        for rate in rates:
            await measure(cluster, rate, rounds, seconds)

    running = ensureDeferred(run())
    running.addErrback(lambda failure: failure.printTraceback())
    running.addBoth(lambda _: reactor.stop())
    try:
        reactor.run()
    finally:
        cluster.kill_all()


if __name__ == "__main__":
    main()
