"""Records the departure of the local target where a restart doesn't lose it."""

from collections.abc import Callable, Coroutine

from twisted.internet.defer import Deferred, TimeoutError, succeed

from fulmarrudder.clock import Clock
from fulmarrudder.membership import DepartedTarget
from fulmarrudder.node.errors import DepartureRecordError
from fulmarrudder.observe import logs

# A target expects its acknowledgement within a second.
RECORD_TIMEOUT_S = 0.6
# Pause after a failed write that no target awaits.
RETRY_S = 1.0


class DepartureRecorder:
    """Records departures; tries again until the latest one is recorded.

    Attributes:
        write: Writes a departure; raises `DepartureRecordError`.
        departed: The latest departure, or None.
        recorded: The latest departure that was recorded, or None.
        waiting: Deferreds that fire once the latest departure is recorded.
        retry_at: Clock seconds before which a failed write is not tried again
            unless a target awaits it.
        run: Starts the task that calls `write_latest`; set once it is built.
    """

    def __init__(
        self,
        clock: Clock,
        write: Callable[[DepartedTarget], Coroutine],
    ):
        self.clock = clock
        self.write = write
        self.departed: DepartedTarget | None = None
        self.recorded: DepartedTarget | None = None
        self.waiting: list[Deferred] = []
        self.retry_at = 0.0
        self.run: Callable[[], None] = lambda: None

    def record(self, departed: DepartedTarget) -> Deferred:
        """Records a departure.

        Returns:
            Deferred that fires once the departure is recorded, or fails with
            a `DepartureRecordError` after `RECORD_TIMEOUT_S`. It is then
            recorded later, unless the process ends before.
        """
        self.departed = departed
        if departed == self.recorded:
            return succeed(None)
        waiting = Deferred()
        self.waiting.append(waiting)
        waiting.addTimeout(RECORD_TIMEOUT_S, self.clock)
        waiting.addErrback(self._timed_out, departed)
        self.run()
        return waiting

    def enter_era(self) -> None:
        """Handles that the store may have lost what was recorded."""
        self.recorded = None

    def recall(self, recorded: DepartedTarget | None) -> None:
        """Handles that the departure recorded before a start was read."""
        if self.departed is None:
            self.departed = self.recorded = recorded

    def write_latest(self) -> Coroutine | None:
        """Returns a coroutine that writes what is not recorded yet, if any."""
        if self.departed == self.recorded:
            return None
        self.waiting = [w for w in self.waiting if not w.called]
        if not self.waiting and self.clock.seconds() < self.retry_at:
            return None
        return self._write_latest()

    async def _write_latest(self) -> None:
        while self.departed != self.recorded:
            departed = self.departed
            try:
                await self.write(departed)
            except DepartureRecordError as error:
                logs.warning(
                    "departure-not-recorded", target=departed.id, detail=error
                )
                self.retry_at = self.clock.seconds() + RETRY_S
                return
            self.recorded = departed
            logs.info("departure-recorded", target=departed.id)
        waiting, self.waiting = self.waiting, []
        for deferred in waiting:
            if not deferred.called:
                deferred.callback(None)

    def _timed_out(self, failure, departed: DepartedTarget) -> None:
        failure.trap(TimeoutError)
        logs.warning("departure-record-late", target=departed.id)
        raise DepartureRecordError(
            f"not recorded within {RECORD_TIMEOUT_S} s"
        ) from failure.value
