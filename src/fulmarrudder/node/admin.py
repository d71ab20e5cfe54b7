"""The admin port: announcements, operators' commands, probes and metrics.

It serves HTTP to the local target, to operators and to the platform.
"""

import ipaddress

from twisted.web.resource import Resource
from twisted.web.server import Site

from fulmarrudder.membership import parse_announcement
from fulmarrudder.node.gauges import in_flight_gauges
from fulmarrudder.node.node import Node
from fulmarrudder.observe import Sample
from fulmarrudder.site import BoundedSite

MAX_BODY_BYTES = 8 * 1024 * 1024
# Commands of operators carry whole arrangements.
MAX_REQUEST_BYTES = 16 * 1024 * 1024


class ProbeResource(Resource):
    """Responds to a health probe with 200 or 503."""

    isLeaf = True  # noqa: N815

    def __init__(self, is_healthy):
        super().__init__()
        self.is_healthy = is_healthy

    def render_GET(self, request):  # noqa: N802
        """Returns the body of the response to the probe."""
        if self.is_healthy():
            return b"ok\n"
        request.setResponseCode(503)
        return b"not ready\n"


class MetricsResource(Resource):
    """Serves the node's metrics."""

    isLeaf = True  # noqa: N815

    def __init__(self, node: Node):
        super().__init__()
        self.node = node

    def render_GET(self, request):  # noqa: N802
        """Renders metrics in the Prometheus text format."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return self.node.metrics.render(collect_gauges(self.node))


class AnnouncementResource(Resource):
    """Accepts announcements of the local target."""

    isLeaf = True  # noqa: N815

    def __init__(self, node: Node):
        super().__init__()
        self.node = node

    def render_POST(self, request):  # noqa: N802
        """Applies one announcement.

        Responds with 403 to a client on another instance and with 400 to a
        body that is not a valid announcement.
        """
        if not is_local_address(request.getClientAddress().host, self.node):
            request.setResponseCode(403)
            return b"only the target beside this node may announce\n"
        parsed = parse_announcement(request.content.read(MAX_BODY_BYTES))
        if parsed.is_error():
            request.setResponseCode(400)
            return f"{parsed.error}\n".encode()
        self.node.apply_announcement(parsed.ok)
        return b"ok\n"


def is_local_address(host: str, node: Node) -> bool:
    """Returns whether an address belongs to this node's instance."""
    own = node.settings.admin_address.rpartition(":")[0]
    return host == own or ipaddress.ip_address(host).is_loopback


def collect_gauges(node: Node) -> tuple[Sample, ...]:
    """Returns the current values of a node's gauges."""
    state = node.state_store.state
    values = {
        "fulmarrudder_config_version": state.version,
        "fulmarrudder_config_offset": state.offset,
        "fulmarrudder_log_available": int(node.config_reader.available),
        "fulmarrudder_duties_held": len(node.duties()),
        "fulmarrudder_children": len(node.mesh.children.by_link),
        "fulmarrudder_attached": int(
            node.mesh.uplink.attached or node.mesh.is_relay()
        ),
        "fulmarrudder_brakes": len(node.facts.brakes),
        "fulmarrudder_strikes": sum(
            len(crashes) for crashes in node.facts.strikes.values()
        ),
        "fulmarrudder_endpoints": sum(
            len(nodes) for nodes in node.facts.presences_by_service.values()
        ),
    }
    samples = (
        Sample(name=name, labels=(), value=value)
        for name, value in values.items()
    )
    return (*samples, *in_flight_gauges(node))


def make_admin_site(node: Node, **resources: Resource) -> Site:
    """Builds the admin port's site.

    Args:
        node: The node.
        **resources: Further resources by their path.
    """
    root = Resource()
    root.putChild(b"healthz", ProbeResource(lambda: True))
    root.putChild(b"readyz", ProbeResource(lambda: node.serving))
    root.putChild(b"metrics", MetricsResource(node))
    root.putChild(b"announce", AnnouncementResource(node))
    for path, resource in resources.items():
        root.putChild(path.encode(), resource)
    return BoundedSite(root, MAX_REQUEST_BYTES)
