"""Linear fits, measurements and inputs of varying size for docs/CAPACITY.md.

A printed row holds: description, slope, intercept ("at nought"), fit error (the
largest residual as a fraction of the largest value), sizes and values.
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
from fulmarrudder.state_machine import EMPTY_STATE, State, apply

REPEATS = 5


def print_fit(
    description: str, unit: str, sizes, values, scale: float = 1.0
) -> None:
    """Fits a line to values by size and prints a row."""
    values = [value * scale for value in values]
    slope, intercept = statistics.linear_regression(sizes, values)
    largest = max(abs(v) for v in values) or 1.0
    error = max(
        abs(v - (intercept + slope * s))
        for s, v in zip(sizes, values, strict=True)
    )
    formatted = ", ".join(f"{v:.4g}" for v in values)
    print(
        f"{description}: slope {slope:.4g} {unit}, at nought {intercept:.4g},"
        f" fit error {error / largest:.0%}; sizes {list(sizes)},"
        f" values {formatted}",
        flush=True,
    )


def min_cpu_s(call, count: int = 1) -> float:
    """Returns the minimum CPU time of a call over `REPEATS`, in seconds."""
    best = float("inf")
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time()
        for _ in range(count):
            call()
        best = min(best, (time.process_time() - began) / count)
    return best


def measure_memory(make):
    """Returns the result of a call and the bytes allocated for it."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, size


def arrangement(services: int, routes: int = 2) -> Arrangement:
    """Returns an arrangement with a number of routes per service."""
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


def raw_record(offset: int, body) -> RawRecord:
    """Returns a raw record."""
    text = encode_record(Envelope(id=f"id-{offset:032d}", body=body))
    return RawRecord(offset=offset, body=text)


def make_state(services: int, routes: int = 2) -> State:
    """Returns a state with an active arrangement."""
    made = arrangement(services, routes)
    body = Publish(operator="lab", expected=0, arrangement=made)
    return apply(EMPTY_STATE, decode_record(raw_record(0, body))).state


def amendment(offset: int) -> RawRecord:
    """Returns a record that changes one route."""
    route = Route(
        name="route-0000-0",
        host="service-0000.example",
        prefix="/",
        service="service-0000",
        timeout_ms=1_000 + offset,
    )
    return raw_record(
        offset, Amend(operator="lab", expected=1, routes=(route,))
    )


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
