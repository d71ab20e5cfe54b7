"""Parses and validates the machine's settings file."""

import dataclasses
import json
import math
import pathlib

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.address import Address
from fulmarrudder.platform.errors import SettingsError
from fulmarrudder.platform.field_types import (
    Milliseconds,
    Name,
    PlatformModel,
    list_faults,
)

# Positions in `portRange` of the ports that this program listens on.
MESH_PORT_INDEX = 0
METRICS_PORT_INDEX = 1
BYTES_PER_MEGABIT = 125_000
BYTES_PER_MEGABYTE = 1_000_000


class _Listen(PlatformModel):
    outbound: Address
    inbound: Address
    readiness: Address = pydantic.Field(alias="readinessAddr")
    control: Address


class _Bounds(PlatformModel):
    drain: Milliseconds = 2_000.0
    grace: Milliseconds = 6_000.0
    config_apply: Milliseconds = pydantic.Field(
        2_000.0, alias="configApply", gt=0
    )
    retry_ratio: float = pydantic.Field(0.2, alias="retryBudgetRatio")
    retry_slack: float = pydantic.Field(50.0, alias="budgetSlack")
    fail_closed: bool = pydantic.Field(False, alias="revokeFailClosed")
    revoke: Milliseconds = 5_000.0
    cold_excess: float = pydantic.Field(1.0, alias="coldExcess", gt=0)
    quota_window: Milliseconds = pydantic.Field(
        5_000.0, alias="quotaWindow", gt=0
    )
    quota_excess: float = pydantic.Field(0.1, alias="quotaExcess", ge=0)
    quota_slack: float = pydantic.Field(20.0, alias="quotaSlack", ge=0)


class _Limits(PlatformModel):
    link_mbps: float = pydantic.Field(math.inf, alias="linkMbps", gt=0)
    memory_mb: float = pydantic.Field(math.inf, alias="memoryMb", gt=0)
    descriptors: float = pydantic.Field(math.inf, alias="maxFds", gt=0)


class _StoreSettings(PlatformModel):
    address: Address


class _SettingsFile(PlatformModel):
    node: Name = pydantic.Field(alias="nodeId")
    zone: Name
    ip: Name
    listen: _Listen
    port_range: list[int] = pydantic.Field(alias="portRange", min_length=2)
    target_address: Address = pydantic.Field(alias="appAddr")
    service: Name
    bounds: _Bounds
    limits: _Limits = _Limits()
    store: _StoreSettings = pydantic.Field(alias="platform")
    log_level: str = "info"
    bootstrap: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MachineSettings:
    """Settings of the node on this machine.

    Attributes:
        node: Id of this node.
        data_centre: Data centre of the machine.
        service: Service of the local target.
        target_address: Where the local target listens.
        call_address: Where the node accepts calls from this machine.
        host_address: Where the node accepts calls of other nodes for the local
            target.
        readiness_address: Where the node answers readiness probes.
        heartbeat_address: Where the node receives heartbeats of the target.
        mesh_address: Where the node accepts links of other nodes.
        metrics_address: Where the node serves its metrics.
        store_address: Where the platform's store listens.
        drain_s: Seconds after which a leaving target must receive no requests.
        config_apply_s: Seconds within which an acknowledged configuration
            version is in force on every node.
        grace_period_s: Seconds from the stop signal until the process is
            killed.
        retry_ratio: Retry budget of all nodes together, as a ratio of retries
            to requests.
        retry_slack: Retries that they may make beyond the ratio.
        link_bytes_per_s: Speed of the instance's network link; infinite when
            it is not known.
        memory_bytes: Memory of the process; infinite when it is not known.
        descriptors: Descriptors of the process; the same.
        log_level: Lowest level of the lines that are logged.
        first_start: Whether the whole fleet may be starting for the first
            time.
        fail_closed: Whether requests that need a key are refused while the
            configuration is not confirmed.
        revoke_s: Seconds without a confirmation after which that is so.
        cold_excess: Requests that a cold target may get for each that its
            service names.
        quota_window_s: Seconds over which a workspace's requests are counted.
        quota_excess: Part by which a workspace may exceed its quota in that time.
        quota_slack: Requests by which it may exceed its quota in that time.
    """

    node: str
    data_centre: str
    service: str
    target_address: str
    call_address: str
    host_address: str
    readiness_address: str
    heartbeat_address: str
    mesh_address: str
    metrics_address: str
    store_address: str
    drain_s: float
    config_apply_s: float
    grace_period_s: float
    retry_ratio: float
    retry_slack: float
    link_bytes_per_s: float
    memory_bytes: float
    descriptors: float
    log_level: str
    first_start: bool = True
    fail_closed: bool = False
    revoke_s: float = 5.0
    cold_excess: float = 1.0
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0


def parse_machine_settings(text: str) -> Result[MachineSettings, SettingsError]:
    """Parses and validates the contents of a settings file.

    Args:
        text: JSON.

    Returns:
        The settings, or every validation error with its path.
    """
    try:
        model = _SettingsFile.model_validate(json.loads(text))
    except (json.JSONDecodeError, RecursionError) as error:
        return Error(SettingsError((f"not JSON: {error}",)))
    except pydantic.ValidationError as error:
        return Error(SettingsError(list_faults(error)))
    first_port = model.port_range[0]
    return Ok(
        MachineSettings(
            node=model.node,
            data_centre=model.zone,
            service=model.service,
            target_address=model.target_address,
            call_address=model.listen.outbound,
            host_address=model.listen.inbound,
            readiness_address=model.listen.readiness,
            heartbeat_address=model.listen.control,
            mesh_address=f"{model.ip}:{first_port + MESH_PORT_INDEX}",
            metrics_address=f"{model.ip}:{first_port + METRICS_PORT_INDEX}",
            store_address=model.store.address,
            drain_s=model.bounds.drain / 1000,
            config_apply_s=model.bounds.config_apply / 1000,
            grace_period_s=model.bounds.grace / 1000,
            retry_ratio=model.bounds.retry_ratio,
            retry_slack=model.bounds.retry_slack,
            link_bytes_per_s=model.limits.link_mbps * BYTES_PER_MEGABIT,
            memory_bytes=model.limits.memory_mb * BYTES_PER_MEGABYTE,
            descriptors=model.limits.descriptors,
            log_level=model.log_level,
            first_start=model.bootstrap,
            fail_closed=model.bounds.fail_closed,
            revoke_s=model.bounds.revoke / 1000,
            cold_excess=model.bounds.cold_excess,
            quota_window_s=model.bounds.quota_window / 1000,
            quota_excess=model.bounds.quota_excess,
            quota_slack=model.bounds.quota_slack,
        )
    )


def load_machine_settings(
    path: pathlib.Path,
) -> Result[MachineSettings, SettingsError]:
    """Reads and validates a settings file."""
    try:
        text = path.read_text()
    except OSError as error:
        return Error(SettingsError((f"{path}: {error.strerror}",)))
    return parse_machine_settings(text)
