"""Which nodes read the source of versions themselves.

The first gateway of a data centre reads, and tells the others of its nodes what
it has read, also if it is nothing. A node that hears of no such read for most of
the time within which a version is due reads itself, and tells the others; the
second gateway is the first to do so.
"""

import math
from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.topology import Topology

# Silence after which the first node in order reads, as a fraction of the time
# within which a version is due.
FIRST_SILENCE_FRACTION = 0.6
# What each further node waits more, so that the first one is heard.
NEXT_SILENCE_FRACTION = 0.03
# Silence after which all others read.
MAX_SILENCE_FRACTION = 0.75
# Longest pause of the first nodes after a read that failed, and of the others.
RETRY_DELAY_S = 1.0
SLOW_RETRY_DELAY_S = 2.5
# Nodes of a data centre that pause only for the shorter time.
OFTEN_RETRYING = 4


class ReaderDuty:
    """Decides from when on a node reads the source itself.

    Attributes:
        node: Id of the node.
        due_s: Seconds within which a version is in force everywhere.
        topology: Returns the fleet as the node sees it.
        heard_at: Clock seconds at which another node of the data centre last
            told of a read.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: str,
        due_s: float,
        topology: Callable[[], Topology],
    ):
        self.clock = clock
        self.node = node
        self.due_s = due_s
        self.topology = topology
        self.heard_at = -math.inf

    def hear(self) -> None:
        """Handles that another node of the data centre tells of a read."""
        self.heard_at = self.clock.seconds()

    def reads_from(self) -> float:
        """Returns the clock seconds from which the node reads itself."""
        topology = self.topology()
        if not topology.local_gateways:
            return -math.inf
        if self.node == topology.local_gateways[0]:
            return -math.inf
        return self.heard_at + self._silence_s(topology)

    def reads(self) -> bool:
        """Returns whether the node reads itself now."""
        return self.clock.seconds() >= self.reads_from()

    def retry_delay_s(self) -> float:
        """Returns the longest pause after a read that failed, in seconds.

        While the source is away for all, few nodes try often; the first one
        that is answered tells the others.
        """
        place = _place_in(self.topology(), self.node)
        return RETRY_DELAY_S if place < OFTEN_RETRYING else SLOW_RETRY_DELAY_S

    def _silence_s(self, topology: Topology) -> float:
        place = _place_in(topology, self.node) - 1
        fraction = FIRST_SILENCE_FRACTION + place * NEXT_SILENCE_FRACTION
        return self.due_s * min(MAX_SILENCE_FRACTION, fraction)


def _place_in(topology: Topology, node: str) -> int:
    """Returns how many nodes of the data centre read before a node."""
    gateways = topology.local_gateways
    if node in gateways:
        return gateways.index(node)
    # The gateways need not be the first nodes by id.
    return max(topology.rank, len(gateways))
