"""HTTP endpoints for readiness probes, heartbeats of targets and metrics."""

import dataclasses
import functools

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

from fulmarrudder.membership import (
    Announcement,
    DepartedTarget,
    ForeignServiceError,
)
from fulmarrudder.node.errors import DepartureRecordError
from fulmarrudder.node.gossip_node import GossipNode
from fulmarrudder.observe import logs
from fulmarrudder.pages import Page, PageFactory
from fulmarrudder.platform.errors import DocumentError
from fulmarrudder.platform.heartbeats import (
    INSTANCE_PATH,
    parse_deregistration,
    parse_heartbeat,
)

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
        apply = (
            self._deregister
            if match[2] == b"deregister"
            else self._apply_heartbeat
        )
        applied = maybeDeferred(apply, target, request)
        applied.addCallbacks(
            lambda _: ACKNOWLEDGEMENT, _refuse, errbackArgs=(request, target)
        )
        return applied

    def _apply_heartbeat(self, target: str, request) -> Deferred:
        parsed = parse_heartbeat(
            target,
            request.content.read(MAX_BODY_BYTES),
            now=self.node.clock.seconds(),
        )
        if parsed.is_error():
            raise parsed.error
        return self.node.apply_announcement(self._with_incarnation(parsed.ok))

    def _deregister(self, target: str, request) -> Deferred:
        parsed = parse_deregistration(request.content.read(MAX_BODY_BYTES))
        if parsed.is_error():
            raise parsed.error
        latest = self.node.local_target.latest
        is_known = latest is not None and latest.id == target
        logs.info("target-deregistered", target=target, known=is_known)
        if parsed.ok is not None:
            return self.node.target_departs(
                DepartedTarget(id=target, incarnation=parsed.ok)
            )
        if is_known:
            return self.node.target_leaves()
        now_ms = int(self.node.wall() * 1000)
        return self.node.target_departs(
            DepartedTarget(id=target, incarnation=now_ms)
        )

    def _with_incarnation(self, announcement: Announcement) -> Announcement:
        if announcement.incarnation:
            return announcement
        incarnation = self.incarnations.setdefault(
            announcement.id, len(self.incarnations) + 1
        )
        return dataclasses.replace(announcement, incarnation=incarnation)


def _refuse(failure: Failure, request, target: str) -> bytes:
    """Answers a call of a target that is not acknowledged."""
    error = failure.value
    request.setResponseCode(_status_of(error))
    logs.warning(
        "heartbeat-refused",
        target=target,
        error=type(error).__name__,
        detail=error,
    )
    return b"{}"


@functools.singledispatch
def _status_of(error: Exception) -> int:
    raise error


@_status_of.register
def _(error: DocumentError | ForeignServiceError) -> int:
    return 400


@_status_of.register
def _(error: DepartureRecordError) -> int:
    return 503


def make_site(page: Page) -> PageFactory:
    """Returns the factory that serves a page to all requests."""
    return PageFactory(page, MAX_BODY_BYTES)
