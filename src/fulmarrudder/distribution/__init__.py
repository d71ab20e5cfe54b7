"""Pipeline from relays down a tree of nodes, and facts among them.

`holder` puts records in force; `uplink`, `children` and `peers` are the links
that they travel by; `spread` carries facts; `lease` and `duties` decide who
is a relay; `mesh` joins them.
"""

from fulmarrudder.distribution.dial import Dialer
from fulmarrudder.distribution.duties import (
    Candidate,
    Claim,
    DelegateClaim,
    all_relays,
    decide_claim,
    duties_of,
    relays_of,
)
from fulmarrudder.distribution.errors import DistributionError, DivergedError
from fulmarrudder.distribution.gossip import Gossip, Peer
from fulmarrudder.distribution.lease import LeaseRenewer, LeaseWatcher
from fulmarrudder.distribution.mesh import Mesh
from fulmarrudder.distribution.message import ClaimRequest, Document
from fulmarrudder.distribution.peers import node_of
from fulmarrudder.distribution.state_store import StateStore

__all__ = [
    "DelegateClaim",
    "Claim",
    "Dialer",
    "DistributionError",
    "DivergedError",
    "Document",
    "Gossip",
    "StateStore",
    "LeaseRenewer",
    "LeaseWatcher",
    "Mesh",
    "ClaimRequest",
    "Peer",
    "Candidate",
    "all_relays",
    "duties_of",
    "decide_claim",
    "node_of",
    "relays_of",
]
