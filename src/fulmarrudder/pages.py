"""Serves a single page over HTTP, by `twisted.web.http`.

The sites of `twisted.web.server`, with their trees of resources, take longer to
import than all of `twisted.web.http`.
"""

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.logger import Logger
from twisted.web.http import (
    HTTPChannel,
    HTTPFactory,
    Request,
    datetimeToString,
)

from fulmarrudder.bounded import BoundedBody, Unlogged

LOGGER = Logger()
FAULT = b"fault\n"
# Open connections to a page. A probe or a target needs one.
MAX_CONNECTIONS = 64
METHOD_NOT_ALLOWED = b"method not allowed\n"


class Page:
    """A page; each method of requests that it serves is a method of its own.

    Those are `render_GET` and `render_POST`. They get the request, whose status
    they may set, and return the body of the answer or a Deferred of it.

    Attributes:
        allowed: The methods of requests that it serves.
        content_type: Content type of its answers.
    """

    allowed = b"GET, HEAD"
    content_type = b"text/plain"

    def render(self, request) -> bytes | Deferred:
        """Answers a request.

        Args:
            request: The request, whose body has been received.

        Returns:
            The body of the answer, or a Deferred of it.
        """
        method = b"GET" if request.method == b"HEAD" else request.method
        render = getattr(self, f"render_{method.decode('latin-1')}", None)
        if render is None:
            request.setResponseCode(405)
            request.setHeader(b"allow", self.allowed)
            return METHOD_NOT_ALLOWED
        return render(request)


class _PageRequest(BoundedBody, Request):
    """A request to a `PageFactory`.

    Attributes:
        is_closed: Whether the connection was lost before the answer.
    """

    is_closed = False

    def process(self):
        """Answers the request, which has been received."""
        page = self.channel.factory.page
        self.setHeader(b"date", datetimeToString())
        self.setHeader(b"content-type", page.content_type)
        self.notifyFinish().addErrback(self._close)
        maybeDeferred(page.render, self).addErrback(self._fail).addCallback(
            self._answer
        )

    def _close(self, _failure) -> None:
        self.is_closed = True

    def _fail(self, failure) -> bytes:
        LOGGER.failure("page", failure)
        self.setResponseCode(500)
        return FAULT

    def _answer(self, body: bytes) -> None:
        if self.is_closed:
            return
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


class _PageChannel(HTTPChannel):
    """A connection to a `PageFactory`."""

    def connectionMade(self):  # noqa: N802
        """Registers the connection."""
        super().connectionMade()
        self.factory.admit(self)

    def connectionLost(self, reason):  # noqa: N802
        """Forgets the connection."""
        self.factory.channels.pop(self, None)
        super().connectionLost(reason)


class PageFactory(Unlogged, HTTPFactory):
    """Serves one page to all requests.

    Attributes:
        page: The page.
        channels: Open connections, the oldest first.
        body_limit: Most bytes of the body of a request.
    """

    protocol = _PageChannel

    def __init__(self, page: Page, body_limit: int):
        super().__init__()
        self.page = page
        self.channels: dict[_PageChannel, None] = {}
        self.body_limit = body_limit

    def admit(self, channel: _PageChannel) -> None:
        """Adds a connection, and closes the oldest if there are too many."""
        self.channels[channel] = None
        if len(self.channels) > MAX_CONNECTIONS:
            oldest = next(iter(self.channels))
            del self.channels[oldest]
            oldest.transport.abortConnection()

    def buildProtocol(self, addr):  # noqa: N802
        """Returns the protocol of a connection."""
        channel = super().buildProtocol(addr)
        channel.requestFactory = _PageRequest
        return channel
