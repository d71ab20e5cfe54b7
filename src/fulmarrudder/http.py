"""A request body for `twisted.web.client`."""

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


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
