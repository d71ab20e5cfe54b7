"""Pipeline from a caller's bytes to a target, and the answer back.

Left to right: `server` and `codec`, `screen`, `route`, `suspects`, `share`,
`choose`, `entry` which tries, `hop` to another node, `host` which admits and
claims, `upstream` to the target.
"""

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.choose import Chooser
from fulmarrudder.call.collect import Collector
from fulmarrudder.call.dialect import OWN, Dialect
from fulmarrudder.call.entry import Entry, InForce
from fulmarrudder.call.errors import CallError
from fulmarrudder.call.host import HostPipeline
from fulmarrudder.call.message import Framing, Headers, RequestHead
from fulmarrudder.call.route import RouteTable, reachable
from fulmarrudder.call.server import CallFactory
from fulmarrudder.call.upstream import Connection, ConnectionPool

__all__ = [
    "CallError",
    "CallFactory",
    "Chooser",
    "Collector",
    "Connection",
    "Dialect",
    "Entry",
    "Framing",
    "Headers",
    "HostPipeline",
    "InForce",
    "OWN",
    "ConnectionPool",
    "RequestBody",
    "RequestHead",
    "RouteTable",
    "reachable",
]
