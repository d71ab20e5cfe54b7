"""Addresses of listeners, as they are read at a border."""

import ipaddress
from typing import Annotated

import pydantic

MAX_PORT = 65_535


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError("port is out of range")
    return value


# host:port with an IPv4 address, to which a connection can be opened as it is.
Address = Annotated[
    str,
    pydantic.Field(pattern=r"^[0-9.]+:\d{1,5}$"),
    pydantic.AfterValidator(_check_address),
]
