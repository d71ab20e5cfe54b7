"""Pipeline from a caller's bytes to a target, and the answer back.

Left to right: `server` and `codec`, `screen`, `route`, `suspects`, `share`,
`choose`, `entry` which tries, `hop` to another node, `host` which admits and
claims, `upstream` to the target.
"""

from fulmarrudder.call.choose import Chooser
from fulmarrudder.call.entry import Entry, InForce
from fulmarrudder.call.errors import CallError
from fulmarrudder.call.host import Host
from fulmarrudder.call.route import RouteTable, reachable
from fulmarrudder.call.server import CallFactory
from fulmarrudder.call.upstream import Pool

__all__ = [
    "CallError",
    "CallFactory",
    "Chooser",
    "Entry",
    "Host",
    "InForce",
    "Pool",
    "RouteTable",
    "reachable",
]
