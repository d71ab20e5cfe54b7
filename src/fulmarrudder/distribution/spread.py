"""Which facts a node sends on which links. Pure.

A node sends its own facts to all neighbours, and only gateways pass on those
of others, so that the copies of a fact grow with the number of nodes, not with
its square. Two data centres that could not reach each other may disagree on
which nodes are gateways, so that both ends of a link between them pass on what
crosses it.
"""

import dataclasses
from functools import singledispatch

from fulmarrudder.distribution.evidence import node_of_source
from fulmarrudder.model import Evacuation, Evidence, Fact, Presence, SourceEra


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hop:
    """One link on which a node may send one fact.

    Attributes:
        is_own: Whether the sending node is the origin of the fact.
        from_gateway: Whether the sending node is a gateway.
        to_gateway: Whether the receiving node is a gateway.
        to_reader: Whether the receiving node reads evidence.
        came_from_afar: Whether another data centre sent the fact.
        leads_afar: Whether the link leads to another data centre.
    """

    is_own: bool
    from_gateway: bool
    to_gateway: bool
    to_reader: bool
    came_from_afar: bool = False
    leads_afar: bool = False

    @property
    def passes_on(self) -> bool:
        """Whether the sending node passes on facts of others."""
        return self.from_gateway or self.came_from_afar or self.leads_afar


@singledispatch
def is_forwarded(fact: Fact, hop: Hop) -> bool:
    """Returns whether a fact that is new to a node is sent on a link."""
    return hop.is_own or hop.passes_on


@is_forwarded.register
def _(fact: Evidence, hop: Hop) -> bool:
    if hop.is_own:
        return hop.to_reader or hop.to_gateway
    if not hop.passes_on:
        return False
    if hop.leads_afar:
        return not hop.came_from_afar
    # The other gateway receives it from afar as well.
    return hop.came_from_afar and hop.to_reader and not hop.to_gateway


@is_forwarded.register
def _(fact: Evacuation, hop: Hop) -> bool:
    # Other nodes of the data centre are told of the record as well.
    return hop.passes_on


@singledispatch
def is_sent_on_open(fact: Fact, hop: Hop) -> bool:
    """Returns whether a known fact is sent on a link that has opened."""
    return True


@is_sent_on_open.register
def _(fact: Presence, hop: Hop) -> bool:
    return hop.is_own or hop.passes_on


@is_sent_on_open.register
def _(fact: Evidence, hop: Hop) -> bool:
    return hop.is_own and (hop.to_reader or hop.to_gateway)


@is_sent_on_open.register
def _(fact: Evacuation, hop: Hop) -> bool:
    return hop.passes_on


@singledispatch
def protocol_of(fact: Fact) -> int:
    """Returns the lowest protocol whose nodes take a kind of facts."""
    return 0


@protocol_of.register
def _(fact: Evacuation | SourceEra) -> int:
    return 2


@singledispatch
def origin_of(fact: Fact) -> str:
    """Returns the id of the node that a fact describes, or empty."""
    return ""


@origin_of.register
def _(fact: Presence) -> str:
    return fact.node


@origin_of.register
def _(fact: Evidence) -> str:
    return node_of_source(fact.source)
