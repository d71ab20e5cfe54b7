"""Gauges of the call path of a node."""

from fulmarrudder.model import Condition
from fulmarrudder.observe import Sample, logs
from fulmarrudder.quotas import FleetQuotas

# Workspaces that are named in metrics, those that are refused most.
NAMED_WORKSPACES = 5


def call_gauges(node) -> tuple[Sample, ...]:
    """Returns the values of gauges about calls, slots and endpoints.

    Args:
        node: A `Node` or a `GossipNode`.
    """
    now = node.clock.seconds()
    presences = [
        presence
        for nodes in node.facts.presences_by_service.values()
        for presence in nodes.values()
    ]
    values = {
        "fulmarrudder_slots_capacity": node.host.slots.capacity,
        "fulmarrudder_endpoints_ready": sum(
            p.condition is Condition.READY for p in presences
        ),
        "fulmarrudder_endpoints_ejected": sum(
            node.balancer.is_ejected(p, now) for p in presences
        ),
        "fulmarrudder_log_lines_dropped_total": logs.dropped_lines(),
    }
    slots = node.host.slots
    if slots.uses_work:
        values["fulmarrudder_target_slowness"] = slots.work.speed.now(now)
        values["fulmarrudder_work_left_seconds"] = slots.work_left_s()
    samples = (
        Sample(name=name, labels=(), value=value)
        for name, value in values.items()
    )
    return (*samples, *in_flight_gauges(node))


def in_flight_gauges(node) -> tuple[Sample, ...]:
    """Returns the number of calls under way by role.

    Args:
        node: A `Node` or a `GossipNode`.
    """
    counts = {"entry": node.calls.active, "host": node.host.in_flight}
    return tuple(
        Sample(
            name="fulmarrudder_in_flight",
            labels=(("role", role),),
            value=value,
        )
        for role, value in counts.items()
    )


def quota_gauges(quotas: FleetQuotas) -> tuple[Sample, ...]:
    """Returns the values of gauges about quotas; none without limits."""
    if not quotas.has_limits:
        return ()
    silent = Sample(
        name="fulmarrudder_quota_silent_data_centres",
        labels=(),
        value=len(quotas.view.silent),
    )
    refused = (
        Sample(
            name="fulmarrudder_quota_refused",
            labels=(("workspace", workspace),),
            value=requests,
        )
        for workspace, requests in quotas.refusals.most_common(NAMED_WORKSPACES)
    )
    return (silent, *refused)
