"""Limits the request bodies that other nodes send to this node at once.

Bodies that arrive together on a slow link hold up everything else that arrives
there, such as configuration versions, for seconds.
"""

import collections
import enum
import math
from collections.abc import Callable

from fulmarrudder.call.body import RequestBody
from fulmarrudder.call.message import Framing, RequestHead
from fulmarrudder.clock import Clock

# What may be under way, in seconds of the link: enough to keep it busy for the
# round trip after which the next body arrives.
WINDOW_S = 0.15
# Time without a byte after which a body loses its room: its sender may be frozen.
STALL_TIMEOUT_S = 0.5


class _State(enum.Enum):
    IDLE = enum.auto()
    WAITING = enum.auto()
    ADMITTED = enum.auto()
    RELEASED = enum.auto()


class Intake:
    """Admits bodies in order while those under way fit into the window.

    Attributes:
        window_bytes: Bytes of bodies that may be under way. A larger body is
            admitted alone.
        admitted_bytes: Bytes of the bodies that were admitted and have not
            ended.
        waiting: Permits of the bodies that wait, in order.
    """

    def __init__(self, clock: Clock, bytes_per_s: float = math.inf):
        self.clock = clock
        self.window_bytes = bytes_per_s * WINDOW_S
        self.admitted_bytes = 0.0
        self.waiting: collections.deque[BodyPermit] = collections.deque()

    def permit(
        self, head: RequestHead, body: RequestBody, start: Callable[[], None]
    ) -> "BodyPermit":
        """Returns the permit of a request's body.

        Args:
            head: Head of the request.
            body: Its body; the permit ends with it.
            start: Lets the other node send the body.
        """
        permit = BodyPermit(self, self._size_of(head), body, start)
        body.on_end = permit.release
        return permit

    def _size_of(self, head: RequestHead) -> float:
        """Returns the part of the window for a body; all of it if unknown."""
        if math.isinf(self.window_bytes) or head.framing is Framing.NONE:
            return 0.0
        if head.framing is Framing.LENGTH:
            return min(float(head.length), self.window_bytes)
        return self.window_bytes

    def admit(self) -> None:
        """Admits the bodies that fit."""
        while self.waiting:
            permit = self.waiting[0]
            used = self.admitted_bytes + permit.size
            if self.admitted_bytes and used > self.window_bytes:
                return
            self.waiting.popleft()
            self.admitted_bytes = used
            permit.begin()


class BodyPermit:
    """The part of the window that one body takes.

    Attributes:
        size: Bytes of the window.
        body: The body.
        seen_bytes: Bytes of it that had arrived when the timer was set.
        start: Lets the other node send the body.
        state: Where the body is on its way.
        timer: Ends the use of the window, or None.
    """

    __slots__ = (
        "body",
        "intake",
        "seen_bytes",
        "size",
        "start",
        "state",
        "timer",
    )

    def __init__(
        self,
        intake: Intake,
        size: float,
        body: RequestBody,
        start: Callable[[], None],
    ):
        self.body = body
        self.seen_bytes = 0
        self.intake = intake
        self.size = size
        self.start = start
        self.state = _State.IDLE
        self.timer = None

    def request(self) -> None:
        """Asks for the body once there is room; a second call does nothing."""
        if self.state is not _State.IDLE:
            return
        self.state = _State.WAITING
        self.intake.waiting.append(self)
        self.intake.admit()

    def begin(self) -> None:
        """Lets the other node send the body."""
        self.state = _State.ADMITTED
        if self.size:
            self._watch()
        self.start()

    def _watch(self) -> None:
        self.seen_bytes = self.body.received_bytes
        self.timer = self.intake.clock.callLater(
            STALL_TIMEOUT_S, self._release_if_stalled
        )

    def _release_if_stalled(self) -> None:
        self.timer = None
        if self.body.received_bytes > self.seen_bytes:
            self._watch()
        else:
            self.release()

    def release(self) -> None:
        """Ends the use of the window; a second call does nothing."""
        state, self.state = self.state, _State.RELEASED
        timer, self.timer = self.timer, None
        if timer is not None:
            timer.cancel()
        if state is _State.WAITING:
            self.intake.waiting.remove(self)
        elif state is _State.ADMITTED:
            self.intake.admitted_bytes -= self.size
        else:
            return
        self.intake.admit()
