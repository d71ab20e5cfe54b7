"""Pipeline from relays down a tree of nodes, and facts among them.

`holder` puts records in force; `uplink`, `children` and `peers` are the links
that they travel by; `spread` carries facts; `lease` and `duties` decide who
is a relay; `mesh` joins them.
"""

from fulmarrudder.distribution.dial import Dialer
from fulmarrudder.distribution.duties import (
    Appoint,
    Claim,
    Standing,
    all_relays,
    duties_of,
    next_duty,
    relays_of,
)
from fulmarrudder.distribution.errors import DistributionError, DivergedError
from fulmarrudder.distribution.gossip import Gossip, Peer
from fulmarrudder.distribution.holder import Holder
from fulmarrudder.distribution.lease import LeaseKeeper, LeaseWatch
from fulmarrudder.distribution.mesh import Mesh
from fulmarrudder.distribution.message import Document, Nominate
from fulmarrudder.distribution.peers import node_of

__all__ = [
    "Appoint",
    "Claim",
    "Dialer",
    "DistributionError",
    "DivergedError",
    "Document",
    "Gossip",
    "Holder",
    "LeaseKeeper",
    "LeaseWatch",
    "Mesh",
    "Nominate",
    "Peer",
    "Standing",
    "all_relays",
    "duties_of",
    "next_duty",
    "node_of",
    "relays_of",
]
