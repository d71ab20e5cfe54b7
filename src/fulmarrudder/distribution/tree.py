"""Decisions on the tree below a relay; pure."""

import dataclasses
import random

DEGREE = 16
REDIRECTS = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Position:
    """Where a node stands in the tree.

    Attributes:
        node: Its id.
        relay: Whether it is a root.
        path: Nodes from the root down to its parent; empty when it is a root
            or has no source.
    """

    node: str
    relay: bool
    path: tuple[str, ...]

    @property
    def rooted(self) -> bool:
        """Whether the node has a source of configuration."""
        return self.relay or bool(self.path)

    @property
    def path_below(self) -> tuple[str, ...]:
        """Path of the node's children; empty when it is not rooted."""
        return (*self.path, self.node) if self.rooted else ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accept:
    """The node may hang below this one."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refer:
    """The node should try these addresses instead; there may be none."""

    addresses: tuple[str, ...]


def place(
    position: Position,
    joining: str,
    children: tuple[str, ...],
    addresses: tuple[str, ...],
    rng: random.Random,
    *,
    degree: int = DEGREE,
) -> Accept | Refer:
    """Decides whether a node may hang below this one.

    Args:
        position: This node's position.
        joining: Id of the node that joins.
        children: Ids of the nodes below this one.
        addresses: Their mesh addresses.
        rng: Spreads nodes over the children.
        degree: Most children of a node.

    Returns:
        `Accept`, or `Refer` when that would make a loop, exceed the degree,
        or hang the node below one without a source.
    """
    if not position.rooted or joining in position.path_below:
        return Refer(addresses=())
    if joining in children or len(children) < degree:
        return Accept()
    count = min(REDIRECTS, len(addresses))
    return Refer(addresses=tuple(rng.sample(addresses, count)))
