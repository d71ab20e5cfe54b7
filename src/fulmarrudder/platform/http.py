"""The platform's calls to this node: readiness, and targets' announcements."""

import dataclasses

from twisted.web.resource import Resource
from twisted.web.server import Site

from fulmarrudder.membership import Announcement
from fulmarrudder.model import Condition
from fulmarrudder.node.member import Member
from fulmarrudder.observe import logs
from fulmarrudder.platform.heartbeats import INSTANCE_PATH, parse_heartbeat

BODY_LIMIT = 65_536
ACKNOWLEDGED = b"{}"
# A target that has said goodbye is not back by a heartbeat sent before that.
LAST_SEQUENCE = 1 << 60


class ReadinessResource(Resource):
    """Tells whether this node may be given callers."""

    isLeaf = True  # noqa: N815

    def __init__(self, member: Member):
        super().__init__()
        self.member = member

    def render_GET(self, request):  # noqa: N802
        """Answers the platform's question."""
        if self.member.serving:
            return b"ready\n"
        request.setResponseCode(503)
        return b"not ready\n"


class MetricsResource(Resource):
    """Answers with metrics, in the Prometheus text format."""

    isLeaf = True  # noqa: N815

    def __init__(self, member: Member):
        super().__init__()
        self.member = member

    def render_GET(self, request):  # noqa: N802
        """Renders the metrics."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return self.member.metrics.render(self.member.gauges())


class HeartbeatResource(Resource):
    """Takes what targets say of themselves.

    Attributes:
        order: Incarnations of targets that do not tell their start, by id.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, member: Member):
        super().__init__()
        self.member = member
        self.order: dict[str, int] = {}

    def render_POST(self, request):  # noqa: N802
        """Takes a heartbeat or a goodbye."""
        request.setHeader(b"content-type", b"application/json")
        found = INSTANCE_PATH.match(request.path)
        if found is None:
            request.setResponseCode(404)
            return b"{}"
        target = found[1].decode("latin-1")
        if found[2] == b"deregister":
            return self._goodbye(target)
        read = parse_heartbeat(target, request.content.read(BODY_LIMIT))
        if read.is_error():
            logs.warning("beat-refused", target=target, why=read.error)
            request.setResponseCode(400)
            return b"{}"
        self.member.announced(self._placed(read.ok))
        return ACKNOWLEDGED

    def _goodbye(self, target: str) -> bytes:
        latest = self.member.local_target.latest
        if latest is not None and latest.id == target:
            logs.info("target-goodbye", target=target)
            self.member.announced(
                dataclasses.replace(
                    latest,
                    condition=Condition.LEAVING,
                    sequence=LAST_SEQUENCE,
                )
            )
        return ACKNOWLEDGED

    def _placed(self, announcement: Announcement) -> Announcement:
        if announcement.incarnation:
            return announcement
        known = self.order.setdefault(announcement.id, len(self.order) + 1)
        return dataclasses.replace(announcement, incarnation=known)


def make_site(resource: Resource) -> Site:
    """Returns the site that serves a resource."""
    site = Site(resource)
    site.noisy = False
    return site
