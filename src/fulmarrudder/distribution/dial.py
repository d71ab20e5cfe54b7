"""Opens links to other nodes."""

from twisted.internet.protocol import ClientFactory

from fulmarrudder.distribution.guard import (
    Guard,
    GuardedHandler,
    ignore,
    unguarded,
)
from fulmarrudder.distribution.keepalive import Keepalive
from fulmarrudder.distribution.link import Link, LinkHandler
from fulmarrudder.observe import Metrics

CONNECT_TIMEOUT_S = 1.0


class Dialer:
    """Opens links from this node.

    Attributes:
        token: Shared secret with which nodes authenticate to each other.
        guard: Keeps exceptions of handlers from their links.
        keepalive: Checks the open links of this node, dialled and accepted.
    """

    def __init__(
        self,
        reactor,
        token: bytes,
        metrics: Metrics,
        guard: Guard = unguarded,
    ):
        self.reactor = reactor
        self.guard = guard
        self.token = token
        self.metrics = metrics
        # An exception at one link does not keep others from their check.
        self.keepalive = Keepalive(
            reactor, guard("keepalive", Link.keep_alive, ignore)
        )

    def accept(self, handler: LinkHandler) -> Link:
        """Returns this side of a link that another node opens."""
        return Link(
            self.reactor,
            GuardedHandler(handler, self.guard),
            self.token,
            self.metrics,
            keepalive=self.keepalive,
        )

    def dial(self, address: str, handler: LinkHandler) -> Link:
        """Starts to open a link.

        Args:
            address: host:port of the other node's mesh listener.
            handler: Called when the link opens, receives a message or
                closes; a failed connection is reported as closed.

        Returns:
            The link, which is not open yet.
        """
        link = Link(
            self.reactor,
            GuardedHandler(handler, self.guard),
            self.token,
            self.metrics,
            keepalive=self.keepalive,
            address=address,
        )
        host, _, port = address.rpartition(":")
        self.reactor.connectTCP(
            host, int(port), _LinkFactory(link), timeout=CONNECT_TIMEOUT_S
        )
        return link


class _LinkFactory(ClientFactory):
    """Opens the connection of one link."""

    noisy = False

    def __init__(self, link: Link):
        self.link = link

    def buildProtocol(self, addr):  # noqa: N802
        """Returns the link, once it is connected."""
        return self.link

    def clientConnectionFailed(self, connector, reason):  # noqa: N802
        """Reports a link that could not be opened as closed."""
        if not self.link.closed:
            self.link.closed = True
            self.link.handler.link_closed(self.link)
