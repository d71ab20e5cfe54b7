"""Pipeline from a caller's bytes to a target, and the answer back.

Left to right: `server` and `codec`, `sanitize_request`, `route`, `poison`, `version_split`,
`load_balancer`, `entry` which tries, `hop` to another node, `host` which admits and
claims, `upstream` to the target.
"""

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.collector import BodyCollector
from fulmarrudder.call.entry import ActiveConfig, EntryPipeline
from fulmarrudder.call.errors import CallError
from fulmarrudder.call.header_names import DEFAULT_HEADER_NAMES, HeaderNames
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
    "HeaderNames",
    "EntryPipeline",
    "Framing",
    "Headers",
    "HostPipeline",
    "ActiveConfig",
    "DEFAULT_HEADER_NAMES",
    "ConnectionPool",
    "RequestBody",
    "RequestHead",
    "RouteTable",
    "reachable_services",
]
