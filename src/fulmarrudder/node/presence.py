"""What a node shows of itself: its presence, counted up when it changes."""

import dataclasses
from collections.abc import Callable

from fulmarrudder.membership import LocalTarget
from fulmarrudder.model import Condition, Presence


class PresenceBroadcaster:
    """Keeps this node's presence in line with the target beside it.

    Attributes:
        own: What does not change while the process runs.
        incarnation: Start of the process, in wall-clock milliseconds.
        sequence: Counts changes within the incarnation.
        last_sent: The presence that was spread last, or None.
    """

    def __init__(
        self,
        own: Presence,
        local_target: LocalTarget,
        broadcast: Callable[[Presence], None],
    ):
        self.own = own
        self.local_target = local_target
        self.broadcast = broadcast
        self.incarnation = own.incarnation
        self.sequence = own.sequence
        self.last_sent: Presence | None = None

    def refresh(self, *, leaving: bool, force: bool = False) -> bool:
        """Spreads this node's presence when it has changed.

        Args:
            leaving: Whether the node is leaving.
            force: Whether to spread it even when it has not changed, so that
                it outdates what others may have concluded.

        Returns:
            Whether it was spread.
        """
        latest = self.local_target.latest
        condition = self.local_target.condition
        presence = dataclasses.replace(
            self.own,
            incarnation=self.incarnation,
            sequence=self.sequence,
            service=latest.service if latest else "",
            target_version=latest.target_version if latest else "",
            condition=Condition.LEAVING if leaving else condition,
            slots=latest.slots if latest else 0,
        )
        if presence == self.last_sent and not force:
            return False
        self.sequence += 1
        self.last_sent = dataclasses.replace(presence, sequence=self.sequence)
        self.broadcast(self.last_sent)
        return True
