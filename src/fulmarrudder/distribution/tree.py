"""Decides the shape of the tree below a relay. All functions are pure."""

import dataclasses
import random

DEFAULT_DEGREE = 16
MAX_REDIRECT_ADDRESSES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Position:
    """Position of a node in the tree.

    Attributes:
        node: Id of the node.
        is_relay: Whether the node is a root.
        path: Ids of the nodes from the root down to its parent; empty for a
            root and for a node that is not attached to one.
    """

    node: str
    is_relay: bool
    path: tuple[str, ...]

    @property
    def rooted(self) -> bool:
        """Whether the node is a relay or attached below one."""
        return self.is_relay or bool(self.path)

    @property
    def path_below(self) -> tuple[str, ...]:
        """Path of the node's children; empty if the node is not rooted."""
        return (*self.path, self.node) if self.rooted else ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accept:
    """The node may become a child."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RedirectTo:
    """The node should try other nodes.

    Attributes:
        addresses: Mesh addresses to try; may be empty.
    """

    addresses: tuple[str, ...]


def decide_placement(
    position: Position,
    joining: str,
    children: tuple[str, ...],
    addresses: tuple[str, ...],
    rng: random.Random,
    *,
    degree: int = DEFAULT_DEGREE,
) -> Accept | RedirectTo:
    """Decides whether a node may become a child of this one.

    Args:
        position: This node's position.
        joining: Id of the joining node.
        children: Ids of this node's children.
        addresses: Mesh addresses of the children.
        rng: Chooses the children that a node is redirected to.
        degree: Maximum number of children.

    Returns:
        `Accept`, or `RedirectTo` if the node is an ancestor, if there are too
        many children, or if this node is not rooted itself.
    """
    if not position.rooted or joining in position.path_below:
        return RedirectTo(addresses=())
    if joining in children or len(children) < degree:
        return Accept()
    count = min(MAX_REDIRECT_ADDRESSES, len(addresses))
    return RedirectTo(addresses=tuple(rng.sample(addresses, count)))
