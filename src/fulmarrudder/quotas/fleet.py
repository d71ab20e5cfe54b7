"""Which parts of the fleet a node hears of, and when it last heard of them."""

import math
from collections.abc import Mapping

# A part of the fleet that is not heard for this long is silent, where messages
# are sent at full pace.
SILENCE_S = 1.2
# A node whose clock jumps by nearly that time between two beats was paused.
PAUSE_MARGIN_S = 0.2
# Time for which fewer nodes must be missing before fewer count as missing: each
# time that more do, tokens are left to them.
HOLD_S = 1.5
# Time for what has arrived during a pause to be read.
CATCH_UP_S = 0.3


class FleetView:
    """The data centres of the fleet as one node hears them.

    Attributes:
        data_centre: Data centre of the node.
        nodes: Number of known nodes by data centre, this one included.
        total_nodes: Their sum, at least 1.
        heard_at: Clock seconds at which each data centre was last heard.
        counted_from: Clock seconds until which the counts of a data centre were
            held back while it was silent, or while this node was paused.
        caught_up_at: The latest of these.
        missing: Part of each data centre's nodes that its collectors do not
            hear.
        told_missing: What each collector told last of the nodes that it does
            not hear, by data centre, and when.
        fewer_from: Clock seconds since which fewer are told than `missing`.
        silent: Data centres that are silent.
        epoch: Rises when `silent` or `missing` changes.
        changed_at: Clock seconds at which it last rose.
        resumed_at: Clock seconds at which the node last started or woke.
        beat_at: Clock seconds of the latest beat.
        silence_s: Time after which a part that is not heard is silent.
    """

    def __init__(self, data_centre: str, now: float):
        self.data_centre = data_centre
        self.nodes: Mapping[str, int] = {data_centre: 1}
        self.total_nodes = 1
        self.heard_at: dict[str, float] = {}
        self.counted_from: dict[str, float] = {}
        self.caught_up_at = now
        self.missing: dict[str, float] = {}
        self.told_missing: dict[str, dict[str, tuple[float, float]]] = {}
        self.fewer_from: dict[str, float] = {}
        self.silent: frozenset[str] = frozenset((data_centre,))
        self.epoch = 0
        self.changed_at = now
        self.resumed_at = now
        self.beat_at = now
        self.silence_s = SILENCE_S

    @property
    def is_whole(self) -> bool:
        """Whether every part of the fleet is heard."""
        return not self.silent and not self.missing

    def set_nodes(self, nodes: Mapping[str, int], now: float) -> None:
        """Sets the number of known nodes by data centre, this one included."""
        if nodes == self.nodes:
            return
        self.nodes = nodes
        self.total_nodes = max(1, sum(nodes.values()))
        self._find_silent(now)

    def hear(
        self, data_centre: str, missing: float, now: float, teller: str = ""
    ) -> None:
        """Records that a data centre was heard.

        Args:
            data_centre: The data centre.
            missing: Part of its nodes that a collector there does not hear.
            now: Clock seconds.
            teller: Node that told of it.
        """
        self.heard_at[data_centre] = now
        if data_centre in self.silent:
            self._await_counts(data_centre, now)
            self._find_silent(now)
        told = self.told_missing.setdefault(data_centre, {})
        told[teller] = (missing, now)
        total = self._total_missing(told, now)
        before = self.missing.get(data_centre, 0.0)
        if total < before:
            fewer_from = self.fewer_from.setdefault(data_centre, now)
            if now - fewer_from < HOLD_S:
                return
        self.fewer_from.pop(data_centre, None)
        if total == before:
            return
        self.missing[data_centre] = total
        if not total:
            del self.missing[data_centre]
        self._change(now)

    def _total_missing(
        self, told: dict[str, tuple[float, float]], now: float
    ) -> float:
        """Adds up what the collectors of a data centre do not hear."""
        for teller, (_, told_at) in tuple(told.items()):
            if now - told_at > self.silence_s:
                del told[teller]
        return min(1.0, round(sum(part for part, _ in told.values()), 3))

    def is_late(self, data_centre: str, now: float) -> bool:
        """Returns whether counts of a data centre may have been held back."""
        return data_centre in self.silent or now < self.counted_from.get(
            data_centre, 0.0
        )

    def beat(self, now: float) -> None:
        """Finds the data centres that have become silent, and pauses."""
        if now - self.beat_at > self.silence_s - PAUSE_MARGIN_S:
            self.resumed_at = now
            earliest = now - self.silence_s + CATCH_UP_S
            for data_centre, heard_at in self.heard_at.items():
                if data_centre not in self.silent:
                    self.heard_at[data_centre] = max(heard_at, earliest)
                self._await_counts(data_centre, now)
        self.beat_at = now
        self._find_silent(now)

    def last_heard(self, data_centre: str) -> float:
        """Returns when a data centre was last heard, in clock seconds."""
        return self.heard_at.get(data_centre, -math.inf)

    def _await_counts(self, data_centre: str, now: float) -> None:
        self.counted_from[data_centre] = now + CATCH_UP_S
        self.caught_up_at = now + CATCH_UP_S

    def _find_silent(self, now: float) -> None:
        silent = frozenset(
            data_centre
            for data_centre in self.nodes
            if now - self.last_heard(data_centre) > self.silence_s
        )
        if silent != self.silent:
            self.silent = silent
            self._change(now)

    def _change(self, now: float) -> None:
        self.epoch += 1
        self.changed_at = now
