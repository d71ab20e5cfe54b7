"""Which nodes of a fleet without relays are linked with each other. Pure.

All nodes of a data centre are linked. Two gateways of each data centre are
linked with two of every other one, so that a fact crosses between two data
centres on two links.
"""

import collections
import dataclasses
import itertools
from collections.abc import Container, Iterable

# Nodes that keep links to other data centres; two, so that one may fail.
GATEWAYS_PER_DATA_CENTRE = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Another node of the fleet.

    Attributes:
        node: Id of the node.
        data_centre: Data centre of the node.
        mesh_address: host:port at which it accepts links.
        lost: Whether the node has been declared lost.
        doubtful: Whether nothing but the directory tells of it, and it has not
            answered, or whether it is about to leave.
    """

    node: str
    data_centre: str
    mesh_address: str
    lost: bool = False
    doubtful: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Topology:
    """The fleet as one node sees it.

    Attributes:
        neighbours: Ids of the nodes to link with.
        gateways: Ids of the gateways of all data centres.
        local_gateways: Ids of the gateways of the node's data centre.
        rank: Index of the node among those of its data centre.
        local_nodes: Number of nodes of its data centre that are not lost.
    """

    neighbours: frozenset[str] = frozenset()
    gateways: frozenset[str] = frozenset()
    local_gateways: tuple[str, ...] = ()
    rank: int = 0
    local_nodes: int = 1


def topology_of(me: Peer, others: Iterable[Peer]) -> Topology:
    """Returns the fleet as a node sees it.

    Args:
        me: The node.
        others: All other nodes.
    """
    others = tuple(others)
    gateways = gateways_of((me, *others))
    local = [me.node]
    for other in others:
        if other.data_centre == me.data_centre and not other.lost:
            local.append(other.node)
    return Topology(
        neighbours=neighbours(me, others),
        gateways=frozenset(itertools.chain(*gateways.values())),
        local_gateways=tuple(gateways[me.data_centre]),
        rank=sum(1 for node in local if node < me.node),
        local_nodes=len(local),
    )


def count_nodes(peers: Iterable[Peer]) -> dict[str, int]:
    """Returns the number of nodes by data centre, lost ones included."""
    return dict(collections.Counter(peer.data_centre for peer in peers))


def collector_of(node: str, topology: Topology, linked: Container[str]) -> str:
    """Returns the id of the node that adds up the evidence of a node.

    The nodes of a data centre are shared out among those of its gateways that
    they are linked with. A gateway adds up its own.

    Args:
        node: Id of the node.
        topology: The fleet as the node sees it.
        linked: Ids of the nodes that it has links to.

    Returns:
        The id, or empty while the node has no link to a gateway.
    """
    if node in topology.local_gateways:
        return node
    reachable = [name for name in topology.local_gateways if name in linked]
    if not reachable:
        return ""
    return reachable[topology.rank % len(reachable)]


def neighbours(me: Peer, others: Iterable[Peer]) -> frozenset[str]:
    """Chooses the nodes that a node keeps links to. Pure.

    Within a data centre all nodes are linked. The gateways of a data centre
    are the first nodes by id that are neither lost nor doubtful; between two data centres the
    first gateway is linked with the first and the second with the second. If
    one side has a single gateway, it is linked with both of the other side.

    Args:
        me: The node.
        others: All other nodes.

    Returns:
        Ids of the nodes to link with. Two nodes with the same list of nodes
        agree on whether they are linked.
    """
    chosen = set()
    others = tuple(others)
    for other in others:
        if other.data_centre == me.data_centre:
            chosen.add(other.node)
    gateways = gateways_of((me, *others))
    own = gateways.pop(me.data_centre)
    if me.node not in own:
        return frozenset(chosen)
    own_index = own.index(me.node)
    for theirs in gateways.values():
        for index, node in enumerate(theirs):
            if index == min(own_index, len(theirs) - 1):
                chosen.add(node)
            elif own_index == min(index, len(own) - 1):
                chosen.add(node)
    return frozenset(chosen)


def gateways_of(peers: Iterable[Peer]) -> dict[str, list[str]]:
    """Returns the ids of the gateways of each data centre.

    Doubtful nodes are taken only where there are not enough others.

    Args:
        peers: All nodes.
    """
    by_data_centre: dict[str, list[tuple[bool, str]]] = {}
    for peer in peers:
        if not peer.lost:
            by_data_centre.setdefault(peer.data_centre, []).append(
                (peer.doubtful, peer.node)
            )
    return {
        data_centre: [
            node for _, node in sorted(nodes)[:GATEWAYS_PER_DATA_CENTRE]
        ]
        for data_centre, nodes in by_data_centre.items()
    }
