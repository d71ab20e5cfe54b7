"""Servers of `twisted.web` with bounded bodies and without an access log.

Mixed into its requests and factories, whichever of its servers they belong to.
"""

from fulmarrudder.observe import logs


class BoundedBody:
    """A request whose connection is closed if its body is too large.

    Attributes:
        received_bytes: Bytes of the body received so far.
    """

    received_bytes = 0

    def handleContentChunk(self, data):  # noqa: N802
        """Adds a part of the body."""
        limit = self.channel.factory.body_limit
        is_over = self.received_bytes > limit
        self.received_bytes += len(data)
        if self.received_bytes <= limit:
            super().handleContentChunk(data)
            return
        if is_over:
            return
        logs.warning(
            "request-too-large",
            client=self.getClientAddress().host,
            limit=limit,
        )
        self.channel.transport.abortConnection()


class Unlogged:
    """A factory without an access log.

    Its lines would go to Twisted's log, which nobody reads, and their time of
    day costs a wake-up each second.
    """

    noisy = False

    def startFactory(self):  # noqa: N802
        """Does nothing; the access log would be opened here."""
