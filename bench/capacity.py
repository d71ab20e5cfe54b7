"""Measures slopes for docs/CAPACITY.md.

    python bench/capacity.py

Grows one thing at a time, measures processor time or bytes at each size, and
fits a line. Each row: what grows, sizes, slope, value at nought, fit error
(largest distance from the line, in parts of the largest value).
"""

import gc
import json
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import click  # noqa: E402

from calls import prepare  # noqa: E402
from fulmarrudder.call import RouteTable  # noqa: E402
from fulmarrudder.call.claimindex import ClaimIndex  # noqa: E402
from fulmarrudder.call.message import Headers, RequestHead  # noqa: E402
from fulmarrudder.distribution.codec import decode, encode  # noqa: E402
from fulmarrudder.distribution.message import (  # noqa: E402
    Delta,
    Spread,
    Whole,
)
from fulmarrudder.fold import EMPTY, State, apply  # noqa: E402
from fulmarrudder.log import (  # noqa: E402
    Envelope,
    RawRecord,
    decode_state,
    encode_state,
    record_from,
)
from fulmarrudder.log import encode as encode_record  # noqa: E402
from fulmarrudder.membership import FactStore  # noqa: E402
from fulmarrudder.model import (  # noqa: E402
    Amend,
    Arrangement,
    ClaimKey,
    Condition,
    Presence,
    Publish,
    Route,
    Service,
)
from fulmarrudder_lab.cluster import Cluster  # noqa: E402

SIZES = (200, 800, 1700, 3400)
REPEATS = 5


def row(what: str, unit: str, sizes, values, scale: float = 1.0) -> None:
    """Fits a line and prints it."""
    values = [value * scale for value in values]
    slope, nought = statistics.linear_regression(sizes, values)
    largest = max(abs(v) for v in values) or 1.0
    error = max(
        abs(v - (nought + slope * s))
        for s, v in zip(sizes, values, strict=True)
    )
    shown = ", ".join(f"{v:.4g}" for v in values)
    print(
        f"{what}: slope {slope:.4g} {unit}, at nought {nought:.4g}, fit error"
        f" {error / largest:.0%}; sizes {list(sizes)}, values {shown}",
        flush=True,
    )


def timed(call, count: int = 1) -> float:
    """Returns the least processor seconds of a call over repeats."""
    best = float("inf")
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time()
        for _ in range(count):
            call()
        best = min(best, (time.process_time() - began) / count)
    return best


