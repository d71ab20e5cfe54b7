"""Targets that have told their nodes that they leave, as other nodes know it.

The node beside a target may restart before the target ends. What it has forgotten
is still known here, so that the target gets no new requests.
"""

import dataclasses

from fulmarrudder.model import Condition, Presence

# How long a target may serve on after it has told that it leaves.
DEPARTURE_TTL_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DepartedTarget:
    """A target that has told its node that it leaves.

    Attributes:
        id: Id of the target.
        incarnation: Its latest incarnation that may have left.
    """

    id: str
    incarnation: int

    def covers(self, target: str, incarnation: int) -> bool:
        """Returns whether an incarnation of a target is one that has left."""
        return target == self.id and incarnation <= self.incarnation


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """What a node has told of its target.

    Attributes:
        presence: Its presence then.
        expires_at: Clock seconds from which it is forgotten.
    """

    presence: Presence
    expires_at: float


class Departures:
    """Remembers the latest departure beside each node.

    Attributes:
        by_node: Departures by id of the node.
    """

    def __init__(self):
        self.by_node: dict[str, Departure] = {}

    def note(self, presence: Presence, now: float) -> None:
        """Remembers a presence that tells of a departure."""
        if presence.target and presence.target_leaves:
            self.by_node[presence.node] = Departure(
                presence=presence, expires_at=now + DEPARTURE_TTL_S
            )

    def of_node(self, node: str, now: float) -> Presence | None:
        """Returns the presence that told of the departure beside a node."""
        departure = self.by_node.get(node)
        if departure is None or now >= departure.expires_at:
            return None
        return departure.presence

    def correct(self, presence: Presence, now: float) -> Presence:
        """Returns a presence, as leaving if its target has left before.

        Args:
            presence: The presence.
            now: Clock seconds.
        """
        told = self.of_node(presence.node, now)
        if told is None or presence.condition is not Condition.READY:
            return presence
        is_same = (
            presence.target == told.target
            and presence.target_incarnation <= told.target_incarnation
        )
        if not is_same:
            return presence
        return dataclasses.replace(presence, condition=Condition.LEAVING)

    def expire(self, now: float) -> None:
        """Forgets what is old."""
        for node, departure in tuple(self.by_node.items()):
            if now >= departure.expires_at:
                del self.by_node[node]
