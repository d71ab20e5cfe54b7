"""Measures slopes of functions for docs/CAPACITY.md.

    python bench/functions.py

Grows one thing at a time and measures processor time or bytes at each size.
"""

import click
from twisted.internet.task import Clock

from fulmarrudder.call import RouteTable
from fulmarrudder.call.claim_index import ClaimIndex
from fulmarrudder.call.message import Headers, RequestHead
from fulmarrudder.distribution.codec import decode, encode
from fulmarrudder.distribution.message import Delta, FactBatch, Snapshot
from fulmarrudder.log import Envelope, decode_record, decode_state, encode_state
from fulmarrudder.log import encode_envelope as encode_record
from fulmarrudder.membership import FactStore
from fulmarrudder.model import (
    ClaimDuty,
    ClaimKey,
    Evidence,
    Publish,
    StartMove,
    Tally,
)
from fulmarrudder.move import Monitor
from fulmarrudder.state_machine import EMPTY, apply
from slopes import (
    allocated,
    amendment,
    arrangement,
    presences,
    raw,
    row,
    state_with,
    timed,
)

SIZES = (200, 800, 1700, 3400)
SOURCES = 6
ROUTES = 2
HOUR_S = 3600.0


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
        [len(encode(Snapshot(state=s))) for s in states],
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
    record = decode_record(amendment(1))
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
            encode(FactBatch(facts=facts[i : i + 500]))
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
    one = encode(FactBatch(facts=presences(1)))
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
                index.apply(offset, envelope)
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


def by_routes() -> None:
    """Grows the routes of 200 services."""
    sizes = (2, 4, 8, 16)
    memory, folded, built = [], [], []
    record = decode_record(amendment(1))
    for count in sizes:
        state, size = allocated(lambda count=count: state_with(200, count))
        memory.append(size)
        folded.append(timed(lambda s=state: apply(s, record), 3))
        built.append(
            timed(lambda s=state: RouteTable(s.arrangement, "service-0007"))
        )
    routes = [200 * count for count in sizes]
    row("state in memory, by routes", "bytes a route", routes, memory)
    row("one change folded, by routes", "us a route", routes, folded, 1e6)
    row("route table built, by routes", "us a route", routes, built, 1e6)


def by_records() -> None:
    """Grows the records that are folded after a start."""
    sizes = (250, 500, 1000, 2000)
    records = [decode_record(amendment(i)) for i in range(1, sizes[-1] + 1)]
    first = state_with(3)

    def fold(count: int):
        state = first
        for record in records[:count]:
            state = apply(state, record).state
        return state

    took = [timed(lambda count=count: fold(count)) for count in sizes]
    row("records folded, 3 services", "us a record", sizes, took, 1e6)
    kept = [allocated(lambda count=count: fold(count))[1] for count in sizes]
    row("state after records, 3 services", "bytes a record", sizes, kept)


def evidence(service: str, source: int, second: int) -> Evidence:
    """Returns what a node has counted by a second of a move."""
    return Evidence(
        source=f"node-{source}",
        incarnation=1,
        sequence=second,
        tallies=tuple(
            Tally(
                service=service,
                target_version=version,
                route=f"route-{route}",
                requests=40 * second,
                failures=second // 20,
                latency_buckets=(0, 0, 20 * second, 20 * second) + (0,) * 12,
            )
            for version in ("1", "2")
            for route in range(ROUTES)
        ),
    )


def by_moves() -> None:
    """Grows the open moves that a relay judges each second."""
    sizes = (1, 4, 16, 64)
    took = []
    for count in sizes:
        bodies = [
            Publish(operator="lab", expected=0, arrangement=arrangement(64)),
            ClaimDuty(
                duty="controller",
                holder="n/1",
                data_centre="dc",
                mesh_address="a:1",
                admin_address="a:2",
                expected_term=0,
            ),
        ]
        bodies += [
            StartMove(
                move=f"move-{i}",
                operator="lab",
                service=f"service-{i:04d}",
                to_version="2",
                expected=1,
                deadline=HOUR_S,
            )
            for i in range(count)
        ]
        state = EMPTY
        for offset, body in enumerate(bodies):
            state = apply(state, decode_record(raw(offset, body))).state
        assert len(state.moves) == count
        took.append(timed(lambda s=state, c=count: judged(s, c)) / SECONDS)
    row("moves judged for a second", "ms a move", sizes, took, 1e3)


SECONDS = 40


def judged(state, count: int) -> None:
    """Judges moves for some seconds of evidence."""
    clock = Clock()
    monitor = Monitor(clock, FactStore(), lambda brake: None)
    monitor.sync_moves(state)
    for second in range(1, SECONDS + 1):
        clock.advance(1.0)
        for index in range(count):
            for source in range(SOURCES):
                monitor.add_evidence(
                    evidence(f"service-{index:04d}", source, second)
                )
        monitor.tick()


@click.command()
def main() -> None:
    """Measures slopes of functions."""
    by_services()
    by_routes()
    by_records()
    by_presences()
    by_claims()
    by_moves()


if __name__ == "__main__":
    main()
