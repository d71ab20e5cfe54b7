"""A log handler that never waits for the reader of its output."""

import logging
import os
import select

LINE_END = b"\n"
TRUNCATED_LINE_END = b"...\n"


class NonBlockingHandler(logging.Handler):
    """Writes log lines to a file descriptor, and drops those it can't take.

    A pipe that is reported as writable takes `select.PIPE_BUF` bytes without
    blocking, so longer lines are truncated to that size. The descriptor's
    flags, which other processes may share, stay as they are.

    Attributes:
        dropped: Lines dropped since the start of the process.
        unreported: Lines dropped since the last one written.
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        self.unreported = 0
        self.poller = select.poll()
        self.poller.register(descriptor, select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes the line of a record, or drops it."""
        if not self._is_writable():
            self._drop()
            return
        if self.unreported:
            record.msg = {**record.msg, "lines_dropped": self.unreported}
        try:
            os.write(self.descriptor, _encode(self.format(record)))
        except OSError:
            # Nobody reads the log any more; the node serves on without it.
            self._drop()
            return
        self.unreported = 0

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self.poller.poll(0))

    def _drop(self) -> None:
        self.dropped += 1
        self.unreported += 1


def _encode(text: str) -> bytes:
    data = text.encode("utf-8", "backslashreplace")
    if len(data) + len(LINE_END) <= select.PIPE_BUF:
        return data + LINE_END
    return data[: select.PIPE_BUF - len(TRUNCATED_LINE_END)] + (
        TRUNCATED_LINE_END
    )
