"""Broadcasts a node's own presence, with a sequence number per change."""

import dataclasses
from collections.abc import Callable

from fulmarrudder.membership import LocalTarget
from fulmarrudder.model import Condition, Presence


class PresenceBroadcaster:
    """Broadcasts this node's presence when it has changed.

    Attributes:
        base: Presence with the fields that do not change while the process
            runs.
        incarnation: Start of the process, in wall-clock milliseconds.
        sequence: Counts changes within the incarnation.
        last_sent: The presence that was broadcast last, or None.
    """

    def __init__(
        self,
        base: Presence,
        local_target: LocalTarget,
        broadcast: Callable[[Presence], None],
    ):
        self.base = base
        self.local_target = local_target
        self.broadcast = broadcast
        self.incarnation = base.incarnation
        self.sequence = base.sequence
        self.last_sent: Presence | None = None

    def refresh(self, *, leaving: bool, force: bool = False) -> bool:
        """Broadcasts this node's presence if it has changed.

        Args:
            leaving: Whether the node is leaving.
            force: Whether to broadcast it even if it has not changed, so that
                it supersedes what other nodes may have concluded.

        Returns:
            Whether it was broadcast.
        """
        latest = self.local_target.latest
        condition = self.local_target.condition
        presence = dataclasses.replace(
            self.base,
            incarnation=self.incarnation,
            sequence=self.sequence,
            service=latest.service if latest else "",
            target_version=latest.target_version if latest else "",
            condition=Condition.LEAVING if leaving else condition,
            slots=self.local_target.offered_slots,
            target=latest.id if latest else "",
            target_incarnation=latest.incarnation if latest else 0,
            target_leaves=condition is Condition.LEAVING,
        )
        if presence == self.last_sent and not force:
            return False
        self.sequence += 1
        self.last_sent = dataclasses.replace(presence, sequence=self.sequence)
        self.broadcast(self.last_sent)
        return True
