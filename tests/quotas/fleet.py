"""Nodes of a fleet that tell each other what they admit, on a fake clock."""

import collections
import random

from twisted.internet.task import Clock

from fulmarrudder.distribution.codec import decode, encode
from fulmarrudder.distribution.quota_exchange import (
    QUOTA_PROTOCOL,
    QuotaExchange,
)
from fulmarrudder.distribution.topology import Peer, topology_of
from fulmarrudder.model import Workspace
from fulmarrudder.quotas import FleetQuotas, QuotaBounds

BOUNDS = QuotaBounds()
LATENCY_S = 0.01
STEP_S = 0.02
REQUESTS_AT_WAKE = 5
# Least time from the end of a process until the next one has a configuration; its
# imports alone take longer.
START_S = 0.5


def workspace_of(per_s, burst=None, name="acme"):
    """Returns a workspace with a limit; its burst is a second's requests."""
    return Workspace(
        name=name,
        keys=(),
        requests_per_s=per_s,
        burst=per_s if burst is None else burst,
    )


class OpenLink:
    """One side of a link; what is sent over a cut waits for its end."""

    protocol = QUOTA_PROTOCOL

    def __init__(self, fleet, owner, peer):
        self.fleet = fleet
        self.owner = owner
        self.node = peer
        self.data_centre = peer[0]

    def send(self, message):
        self.send_encoded(encode(message))

    def send_encoded(self, data):
        self.fleet.bytes[self.owner] += len(data)
        self.fleet.clock.callLater(
            LATENCY_S, self.fleet.deliver, self.owner, self.node, data
        )


class Fleet:
    """A fleet of linked nodes; the first letter of a node is its data centre.

    Attributes:
        admitted: Time and workspace of each request that was admitted.
        refused: Number of requests refused, by workspace.
        cut: Data centres and nodes that reach no others.
        paused: Nodes that do not run, with what awaits them.
        starting: Nodes whose process is starting.
    """

    def __init__(self, workspaces, data_centres="abcd", size=3, seed=1):
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.names = [
            f"{data_centre}{index:03}"
            for data_centre in data_centres
            for index in range(size)
        ]
        self.peers = {
            name: Peer(node=name, data_centre=name[0], mesh_address=name)
            for name in self.names
        }
        self.workspaces = {
            workspace.name: workspace for workspace in workspaces
        }
        self.nodes = {}
        self.admitted = []
        self.refused = collections.Counter()
        self.bytes = collections.Counter()
        self.cut = set()
        self.held = []
        self.paused = {}
        self.starting = set()
        self.due = collections.Counter()
        for name in self.names:
            self.start(name)

    def restart(self, name):
        """Ends the process of a node and starts another."""
        self.paused.pop(name, None)
        self.nodes[name].halt()
        self.starting.add(name)
        self.clock.callLater(START_S, self.start, name)

    def start(self, name):
        """Starts a node."""
        self.paused.pop(name, None)
        self.starting.discard(name)
        if name in self.nodes:
            self.nodes[name].halt()
        now = self.clock.seconds()
        peer = self.peers[name]
        topology = topology_of(
            peer, [p for p in self.peers.values() if p.node != name]
        )
        quotas = FleetQuotas(name, peer.data_centre, now, BOUNDS)
        quotas.view.set_nodes(collections.Counter(n[0] for n in self.names), 0)
        quotas.set_workspaces(self.workspaces.values(), now)
        exchange = QuotaExchange(
            clock=self.clock,
            node=name,
            quotas=quotas,
            topology=lambda: topology,
            links={
                other: OpenLink(self, name, other)
                for other in topology.neighbours
            },
        )
        exchange.start()
        self.nodes[name] = exchange

    def limit(self, workspace):
        """Puts another limit of a workspace in force."""
        self.workspaces[workspace.name] = workspace
        for exchange in self.nodes.values():
            exchange.quotas.set_workspaces(
                self.workspaces.values(), self.clock.seconds()
            )

    def deliver(self, sender, receiver, data):
        """Delivers a message, or holds it back during a cut or a pause."""
        if receiver in self.starting:
            return
        if receiver in self.paused:
            self.paused[receiver].append((sender, receiver, data))
        elif self.is_cut(sender, receiver):
            self.held.append((sender, receiver, data))
        else:
            link = OpenLink(self, receiver, sender)
            self.nodes[receiver].receive(decode(data).ok, link)

    def is_cut(self, one, other):
        return any(
            (part == one[: len(part)]) != (part == other[: len(part)])
            for part in self.cut
        )

    def heal(self):
        """Ends all cuts."""
        self.cut.clear()
        held, self.held = self.held, []
        for message in held:
            self.deliver(*message)

    def pause(self, name):
        """Stops a node as a whole; its timers are late."""
        self.paused.setdefault(name, [])
        self.nodes[name].halt()

    def wake(self, name):
        """Lets a paused node go on; requests have waited for it."""
        messages = self.paused.pop(name)
        for workspace in self.workspaces:
            for _ in range(REQUESTS_AT_WAKE):
                self.ask(workspace, name)
        self.nodes[name].start()
        for message in messages:
            self.deliver(*message)

    def run(self, seconds, demand, *, workspace="acme", nodes=None):
        """Runs the fleet under a demand.

        Args:
            seconds: For how long.
            demand: Requests a second of a workspace.
            workspace: Its name.
            nodes: Nodes that get them; all by default.
        """
        nodes = nodes or self.names
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.due[workspace] += demand * STEP_S
            while self.due[workspace] >= 1:
                self.due[workspace] -= 1
                self.ask(workspace, self.rng.choice(nodes))

    def ask(self, workspace, node):
        """Asks a node for one request; a paused one gets none."""
        if node in self.paused or node in self.starting:
            return
        now = self.clock.seconds()
        refusal = self.nodes[node].quotas.admit(self.workspaces[workspace], now)
        if refusal is None:
            self.admitted.append((now, workspace))
        else:
            self.refused[workspace] += 1

    def excess(self, workspace="acme", since=0.0):
        """Returns by how much a workspace exceeds its bound at most."""
        limit = self.workspaces[workspace]
        bound = limit.requests_per_s * BOUNDS.window_s + limit.burst
        bound = bound * (1 + BOUNDS.excess) + BOUNDS.slack
        window = collections.deque()
        worst = -bound
        for at, name in self.admitted:
            if name != workspace or at < since:
                continue
            window.append(at)
            while window[0] <= at - BOUNDS.window_s:
                window.popleft()
            worst = max(worst, len(window) - bound)
        return worst
