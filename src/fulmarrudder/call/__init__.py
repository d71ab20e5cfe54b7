"""Pipeline from a caller's bytes to a target, and the answer back.

The filters, in order:

* `server`, `codec`: connections, and bytes to messages.
* `served`: one call; passes it to `entry` or `host`, and sends the answer.
* `leaving`: callers that leave while their bodies wait.
* `start`: requests that come while the node starts wait for a moment.
* `sanitizer`: strict checks of heads, and removal of hop-by-hop fields.
* `route`: route and service of the request.
* `plan`: the call, with its deadlines.
* `poison`: refusal of requests that have crashed targets.
* `version_split`: target versions that may serve it.
* `selection`, `load_balancer`, `scoring`: the endpoint, by expected latency and cost.
* `offers`: the endpoint of a slot that was told free.
* `ejection`: endpoints that fail, and for how long they are left out.
* `entry`, `attempts`, `ending`, `retry`: attempts, how they ended, and retries.
* `hop`, `sender`: the request to another node.
* `host`, `slots`, `holding`: admission on the host node.
* `load`: what the host node reports of its target's load.
* `claimed`, `claims`: requests with idempotency keys, run to their end.
* `upstream`, `exchange`: connections, and one request and answer on each.
* `buffering`: small answers, complete before they are passed on.
"""

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.collector import BodyCollector
from fulmarrudder.call.entry import EntryPipeline
from fulmarrudder.call.errors import CallError
from fulmarrudder.call.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from fulmarrudder.call.host import HostPipeline
from fulmarrudder.call.load_balancer import LoadBalancer
from fulmarrudder.call.message import Framing, Headers, RequestHead
from fulmarrudder.call.route import (
    RouteChange,
    RouteTable,
    reachable_services,
)
from fulmarrudder.call.selection import ActiveConfig
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
    "RouteChange",
    "RouteTable",
    "reachable_services",
]
