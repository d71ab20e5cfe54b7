"""The nodes directly below this one."""

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
from fulmarrudder.distribution.tree import Accept, Position, place


@dataclasses.dataclass(slots=True, kw_only=True)
class Child:
    """A node below this one.

    Attributes:
        interest: Services whose presences its subtree wants; None for all.
    """

    link: Link
    node: str
    mesh_address: str
    interest: frozenset[str] | None

    def wants(self, service: str) -> bool:
        """Tells whether its subtree wants presences of a service."""
        return self.interest is None or service in self.interest


class Children:
    """Places nodes below this one.

    Attributes:
        by_link: The nodes by their links.
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

    def join(self, link: Link, hello: Hello) -> bool:
        """Places a node that asks for it.

        Args:
            link: The link that it opened.
            hello: Its first message.

        Returns:
            Whether it now hangs below this node.
        """
        for child in tuple(self.by_link.values()):
            if child.node == hello.node:
                self.by_link.pop(child.link, None)
                child.link.close()
        children = tuple(self.by_link.values())
        placement = place(
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

    def leave(self, link: Link) -> Child | None:
        """Forgets the node of a link."""
        return self.by_link.pop(link, None)

    def send_all(self, message: Message) -> None:
        """Sends one message to every child, encoded once."""
        if not self.by_link:
            return
        data = encode(message)
        for link in tuple(self.by_link):
            link.send_encoded(data)

    def interest(self) -> frozenset[str] | None:
        """Returns what the subtrees want together; None for all."""
        wanted: set[str] = set()
        for child in self.by_link.values():
            if child.interest is None:
                return None
            wanted |= child.interest
        return frozenset(wanted)
