"""Pipeline from a caller's bytes to a target, and the answer back.

Left to right: `server` and `codec`, `screen`, `route`, `poison`, `version_split`,
`load_balancer`, `entry` which tries, `hop` to another node, `host` which admits and
claims, `upstream` to the target.
"""

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.collector import BodyCollector
from fulmarrudder.call.dialect import OWN, Dialect
from fulmarrudder.call.entry import ActiveConfig, EntryPipeline
from fulmarrudder.call.errors import CallError
from fulmarrudder.call.host import HostPipeline
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.message import Framing, Headers, RequestHead
from fulmarrudder.call.route import RouteTable, reachable_services
from fulmarrudder.call.server import CallFactory
from fulmarrudder.call.upstream import Connection, ConnectionPool

__all__ = [
    "CallError",
    "CallFactory",
    "LoadBalancer",
    "BodyCollector",
    "Connection",
    "Dialect",
    "EntryPipeline",
    "Framing",
    "Headers",
    "HostPipeline",
    "ActiveConfig",
    "OWN",
    "ConnectionPool",
    "RequestBody",
    "RequestHead",
    "RouteTable",
    "reachable_services",
]
