"""Baseline: every node polls the whole configuration from the log.

    python bench/polling.py [--nodes 100] [--changes 20]

The pollers run in this process and ask the log stand-in, a process of its own,
for the newest record each second.
"""

import json
import random
import time

import click
from twisted.internet import reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import LoopingCall

from fulmarrudder.log import NEWEST_RECORD, HttpLogService
from fulmarrudder_lab.cluster import Cluster
from fulmarrudder_lab.firms import ESFERA, arrangement_of

STREAM = "polled"
PERIOD_S = 1.0
GAP_S = 2.5


class Poller:
    """A node that polls.

    Attributes:
        seen: When it saw each version, in wall-clock seconds.
        taken: Bytes of configuration that it has read.
    """

    def __init__(self, log: HttpLogService):
        self.log = log
        self.seen: dict[int, float] = {}
        self.taken = 0

    async def poll(self) -> None:
        """Reads the newest record."""
        batch = await self.log.read(
            STREAM, start=NEWEST_RECORD, limit=1, wait_ms=0
        )
        for record in batch.records:
            self.taken += len(record.body)
            version = json.loads(record.body)["version"]
            self.seen.setdefault(version, time.time())


def sleep(seconds: float) -> Deferred:
    """Waits in the loop."""
    done: Deferred = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


async def measure(log: HttpLogService, nodes: int, changes: int) -> None:
    """Publishes versions while the pollers poll, and prints what came."""
    rng = random.Random(1)
    pollers = [Poller(log) for _ in range(nodes)]
    for poller in pollers:
        loop = LoopingCall(lambda p=poller: ensureDeferred(p.poll()))
        reactor.callLater(rng.uniform(0.0, PERIOD_S), loop.start, PERIOD_S)
    document = arrangement_of(ESFERA)
    began = {}
    for version in range(1, changes + 1):
        await sleep(GAP_S)
        began[version] = time.time()
        await log.append(
            STREAM, (json.dumps({"version": version, **document}),)
        )
    await sleep(GAP_S)
    delays = sorted(
        poller.seen[version] - at
        for poller in pollers
        for version, at in began.items()
        if version in poller.seen
    )
    span = GAP_S * changes
    rate = sum(poller.taken for poller in pollers) / nodes / span
    print(
        f"polling: {len(delays)} of {nodes * changes} seen; p50"
        f" {delays[len(delays) // 2]:.3f} s, p99"
        f" {delays[int(len(delays) * 0.99)]:.3f} s, worst {delays[-1]:.3f} s;"
        f" {rate:.0f} bytes of configuration a node and second"
    )


@click.command()
@click.option("--nodes", type=int, default=100)
@click.option("--changes", type=int, default=20)
def main(nodes: int, changes: int) -> None:
    """Measures the polling baseline."""
    with Cluster() as cluster:
        log = HttpLogService(reactor, f"http://127.0.0.1:{cluster.log_port}")
        running = ensureDeferred(measure(log, nodes, changes))
        running.addErrback(lambda failure: failure.printTraceback())
        running.addBoth(lambda _: reactor.stop())
        reactor.run()


if __name__ == "__main__":
    main()
