"""Applies evacuations of data centres to a node."""

from collections.abc import Callable

from fulmarrudder.call import HostPipeline
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Evacuation, Fact, FactKey, Presence
from fulmarrudder.observe import logs


class Evacuations:
    """Evacuations that the operator requests and other nodes tell of.

    Attributes:
        facts: Facts of this node.
        host: Pipeline of requests to the local target.
        broadcast: Sends a fact to all other nodes.
        on_told: Called with each evacuation, and with its end, that is new to
            this node.
    """

    def __init__(
        self,
        *,
        facts: FactStore,
        host: HostPipeline,
        broadcast: Callable[[Fact], None],
        on_told: Callable[[Evacuation], None],
    ):
        self.facts = facts
        self.host = host
        self.broadcast = broadcast
        self.on_told = on_told

    def request(self, data_centre: str, offset: int, *, in_force: bool) -> None:
        """Applies a record of the operator.

        Args:
            data_centre: The data centre, which may have no nodes.
            offset: Offset of the record.
            in_force: False when the record was removed.
        """
        if not data_centre:
            logs.warning("evacuation-refused", detail="no data centre is named")
            return
        if not in_force and self._has_ended(data_centre):
            return
        self.broadcast(
            Evacuation(
                data_centre=data_centre, offset=offset, in_force=in_force
            )
        )

    def _has_ended(self, data_centre: str) -> bool:
        key = FactKey(kind="evacuation", name=data_centre)
        known = self.facts.facts.get(key)
        return known is not None and not known.in_force

    def apply(self, fact: Evacuation) -> None:
        """Applies an evacuation that is new to this node, or its end."""
        nodes = sum(
            presence.data_centre == fact.data_centre
            for presence in self.facts.all_of(Presence)
        )
        logs.info(
            "evacuation-in-force" if fact.in_force else "evacuation-ended",
            data_centre=fact.data_centre,
            offset=fact.offset,
            nodes=nodes,
        )
        if fact.data_centre == self.host.data_centre:
            self.host.apply_evacuation()
        self.on_told(fact)
