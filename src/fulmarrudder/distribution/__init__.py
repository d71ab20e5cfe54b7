"""Distributes configuration down a tree of nodes, and facts among nodes.

Relays read the log and pass its records down to the nodes below them.
`state_store` applies records to the state; `uplink`, `children` and `peers`
keep the links to other nodes; `fact_router` forwards facts over the links;
`lease` and `duties` decide which nodes are relays; `mesh` combines them.
`gossip` exchanges facts in a fleet that has no relays, by `topology`, `spread`,
`outbox` and `document_exchange`.

What only nodes with relays use is imported from its own module.
"""

from fulmarrudder.distribution.dial import Dialer
from fulmarrudder.distribution.errors import DistributionError, DivergedError
from fulmarrudder.distribution.gossip import Gossip
from fulmarrudder.distribution.message import ClaimRequest, Document
from fulmarrudder.distribution.topology import Peer

__all__ = [
    "ClaimRequest",
    "Dialer",
    "DistributionError",
    "DivergedError",
    "Document",
    "Gossip",
    "Peer",
]
