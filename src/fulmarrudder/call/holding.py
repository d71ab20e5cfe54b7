"""Decision: how long a request holds its slot of the target."""

from collections.abc import Callable

from fulmarrudder.call.exchange import Exchange, ExchangeEnd
from fulmarrudder.call.slots import Slots
from fulmarrudder.clock import Clock
from fulmarrudder.placement import Run


class SlotUse:
    """A slot in use, which is released exactly once.

    It is released at the end of the exchange, or when the request ends without
    one.

    Attributes:
        route: Name of the route.
        run: The work that the slot was granted for.
        on_release: Called before the slot is released.
        exchange: The exchange that uses the slot; None without one.
        is_held: Whether it has not been released.
        detached: Whether it is kept until the claimed request has completed.
        started_at: Clock seconds of the start of the last exchange.
    """

    __slots__ = (
        "clock",
        "slots",
        "route",
        "run",
        "on_release",
        "exchange",
        "is_held",
        "detached",
        "started_at",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        slots: Slots,
        route: str,
        run: Run,
        on_release: Callable[[], None],
    ):
        self.clock = clock
        self.slots = slots
        self.route = route
        self.run = run
        self.on_release = on_release
        self.exchange: Exchange | None = None
        self.is_held = True
        self.detached = False
        self.started_at = 0.0

    def attach(self, exchange: Exchange) -> None:
        """Keeps the slot until an exchange ends."""
        self.exchange = exchange
        self.started_at = self.clock.seconds()
        exchange.call_at_end(self._ended)

    def release_if_unused(self) -> None:
        """Releases the slot unless an exchange still uses it."""
        if self.detached:
            return
        if self.exchange is None or self.exchange.end is not None:
            self._release()

    def _ended(self, end: ExchangeEnd) -> None:
        self.exchange = None
        if end is ExchangeEnd.STALE:
            # The request may be sent again, and is released when it ends.
            return
        if not self.detached:
            service_time_s = None
            if end is ExchangeEnd.COMPLETE:
                service_time_s = self.clock.seconds() - self.started_at
            self._release(service_time_s)

    def _release(self, service_time_s: float | None = None) -> None:
        if self.is_held:
            self.is_held = False
            self.on_release()
            self.slots.release(service_time_s, self.route, self.run)
