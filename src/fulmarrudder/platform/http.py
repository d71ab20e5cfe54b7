"""HTTP endpoints for readiness probes, heartbeats of targets and metrics."""

import dataclasses

from twisted.internet.defer import Deferred

from fulmarrudder.membership import (
    Announcement,
    DepartedTarget,
    ForeignServiceError,
)
from fulmarrudder.node.gossip_node import GossipNode
from fulmarrudder.observe import logs
from fulmarrudder.pages import Page, PageFactory
from fulmarrudder.platform.heartbeats import INSTANCE_PATH, parse_heartbeat

MAX_BODY_BYTES = 65_536
ACKNOWLEDGEMENT = b"{}"


class ReadinessResource(Page):
    """Answers readiness probes."""

    def __init__(self, node: GossipNode):
        self.node = node

    def render_GET(self, request):  # noqa: N802
        """Returns 200 when this node may receive callers, else 503."""
        if self.node.serving:
            return b"ready\n"
        request.setResponseCode(503)
        return b"not ready\n"


class MetricsResource(Page):
    """Serves the metrics in the Prometheus text format."""

    content_type = b"text/plain; version=0.0.4"

    def __init__(self, node: GossipNode):
        self.node = node

    def render_GET(self, request):  # noqa: N802
        """Renders the metrics."""
        return self.node.metrics.render(self.node.gauges())


class HeartbeatResource(Page):
    """Receives heartbeats and deregistrations of targets.

    Attributes:
        incarnations: Incarnations assigned to targets whose heartbeats have
            no start time, by id: ids seen later get higher ones.
    """

    allowed = b"POST"
    content_type = b"application/json"

    def __init__(self, node: GossipNode):
        self.node = node
        self.incarnations: dict[str, int] = {}

    def render_POST(self, request):  # noqa: N802
        """Applies a heartbeat or a deregistration."""
        match = INSTANCE_PATH.match(request.path)
        if match is None:
            request.setResponseCode(404)
            return b"{}"
        target = match[1].decode("latin-1")
        if match[2] == b"deregister":
            return self._deregister(target)
        parsed = parse_heartbeat(
            target,
            request.content.read(MAX_BODY_BYTES),
            now=self.node.clock.seconds(),
        )
        if parsed.is_error():
            return _refuse_heartbeat(request, target, parsed.error)
        try:
            applied = self.node.apply_announcement(
                self._with_incarnation(parsed.ok)
            )
        except ForeignServiceError as error:
            return _refuse_heartbeat(request, target, error)
        return applied.addCallback(lambda _: ACKNOWLEDGEMENT)

    def _deregister(self, target: str) -> Deferred:
        latest = self.node.local_target.latest
        is_known = latest is not None and latest.id == target
        logs.info("target-deregistered", target=target, known=is_known)
        if not is_known:
            # This process may have started after the target's last heartbeat,
            # and another one may be on its way.
            now_ms = int(self.node.wall() * 1000)
            left = self.node.unknown_target_leaves(
                DepartedTarget(id=target, incarnation=now_ms)
            )
        else:
            left = self.node.target_leaves()
        return left.addCallback(lambda _: ACKNOWLEDGEMENT)

    def _with_incarnation(self, announcement: Announcement) -> Announcement:
        if announcement.incarnation:
            return announcement
        incarnation = self.incarnations.setdefault(
            announcement.id, len(self.incarnations) + 1
        )
        return dataclasses.replace(announcement, incarnation=incarnation)


def _refuse_heartbeat(request, target: str, error: Exception) -> bytes:
    logs.warning(
        "heartbeat-refused",
        target=target,
        error=type(error).__name__,
        detail=error,
    )
    request.setResponseCode(400)
    return b"{}"


def make_site(page: Page) -> PageFactory:
    """Returns the factory that serves a page to all requests."""
    return PageFactory(page, MAX_BODY_BYTES)
