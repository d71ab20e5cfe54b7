"""Slopes: fits, timings and things to grow, for docs/CAPACITY.md.

Each row that is printed: what grows, slope, value at nought, fit error (largest
distance from the line, in parts of the largest value), sizes and values.
"""

import gc
import statistics
import time
import tracemalloc

from fulmarrudder.log import Envelope, RawRecord, decode_record
from fulmarrudder.log import encode_envelope as encode_record
from fulmarrudder.model import (
    Amend,
    Arrangement,
    Condition,
    Presence,
    Publish,
    Route,
    Service,
)
from fulmarrudder.state_machine import EMPTY, State, apply

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


def arrangement(services: int, routes: int = 2) -> Arrangement:
    """Returns an arrangement with some routes a service."""
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
                prefix="/" if j == 0 else f"/orders-{j}",
                service=f"service-{i:04d}",
                callers=(f"service-{(i * 7) % services:04d}",),
            )
            for i in range(services)
            for j in range(routes)
        ),
    )


def raw(offset: int, body) -> RawRecord:
    """Returns a raw record."""
    text = encode_record(Envelope(id=f"id-{offset:032d}", body=body))
    return RawRecord(offset=offset, body=text)


def state_with(services: int, routes: int = 2) -> State:
    """Returns a state with an arrangement in force."""
    made = arrangement(services, routes)
    body = Publish(operator="lab", expected=0, arrangement=made)
    return apply(EMPTY, decode_record(raw(0, body))).state


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
