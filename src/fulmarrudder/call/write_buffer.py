"""Filter: coalesces a turn's small writes and sends them at once.

Twisted's transport waits for the reactor to call the socket writable, which
costs a turn of the loop and two changes of the poll set for each write. An
idle socket nearly always takes a small message at once.
"""

from fulmarrudder.clock import Clock

EAGER_LIMIT_BYTES = 65_536


class WriteBuffer:
    """Writes to one transport.

    Attributes:
        transport: The transport.
        held: What has been written in this turn of the loop.
        due: The call that will send it, or None.
        corked: Whether whoever writes will say when to send.
    """

    __slots__ = ("clock", "corked", "direct", "due", "held", "transport")

    def __init__(self, transport, clock: Clock):
        self.transport = transport
        self.clock = clock
        self.direct = hasattr(transport, "writeSomeData")
        self.held: list[bytes] = []
        self.due = None
        self.corked = False

    def cork(self) -> None:
        """Holds what is written until `uncork`, or the end of a message."""
        self.corked = True

    def uncork(self) -> None:
        """Sends what is held, and holds nothing any longer than a turn."""
        self.corked = False
        self.flush()

    def write(self, data: bytes) -> None:
        """Writes bytes by the end of this turn of the loop."""
        if not self.direct:
            self.transport.write(data)
            return
        self.held.append(data)
        if self.due is None and not self.corked:
            self.due = self.clock.callLater(0, self.flush)

    def send(self, data: bytes) -> None:
        """Writes bytes that nothing more of their message follows."""
        if not self.direct:
            self.transport.write(data)
            return
        self.held.append(data)
        self.flush()

    def flush(self) -> None:
        """Sends what is held, as at the end of a message."""
        due, self.due = self.due, None
        if due is not None and due.active():
            due.cancel()
        if not self.held:
            return
        data = b"".join(self.held)
        self.held = []
        if not data:
            return
        transport = self.transport
        if len(data) <= EAGER_LIMIT_BYTES and self._idle():
            sent = transport.writeSomeData(data)
            if isinstance(sent, int):
                data = data[sent:]
        if data:
            transport.write(data)

    def _idle(self) -> bool:
        # The transport keeps bytes that wait for the socket in these two
        # places, and has no public way to ask whether it holds any.
        transport = self.transport
        if not transport.connected or transport.disconnecting:
            return False
        return not transport.dataBuffer and not transport._tempDataBuffer

    def abort(self) -> None:
        """Drops what is held and resets the connection."""
        self.held = []
        self.transport.abortConnection()

    def close(self) -> None:
        """Sends what is held, then closes the connection."""
        self.flush()
        self.transport.loseConnection()
