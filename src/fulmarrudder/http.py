"""Bodies of `twisted.web`: sent from memory, or received up to a size."""

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.iweb import IBodyProducer, IResponse
from zope.interface import implementer


class BodyTooLargeError(Exception):
    """The other side sent more of a body than is read."""


@implementer(IBodyProducer)
class BytesBody:
    """Sends a body from memory.

    Attributes:
        data: The body.
        length: Its size in bytes.
    """

    def __init__(self, data: bytes):
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer) -> Deferred:  # noqa: N802
        """Writes the body."""
        consumer.write(self.data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is written in one call."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is written in one call."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; the body is written in one call."""


class _BodyReader(Protocol):
    """Collects the body of a response up to a limit."""

    def __init__(self, limit: int):
        self.limit = limit
        self.chunks: list[bytes] = []
        self.size = 0
        self.body: Deferred = Deferred(lambda _: self._close())

    def dataReceived(self, data):  # noqa: N802
        """Adds a part of the body."""
        if self.body.called:
            return
        self.size += len(data)
        if self.size <= self.limit:
            self.chunks.append(data)
            return
        self.chunks = []
        self._close()
        self.body.errback(
            BodyTooLargeError(f"body of more than {self.limit} bytes")
        )

    def connectionLost(self, reason):  # noqa: N802
        """Completes the body, or fails it if it was cut off."""
        if self.body.called:
            return
        if reason.check(ResponseDone) is None:
            self.body.errback(reason)
            return
        self.body.callback(b"".join(self.chunks))

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


def read_body(response: IResponse, limit: int) -> Deferred:
    """Reads the body of a response.

    Args:
        response: The response.
        limit: Most bytes of the body; beyond them the connection is closed.

    Returns:
        Deferred of the body, which fails with `BodyTooLargeError`, or with the
        reason for which the body was cut off. Cancelling it closes the
        connection.
    """
    reader = _BodyReader(limit)
    response.deliverBody(reader)
    return reader.body
