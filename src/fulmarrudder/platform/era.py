"""Era of the store: how often it has come back from an older copy.

Cursors, conditions, terms and answers belong to an era, and are void in the
next one. No answer of an earlier era than the highest seen has any effect.
"""

from collections.abc import Callable

from fulmarrudder.clock import Clock
from fulmarrudder.model.position import era_of, offset_of, position_of
from fulmarrudder.observe import logs
from fulmarrudder.platform.errors import EraError

HEADER = b"store-era"
# A store that tells no era has this one.
NO_ERA = 0
# Higher numbers would not fit into the positions that nodes exchange.
MAX_ERA = 1 << 22

# Called with the era before, or None for the first one that is told, and the
# era.
Listener = Callable[[int | None, int], None]


class EraTracker:
    """Knows the highest era that was seen, and tells when it rises.

    Attributes:
        number: The highest era; None before the first answer.
        seen_at: Clock seconds at which it was first seen.
        listeners: Called in this order when it rises, before the answer that
            told it is passed on.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.number: int | None = None
        self.seen_at = 0.0
        self.listeners: list[Listener] = []

    @property
    def current(self) -> int:
        """The highest era, or `NO_ERA`."""
        return self.number or NO_ERA

    def note(self, number: int | None) -> None:
        """Handles an era that an answer or another node tells.

        Args:
            number: The era, or None if none is told.
        """
        before = self.number
        if number is None or number <= self.current:
            self.number = self.current
            return
        self.number = number
        self.seen_at = self.clock.seconds()
        if before is not None:
            logs.warning("store-era-changed", old=before, new=number)
        for listener in tuple(self.listeners):
            listener(before, number)

    def check(self, begun: int | None, told: int | None) -> None:
        """Checks that an answer, or a series of them, still means something.

        Args:
            begun: The highest era when the request began.
            told: Era that the answer tells, or None.

        Raises:
            EraError: The answer is of an earlier era, or the era rose since
                the request.
        """
        if told is not None and told < self.current:
            raise EraError(f"answer of era {told} in era {self.current}")
        if begun is not None and begun != self.number:
            raise EraError(f"request of era {begun} in era {self.current}")

    def position_of(self, offset: int) -> int:
        """Returns the position of an offset that the store has just told."""
        return position_of(self.current, offset)

    def offset_of(self, position: int) -> int:
        """Returns the offset of a position, for a request.

        Raises:
            EraError: The position is of another era.
        """
        if era_of(position) != self.current:
            raise EraError(
                f"position of era {era_of(position)} in era {self.current}"
            )
        return offset_of(position)


def parse_era(value: bytes | None) -> int | None:
    """Returns the era that an answer's header tells, or None."""
    if value is None or not value.isdigit() or len(value) > len(str(MAX_ERA)):
        return None
    number = int(value)
    return number if number <= MAX_ERA else None
