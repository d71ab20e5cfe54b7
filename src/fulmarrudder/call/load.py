"""Decision: what a host node reports of the load of its target."""

from fulmarrudder.call.endpoint_stats import LoadReport
from fulmarrudder.call.slots import Slots
from fulmarrudder.placement import Circuit, class_of
from fulmarrudder.placement.circuit import PROBE_PERIOD_S

# A rank that goes behind all others.
LEAST_URGENT = 1_000_000


def load_of(slots: Slots) -> int:
    """Returns the number of requests that run or wait for a slot."""
    return slots.taken + slots.queued


def load_report(
    slots: Slots, circuit: Circuit, now: float, *, route: str, body_bytes: int
) -> LoadReport:
    """Returns the load of a target, for requests of a class.

    Args:
        slots: Slots of the target.
        circuit: Whether the target answers at all.
        now: Clock seconds.
        route: Name of their route.
        body_bytes: Size of their bodies.
    """
    if not slots.uses_work:
        service_time_s = slots.service_time(route)
        return LoadReport(load=load_of(slots), service_time_s=service_time_s)
    work = slots.work
    load, wait_s = load_of(slots), slots.expected_wait(LEAST_URGENT)
    if circuit.is_open:
        # A target that fails fast is idle, and has no room all the same.
        load, wait_s = max(load, slots.capacity), PROBE_PERIOD_S
    return LoadReport(
        load=load,
        service_time_s=work.usual_s(class_of(route, body_bytes)),
        wait_s=wait_s,
        slowness=work.speed.now(now) / work.speed.average,
    )