def allocated(make):
    """Returns what a call makes and the bytes that it keeps."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


def arrangement(services: int) -> Arrangement:
    """Returns an arrangement with two routes a service."""
    return Arrangement(
        services=tuple(
            Service(
                name=f"service-{i:04d}",
                target_versions=("1", "2"),
                initial="1",
            )
            for i in range(services)
        ),
        routes=tuple(
            Route(
                name=f"route-{i:04d}-{j}",
                host=f"service-{i:04d}.example",
                prefix=("/", "/orders")[j],
                service=f"service-{i:04d}",
                callers=(f"service-{(i * 7) % services:04d}",),
            )
            for i in range(services)
            for j in range(2)
        ),
    )


def raw(offset: int, body) -> RawRecord:
    """Returns a raw record."""
    text = encode_record(Envelope(id=f"id-{offset:032d}", body=body))
    return RawRecord(offset=offset, body=text)


def state_with(services: int) -> State:
    """Returns a state with an arrangement in force."""
    body = Publish(
        operator="lab", expected=0, arrangement=arrangement(services)
    )
    return apply(EMPTY, record_from(raw(0, body))).state


def amendment(offset: int) -> RawRecord:
    """Returns a change of one route."""
    route = Route(
        name="route-0000-0",
        host="service-0000.example",
        prefix="/",
        service="service-0000",
        timeout_ms=1_000 + offset,
    )
    return raw(offset, Amend(operator="lab", expected=1, routes=(route,)))


def presences(count: int) -> tuple[Presence, ...]:
    """Returns presences, six of each service."""
    return tuple(
        Presence(
            node=f"dc-{i % 23:02d}-node-{i:05d}",
            incarnation=1_796_000_000_000 + i,
            sequence=2,
            data_centre=f"dc-{i % 23:02d}",
            call_address=f"10.0.{i // 250}.{i % 250}:7100",
            mesh_address=f"10.0.{i // 250}.{i % 250}:7101",
            service=f"service-{i // 6:04d}",
            target_version="1",
            condition=Condition.READY,
            slots=18,
        )
        for i in range(count)
    )


def by_services() -> None:
    """Grows the arrangement."""
    states = []
    memory = []
    for count in SIZES:
        state, size = allocated(lambda count=count: state_with(count))
        states.append(state)
        memory.append(size)
    row("state in memory, by services", "bytes a service", SIZES, memory)
    texts = [encode_state(s) for s in states]
    row(
        "snapshot as JSON in the log, by services",
        "bytes a service",
        SIZES,
        [len(t) for t in texts],
    )
    row(
        "whole state on a link, by services",
        "bytes a service",
        SIZES,
        [len(encode(Whole(state=s))) for s in states],
    )
    row(
        "snapshot encoded, by services",
        "us a service",
        SIZES,
        [timed(lambda s=s: encode_state(s)) for s in states],
        1e6,
    )
    row(
        "snapshot decoded, by services",
        "us a service",
        SIZES,
        [timed(lambda t=t: decode_state(t)) for t in texts],
        1e6,
    )
    record = record_from(amendment(1))
    row(
        "one change folded, by services",
        "us a service",
        SIZES,
        [timed(lambda s=s: apply(s, record), 3) for s in states],
        1e6,
    )
    row(
        "route table built, by services",
        "us a service",
        SIZES,
        [
            timed(lambda s=s: RouteTable(s.arrangement, "service-0007"))
            for s in states
        ],
        1e6,
    )
    head = RequestHead(
        method=b"GET",
        target=b"/orders/1",
        headers=Headers(((b"host", b"service-0001.example"),)),
    )
    tables = [RouteTable(s.arrangement, "service-0007") for s in states]
    row(
        "route matched, by services",
        "us a service",
        SIZES,
        [timed(lambda t=t: t.match(head), 2000) for t in tables],
        1e6,
    )
    delta = Delta(after=0, digest="d" * 32, records=(amendment(1),))
    data = encode(delta)
    print(
        f"one change on a link: {len(data)} bytes; in the log:"
        f" {len(amendment(1).body)} bytes"
    )
    print(
        f"one change encoded {timed(lambda: encode(delta), 200) * 1e6:.0f}"
        f" us, decoded {timed(lambda: decode(data), 200) * 1e6:.0f} us"
    )


def by_presences() -> None:
    """Grows the directory."""
    sizes = (60, 600, 2400, 6000)
    memory, wire, joined = [], [], []
    for count in sizes:
        facts = presences(count)
        data = [
            encode(Spread(facts=facts[i : i + 500]))
            for i in range(0, count, 500)
        ]

        def filled(data=data) -> FactStore:
            store = FactStore()
            for part in data:
                for fact in decode(part).ok.facts:
                    store.merge(fact, 0.0)
            return store

        _, size = allocated(filled)
        memory.append(size)
        wire.append(sum(len(part) for part in data))
        joined.append(timed(filled))
    row("directory in memory", "bytes a presence", sizes, memory)
    row("directory on a link", "bytes a presence", sizes, wire)
    row("directory taken in", "us a presence", sizes, joined, 1e6)
    one = encode(Spread(facts=presences(1)))
    print(f"one presence on a link: {len(one)} bytes")


def by_claims() -> None:
    """Grows a service's index of idempotency claims."""
    sizes = (500, 2000, 8000, 20000)
    memory, folded = [], []
    for count in sizes:
        envelopes = [
            Envelope(
                id=f"{i:032x}",
                body=ClaimKey(key=f"key-{i:032d}", fingerprint=f"{i:024x}"),
            )
            for i in range(count)
        ]

        def filled(envelopes=envelopes) -> ClaimIndex:
            index = ClaimIndex()
            for offset, envelope in enumerate(envelopes):
                index.fold(offset, envelope)
            return index

        _, size = allocated(filled)
        memory.append(size)
        folded.append(timed(filled))
    row("claims in memory, unsettled", "bytes a claim", sizes, memory)
    row("claims folded", "us a claim", sizes, folded, 1e6)
    text = encode_record(
        Envelope(id="0" * 32, body=ClaimKey(key="k" * 36, fingerprint="f" * 24))
    )
    print(f"one claim in the log: {len(text)} bytes")


def load(port: int, rate: int, seconds: int) -> dict:
    """Runs the load tool against a node."""
    command = [
        sys.executable,
        "-m",
        "fulmarrudder_lab.load",
        "--rate",
        str(rate),
        "--seconds",
        str(seconds),
        "--path",
        "/quotes/1",
        "--port",
        str(port),
    ]
    done = subprocess.run(command, capture_output=True, check=True, text=True)
    return json.loads(done.stdout)


def by_calls(cluster: Cluster) -> None:
    """Grows the calls a second through two nodes."""
    rates = (25, 50, 100, 200)
    entry, host = cluster.slots.values()
    used = {"entry": [], "host": []}
    for rate in rates:
        before = [s.node_process.cpu_seconds() for s in (entry, host)]
        load(entry.call, rate, 5)
        after = [s.node_process.cpu_seconds() for s in (entry, host)]
        for role, b, a in zip(used, before, after, strict=True):
            used[role].append((a - b) / 5)
    for role, values in used.items():
        row(
            f"{role} node, by calls a second",
            "% of a core a call",
            rates,
            values,
            100,
        )
    resident = [s.node_process.resident_bytes() / 2**20 for s in (entry, host)]
    print(f"resident after load, MB: {resident[0]:.0f}, {resident[1]:.0f}")


def idle(cluster: Cluster) -> None:
    """Measures nodes that nobody calls: a relay and the node below it."""
    slots = list(cluster.slots.values())
    before = [s.node_process.cpu_seconds() for s in slots]
    time.sleep(10.0)
    after = [s.node_process.cpu_seconds() for s in slots]
    for slot, b, a in zip(slots, before, after, strict=True):
        duties = cluster.gauge(slot, "fulmarrudder_duties_held")
        print(
            f"idle node with {duties:.0f} duties: {(a - b) * 10:.1f}% of a"
            f" core, {slot.node_process.resident_bytes() / 2**20:.0f} MB"
        )


@click.command()
@click.option("--processes/--no-processes", default=True)
def main(processes: bool) -> None:
    """Measures slopes."""
    random.seed(1)
    by_services()
    by_presences()
    by_claims()
    if not processes:
        return
    cluster = prepare(pathlib.Path(tempfile.mkdtemp()), 0.01)
    try:
        idle(cluster)
        by_calls(cluster)
    finally:
        cluster.kill_all()


if __name__ == "__main__":
    main()
