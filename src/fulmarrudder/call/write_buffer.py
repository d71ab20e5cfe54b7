"""Filter: coalesces the small writes of one reactor iteration.

Twisted's transport waits until the reactor reports the socket as writable. That
costs an iteration of the loop and two changes of the poll set for each write.
An idle socket almost always accepts a small message immediately, so it is
written directly.
"""

from fulmarrudder.clock import Clock

MAX_DIRECT_WRITE_BYTES = 65_536


class WriteBuffer:
    """Buffers the writes to one transport.

    Attributes:
        transport: The transport.
        pending: Data written since the last flush.
        flush_call: Timer of the next flush, or None.
        corked: Whether data is buffered until `uncork`.
        can_write_directly: Whether the transport has `writeSomeData`.
        failed: Whether a direct write has met an error of the socket. A socket
            reports its error once: the read after it meets an end that looks
            like a close.
    """

    __slots__ = (
        "clock",
        "corked",
        "can_write_directly",
        "failed",
        "flush_call",
        "pending",
        "transport",
    )

    def __init__(self, transport, clock: Clock):
        self.transport = transport
        self.clock = clock
        self.can_write_directly = hasattr(transport, "writeSomeData")
        self.pending: list[bytes] = []
        self.flush_call = None
        self.corked = False
        self.failed = False

    def cork(self) -> None:
        """Buffers data until `uncork`, or until the end of a message."""
        self.corked = True

    def uncork(self) -> None:
        """Flushes, and ends the effect of `cork`."""
        self.corked = False
        self.flush()

    def write(self, data: bytes) -> None:
        """Buffers data, and schedules a flush unless corked."""
        if not self.can_write_directly:
            self.transport.write(data)
            return
        self.pending.append(data)
        if self.flush_call is None and not self.corked:
            self.flush_call = self.clock.callLater(0, self.flush)

    def send(self, data: bytes) -> None:
        """Writes the last bytes of a message, and flushes."""
        if not self.can_write_directly:
            self.transport.write(data)
            return
        self.pending.append(data)
        self.flush()

    def flush(self) -> None:
        """Writes the buffered data to the transport."""
        flush_call, self.flush_call = self.flush_call, None
        if flush_call is not None and flush_call.active():
            flush_call.cancel()
        if not self.pending:
            return
        data = b"".join(self.pending)
        self.pending = []
        if not data:
            return
        transport = self.transport
        if len(data) <= MAX_DIRECT_WRITE_BYTES and self._is_drained():
            sent = transport.writeSomeData(data)
            if isinstance(sent, int):
                data = data[sent:]
            else:
                self.failed = True
        if data:
            transport.write(data)

    def _is_drained(self) -> bool:
        transport = self.transport
        if not transport.connected or transport.disconnecting:
            return False
        return not self.has_unsent_data()

    def has_unsent_data(self) -> bool:
        """Returns whether the transport buffers data."""
        if not self.can_write_directly:
            return False
        # The transport buffers unsent bytes in these two attributes, and has
        # no public method that reports whether there are any.
        transport = self.transport
        return bool(transport.dataBuffer or transport._tempDataBuffer)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the peer's side has not taken yet."""
        if not self.can_write_directly:
            return 0
        transport = self.transport
        size = sum(map(len, self.pending))
        size += len(transport.dataBuffer) - transport.offset
        return size + transport._tempDataLen

    def abort(self) -> None:
        """Discards the buffered data, and resets the connection."""
        self.pending = []
        self.transport.abortConnection()

    def close(self) -> None:
        """Flushes, then closes the connection."""
        self.flush()
        self.transport.loseConnection()

    def close_without_waiting(self) -> None:
        """Closes the connection; resets it if the peer has not read all.

        A peer that has stopped reading would otherwise keep it open, with the
        unsent bytes.
        """
        self.flush()
        if self.has_unsent_data():
            self.transport.abortConnection()
            return
        self.transport.loseConnection()
