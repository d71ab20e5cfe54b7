"""Settings of the daemon: parsing and validation of the settings file."""

import dataclasses
import json
import pathlib
from typing import Annotated, Literal

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.address import Address
from fulmarrudder.node.errors import SettingsError

MIN_TOKEN_LENGTH = 16
Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Token = Annotated[
    str, pydantic.Field(min_length=MIN_TOKEN_LENGTH, pattern=r"^[!-~]+$")
]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")


class AddressesModel(_StrictModel):
    """Addresses that the node listens on, host:port."""

    call: Address
    mesh: Address
    admin: Address


class TokensModel(_StrictModel):
    """Secrets; they are never logged."""

    mesh: Token
    operators: dict[Name, Token] = pydantic.Field(min_length=1)


class SettingsModel(_StrictModel):
    """The settings file."""

    node: Name
    data_centre: Name
    addresses: AddressesModel
    log_url: Annotated[str, pydantic.Field(pattern=r"^http://[^/]+$")]
    seeds: list[Address] = []
    tokens: TokensModel
    relays: Annotated[int, pydantic.Field(ge=1, le=16)] = 2
    degree: Annotated[int, pydantic.Field(ge=1, le=256)] = 16
    span_ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.01
    log_level: Literal["debug", "info", "warning", "error"] = "info"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Operator:
    """An operator and the token that authenticates it."""

    name: str
    token: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one node.

    Attributes:
        node: Unique node id.
        data_centre: Data centre that the node runs in.
        call_address: host:port for calls.
        mesh_address: host:port for links of other nodes.
        admin_address: host:port for the target, operators and metrics.
        log_url: URL of the platform's log service.
        seeds: Mesh addresses to try before any relay is known.
        mesh_token: Token that authenticates nodes to each other.
        operators: Operators that may send commands.
        relays: Number of relay duties per data centre.
        degree: Maximum number of children per node.
        span_ratio: Share of traces started at this node that is sampled.
        log_level: Lowest level that is logged.
    """

    node: str
    data_centre: str
    call_address: str
    mesh_address: str
    admin_address: str
    log_url: str
    seeds: tuple[str, ...]
    mesh_token: str = dataclasses.field(repr=False)
    operators: tuple[Operator, ...]
    relays: int
    degree: int
    span_ratio: float
    log_level: str


def parse_settings(text: str) -> Result[Settings, SettingsError]:
    """Parses and validates settings.

    Args:
        text: Contents of the settings file, JSON.

    Returns:
        The settings, or all validation errors, each with its path.
    """
    try:
        model = SettingsModel.model_validate(json.loads(text))
    except json.JSONDecodeError as error:
        return Error(SettingsError((f"not JSON: {error}",)))
    except pydantic.ValidationError as error:
        return Error(SettingsError(_list_faults(error)))
    operators = tuple(
        Operator(name=name, token=token)
        for name, token in sorted(model.tokens.operators.items())
    )
    return Ok(
        Settings(
            node=model.node,
            data_centre=model.data_centre,
            call_address=model.addresses.call,
            mesh_address=model.addresses.mesh,
            admin_address=model.addresses.admin,
            log_url=model.log_url,
            seeds=tuple(model.seeds),
            mesh_token=model.tokens.mesh,
            operators=operators,
            relays=model.relays,
            degree=model.degree,
            span_ratio=model.span_ratio,
            log_level=model.log_level,
        )
    )


def load_settings(path: pathlib.Path) -> Result[Settings, SettingsError]:
    """Reads and validates a settings file."""
    try:
        text = path.read_text()
    except OSError as error:
        return Error(SettingsError((f"{path}: {error.strerror}",)))
    return parse_settings(text)


def _list_faults(error: pydantic.ValidationError) -> tuple[str, ...]:
    lines = []
    for fault in error.errors(include_input=False, include_url=False):
        path = ".".join(str(part) for part in fault["loc"]) or "(top)"
        lines.append(f"{path}: {fault['msg']}")
    return tuple(lines)
