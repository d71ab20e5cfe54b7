"""Tells other nodes of free slots of the local target."""

from collections.abc import Callable

from fulmarrudder.call.slots import Slots
from fulmarrudder.clock import Clock
from fulmarrudder.placement import Askers, is_needed


def _tell_nobody(node: str, slowness: float) -> None:
    """Is called where there is no way to other nodes."""


class VacancyReporter:
    """Tells one node of each slot that becomes free, while that is needed.

    Attributes:
        askers: Nodes that have sent requests.
        tell: Tells a node, by its id, of a free slot and the slowness of the
            target.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        slots: Slots,
        is_open: Callable[[], bool],
    ):
        self.clock = clock
        self.slots = slots
        self.is_open = is_open
        self.askers = Askers()
        self.tell: Callable[[str, float], None] = _tell_nobody
        slots.on_vacancy = self._slot_released

    def asked(self, node: str, now: float) -> None:
        """Records a request of a node, by its id."""
        self.askers.asked(node, now)

    def _slot_released(self) -> None:
        slots = self.slots
        now = self.clock.seconds()
        if not slots.uses_work or not is_needed(slots.full_at, now):
            return
        if not self.is_open():
            return
        node = self.askers.next(now)
        if node is not None:
            speed = slots.work.speed
            self.tell(node, speed.now(now) / speed.average)
