"""Border of the machine's settings file."""

import dataclasses
import json
import pathlib

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.platform.errors import SettingsError
from fulmarrudder.platform.field_types import (
    Address,
    Milliseconds,
    Name,
    PlatformModel,
    list_faults,
)

# Ports of `portRange` that this program listens on, by their position.
MESH_PORT = 0
METRICS_PORT = 1


class _Listen(PlatformModel):
    outbound: Address
    inbound: Address
    readiness: Address = pydantic.Field(alias="readinessAddr")
    control: Address


class _Bounds(PlatformModel):
    drain: Milliseconds = 2_000.0
    grace: Milliseconds = 6_000.0
    retry_ratio: float = pydantic.Field(0.2, alias="retryBudgetRatio")
    retry_slack: float = pydantic.Field(50.0, alias="budgetSlack")


class _Store(PlatformModel):
    address: Address


class _Machine(PlatformModel):
    node: Name = pydantic.Field(alias="nodeId")
    zone: Name
    ip: Name
    listen: _Listen
    ports: list[int] = pydantic.Field(alias="portRange", min_length=2)
    target: Address = pydantic.Field(alias="appAddr")
    service: Name
    bounds: _Bounds
    store: _Store = pydantic.Field(alias="platform")
    log_level: str = "info"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MachineSettings:
    """What the machine's settings say to this program.

    Attributes:
        node: Id of this node.
        data_centre: Where it runs.
        service: Service of the target beside it.
        target_address: Where that target listens.
        call_address: Where the machine's callers and its target call.
        host_address: Where other nodes send calls for the target.
        readiness_address: Where readiness is asked for.
        heartbeat_address: Where the target announces itself.
        mesh_address: Where other nodes open links.
        metrics_address: Where metrics are served.
        store_address: Where the platform's store listens.
        drain_s: Seconds after which a leaving target may get nothing.
        grace_period_s: Seconds from the signal to stop until the process is killed.
        retry_ratio: Retries that all nodes may make, by requests.
        retry_slack: Retries that they may make beyond that.
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
    grace_period_s: float
    retry_ratio: float
    retry_slack: float
    log_level: str


def parse_machine_settings(text: str) -> Result[MachineSettings, SettingsError]:
    """Checks the contents of a settings file.

    Args:
        text: JSON.

    Returns:
        The settings, or every fault with its path.
    """
    try:
        model = _Machine.model_validate(json.loads(text))
    except json.JSONDecodeError as error:
        return Error(SettingsError((f"not JSON: {error}",)))
    except pydantic.ValidationError as error:
        return Error(SettingsError(list_faults(error)))
    first = model.ports[0]
    return Ok(
        MachineSettings(
            node=model.node,
            data_centre=model.zone,
            service=model.service,
            target_address=model.target,
            call_address=model.listen.outbound,
            host_address=model.listen.inbound,
            readiness_address=model.listen.readiness,
            heartbeat_address=model.listen.control,
            mesh_address=f"{model.ip}:{first + MESH_PORT}",
            metrics_address=f"{model.ip}:{first + METRICS_PORT}",
            store_address=model.store.address,
            drain_s=model.bounds.drain / 1000,
            grace_period_s=model.bounds.grace / 1000,
            retry_ratio=model.bounds.retry_ratio,
            retry_slack=model.bounds.retry_slack,
            log_level=model.log_level,
        )
    )


def load_machine_settings(
    path: pathlib.Path,
) -> Result[MachineSettings, SettingsError]:
    """Reads and checks a settings file."""
    try:
        text = path.read_text()
    except OSError as error:
        return Error(SettingsError((f"{path}: {error.strerror}",)))
    return parse_machine_settings(text)
