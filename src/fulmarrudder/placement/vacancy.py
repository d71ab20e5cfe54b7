"""Free slots that nodes beside targets tell to nodes that ask them."""

import collections
import dataclasses

# Seconds for which a vacancy counts.
VACANCY_TTL_S = 0.3
# Without a full target within this time, a guess is as good as a vacancy.
FULL_WITHIN_S = 1.0
# Seconds after a request for which its sender counts as one that may ask again.
ASKER_TTL_S = 10.0
MAX_ASKERS = 512


def is_needed(full_at: float, now: float) -> bool:
    """Returns whether nodes are to be told of a free slot.

    Args:
        full_at: Clock seconds at which the target was last full.
        now: Clock seconds.
    """
    return now - full_at <= FULL_WITHIN_S


class Askers:
    """Nodes that ask a target, told of its free slots by turn.

    Attributes:
        asked_at: Clock seconds of the last request of each node, by id; the
            node that was told longest ago comes first.
    """

    __slots__ = ("asked_at",)

    def __init__(self):
        self.asked_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def asked(self, node: str, now: float) -> None:
        """Records a request of a node, also one that was refused."""
        self.asked_at[node] = now
        if len(self.asked_at) > MAX_ASKERS:
            self.asked_at.popitem(last=False)

    def next(self, now: float) -> str | None:
        """Returns the node to tell, and puts it last; None if there is none."""
        while self.asked_at:
            node, asked_at = self.asked_at.popitem(last=False)
            if now - asked_at > ASKER_TTL_S:
                continue
            self.asked_at[node] = asked_at
            return node
        return None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Offer:
    """A vacancy that a node was told of.

    Attributes:
        slowness: Slowness of the target.
        until: Clock seconds until which it counts.
    """

    slowness: float
    until: float


class Vacancies:
    """Vacancies that a node was told of and has not used.

    Attributes:
        by_node: The latest offer of each node beside a target, by its id.
    """

    __slots__ = ("by_node",)

    def __init__(self):
        self.by_node: dict[str, Offer] = {}

    def told(self, node: str, slowness: float, now: float) -> None:
        """Records a vacancy.

        Args:
            node: Id of the node beside the target.
            slowness: Slowness of the target.
            now: Clock seconds.
        """
        self.by_node[node] = Offer(slowness=slowness, until=now + VACANCY_TTL_S)

    def offer_of(self, node: str, now: float) -> Offer | None:
        """Returns the vacancy at a node, or None."""
        offer = self.by_node.get(node)
        if offer is None:
            return None
        if offer.until < now:
            del self.by_node[node]
            return None
        return offer

    def use(self, node: str) -> bool:
        """Uses up the vacancy at a node; returns whether there was one."""
        return self.by_node.pop(node, None) is not None
