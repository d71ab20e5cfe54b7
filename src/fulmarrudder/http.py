"""A request body for `twisted.web.client`."""

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesBody:
    """Sends bytes that are at hand.

    Attributes:
        data: The bytes.
        length: How many they are.
    """

    def __init__(self, data: bytes):
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer) -> Deferred:  # noqa: N802
        """Writes everything at once."""
        consumer.write(self.data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing; everything is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing; everything is written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; everything is written at once."""
