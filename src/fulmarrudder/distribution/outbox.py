"""Filter: facts to messages, a few at a time for each link."""

import collections
from collections.abc import Callable, Iterable

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.guard import Guard, ignore
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.message import FactBatch
from fulmarrudder.distribution.spread import protocol_of
from fulmarrudder.model import (
    Brake,
    Evacuation,
    Fact,
    MoveProgress,
    Presence,
    SourceEra,
    Strike,
    key_of,
)

# Delay of facts that are not urgent, so that one message carries several.
FLUSH_DELAY_S = 0.05
MAX_FACTS_PER_MESSAGE = 200
URGENT_KINDS = (
    Brake,
    Strike,
    MoveProgress,
    Presence,
    Evacuation,
    SourceEra,
)


class Outbox:
    """Facts that wait to be sent.

    Attributes:
        lacks: Returns whether the node of a link may lack a fact.
        queued: Facts to be sent with the next flush, by link and key.
    """

    def __init__(
        self,
        clock: Clock,
        guard: Guard,
        lacks: Callable[[Link, Fact], bool],
    ):
        self.clock = clock
        self.lacks = lacks
        self.queued: dict[Link, dict] = collections.defaultdict(dict)
        self.flush_timer = None
        # An exception at one neighbour does not keep others from the rest.
        self.send_guarded = guard("gossip", self.send, ignore)

    def add(self, link: Link, fact: Fact, *, is_own: bool) -> None:
        """Queues a fact for a link, instead of an earlier one of its key.

        Args:
            link: The link.
            fact: The fact.
            is_own: Whether this node is the origin of the fact.
        """
        self.queued[link][key_of(fact)] = fact
        # Neighbours have a presence from its own node already, so that what a
        # gateway forwards can wait for others.
        urgent = isinstance(fact, URGENT_KINDS) and (
            is_own or not isinstance(fact, Presence)
        )
        self._schedule_flush(0.0 if urgent else FLUSH_DELAY_S)

    def discard(self, link: Link) -> None:
        """Drops the facts that wait for a link that has closed."""
        self.queued.pop(link, None)

    def flush(self) -> None:
        """Sends all queued facts."""
        flush_timer, self.flush_timer = self.flush_timer, None
        if flush_timer is not None and flush_timer.active():
            flush_timer.cancel()
        queued, self.queued = self.queued, collections.defaultdict(dict)
        for link, facts in queued.items():
            self.send_guarded(link, facts.values())

    def send(self, link: Link, facts: Iterable[Fact]) -> None:
        """Sends facts that the node of a link may lack and takes, at once.

        Messages are of limited size.
        """
        facts = tuple(
            fact
            for fact in facts
            if protocol_of(fact) <= link.protocol and self.lacks(link, fact)
        )
        for start in range(0, len(facts), MAX_FACTS_PER_MESSAGE):
            part = facts[start : start + MAX_FACTS_PER_MESSAGE]
            link.send(FactBatch(facts=part))

    def _schedule_flush(self, delay_s: float) -> None:
        flush_at = self.clock.seconds() + delay_s
        if self.flush_timer is not None:
            if self.flush_timer.getTime() <= flush_at:
                return
            self.flush_timer.cancel()
        self.flush_timer = self.clock.callLater(delay_s, self._on_flush_timer)

    def _on_flush_timer(self) -> None:
        self.flush_timer = None
        self.flush()
