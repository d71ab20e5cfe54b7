"""Links from a node to its children in the tree."""

import dataclasses
import random
from collections.abc import Callable

from fulmarrudder.distribution.codec import encode
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import (
    Hello,
    Message,
    PathUpdate,
    Redirect,
)
from fulmarrudder.distribution.tree import Accept, Position, decide_placement


@dataclasses.dataclass(slots=True, kw_only=True)
class Child:
    """A child of this node.

    Attributes:
        link: Link that the child opened.
        node: Id of the child.
        mesh_address: host:port at which it accepts links.
        interest: Services whose presences the child's subtree subscribes to;
            None for all.
    """

    link: Link
    node: str
    mesh_address: str
    interest: frozenset[str] | None

    def is_interested_in(self, service: str) -> bool:
        """Returns whether the subtree subscribes to a service."""
        return self.interest is None or service in self.interest


class Children:
    """Admits children and keeps their links.

    Attributes:
        position: Returns this node's position in the tree.
        degree: Maximum number of children.
        by_link: Children by their links.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        position: Callable[[], Position],
        degree: int,
    ):
        self.rng = rng
        self.position = position
        self.degree = degree
        self.by_link: dict[Link, Child] = {}

    def admit(self, link: Link, hello: Hello) -> bool:
        """Admits a node as a child, or redirects it.

        A link that the same node opened earlier is closed.

        Args:
            link: The link that the node opened.
            hello: Its first message.

        Returns:
            Whether the node is now a child.
        """
        for child in tuple(self.by_link.values()):
            if child.node == hello.node:
                self.by_link.pop(child.link, None)
                child.link.close()
        children = tuple(self.by_link.values())
        placement = decide_placement(
            self.position(),
            hello.node,
            tuple(child.node for child in children),
            tuple(child.mesh_address for child in children),
            self.rng,
            degree=self.degree,
        )
        if not isinstance(placement, Accept):
            link.send(Redirect(addresses=placement.addresses))
            return False
        interest = hello.interest
        self.by_link[link] = Child(
            link=link,
            node=hello.node,
            mesh_address=hello.mesh_address,
            interest=None if interest is None else frozenset(interest),
        )
        link.send(PathUpdate(path=self.position().path_below))
        return True

    def remove(self, link: Link) -> Child | None:
        """Removes the child of a link and returns it, if there is one."""
        return self.by_link.pop(link, None)

    def send_all(self, message: Message) -> None:
        """Sends a message to every child; encodes it only once."""
        if not self.by_link:
            return
        data = encode(message)
        for link in tuple(self.by_link):
            link.send_encoded(data)

    def combined_interest(self) -> frozenset[str] | None:
        """Returns the union of the children's interests; None for all."""
        services: set[str] = set()
        for child in self.by_link.values():
            if child.interest is None:
                return None
            services |= child.interest
        return frozenset(services)
