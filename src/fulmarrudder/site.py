"""Sites of `twisted.web` whose requests have bounded bodies."""

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from fulmarrudder.bounded import BoundedBody, Unlogged


class _BoundedRequest(BoundedBody, Request):
    """A request to a `BoundedSite`."""


class BoundedSite(Unlogged, Site):
    """A site that limits the bodies of requests, and does not log requests.

    Attributes:
        body_limit: Most bytes of a body.
    """

    requestFactory = _BoundedRequest  # noqa: N815

    def __init__(self, resource: Resource, body_limit: int):
        super().__init__(resource)
        self.body_limit = body_limit
