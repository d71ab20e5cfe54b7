"""Filter: what nodes count of workspaces' requests, to all other nodes.

A node reports to its collector, a gateway of its data centre. Collectors tell
their sums to one gateway of each other data centre, and to the nodes of their
own with what they were told from afar. Nothing is sent, and no timer runs,
while no workspace has a limit.
"""

import dataclasses
import math
from collections.abc import Callable, Iterator, Mapping
from functools import singledispatchmethod

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.codec import encode
from fulmarrudder.distribution.link import Link
from fulmarrudder.distribution.topology import Topology, collector_of
from fulmarrudder.quotas import (
    FleetQuotas,
    QuotaCollector,
    QuotaReport,
    QuotaUse,
)
from fulmarrudder.quotas.fleet import SILENCE_S

# First protocol whose nodes take `QuotaReport` and `QuotaUse`.
QUOTA_PROTOCOL = 2
# Seconds between two messages, and between two that are pressing.
PERIOD_S = 0.4
PRESSING_PERIOD_S = 0.1
# Nodes of a collector above which the messages are sent less often.
NODES_AT_FULL_PACE = 150.0


class QuotaExchange:
    """Sends and receives what nodes count of workspaces' requests.

    Attributes:
        quotas: Decides on the requests of this node.
        topology: Returns the fleet as this node sees it.
        links: Open links by the id of the node on the other side.
        collector: Adds up the reports that this node receives.
        reports_to: Id of the collector that the latest report went to.
        told_at: Clock seconds of the latest message of each collector of this
            data centre.
        sent_at: Clock seconds at which this node last sent its messages.
        timer: Sends the next ones, or None.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        node: str,
        quotas: FleetQuotas,
        topology: Callable[[], Topology],
        links: Mapping[str, Link],
    ):
        self.clock = clock
        self.node = node
        self.quotas = quotas
        self.topology = topology
        self.links = links
        self.collector = QuotaCollector(quotas.view.data_centre)
        self.reports_to = ""
        self.told_at: dict[str, float] = {}
        self.sent_at = 0.0
        self.timer = None
        quotas.on_pressing = self.hasten

    @property
    def slowdown(self) -> float:
        """Factor of the periods by the size of the data centre."""
        topology = self.topology()
        nodes = topology.local_nodes / max(1, len(topology.local_gateways))
        return max(1.0, nodes / NODES_AT_FULL_PACE)

    def start(self) -> None:
        """Begins to send once a workspace has a limit."""
        if self.quotas.has_limits and self.timer is None:
            self.timer = self.clock.callLater(0, self._run)

    def stop(self) -> None:
        """Tells what is left, and sends nothing more."""
        if self.timer is not None:
            self.halt()
            self._send(self.clock.seconds(), is_last=True)

    def halt(self) -> None:
        """Sends nothing more until it is started again."""
        timer, self.timer = self.timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def hasten(self) -> None:
        """Sends the next messages sooner, as a bucket is nearly used up."""
        if self.timer is None:
            return
        due_at = self.sent_at + PRESSING_PERIOD_S * self.slowdown
        left_s = max(0.0, due_at - self.clock.seconds())
        if self.timer.getTime() > self.clock.seconds() + left_s:
            self.timer.reset(left_s)

    def receive(self, message: QuotaReport | QuotaUse, link: Link) -> None:
        """Handles a message of another node."""
        self._receive(message, link)

    @singledispatchmethod
    def _receive(self, message: QuotaReport, link: Link) -> None:
        self.collector.add(
            link.node,
            message,
            self.clock.seconds(),
            silence_s=self.quotas.view.silence_s,
        )
        if message.pressing:
            self.hasten()

    @_receive.register
    def _(self, message: QuotaUse, link: Link) -> None:
        now = self.clock.seconds()
        if link.data_centre != self.quotas.view.data_centre:
            self.collector.add_afar(message)
            if message.pressing:
                self.hasten()
            return
        self.told_at[link.node] = now
        for node, _ in message.included:
            self.collector.discard(node)
        self.quotas.hear(message, now, link.node)

    def _run(self) -> None:
        self.timer = None
        if not self.quotas.has_limits:
            return
        slowdown = self.slowdown
        self.timer = self.clock.callLater(PERIOD_S * slowdown, self._run)
        self.quotas.view.silence_s = SILENCE_S * slowdown
        now = self.clock.seconds()
        self.quotas.beat(now)
        self._send(now)

    def _send(self, now: float, *, is_last: bool = False) -> None:
        self.sent_at = now
        topology = self.topology()
        self._report(topology, now, is_last=is_last)
        if self.node in topology.local_gateways:
            self._tell(topology, now)
        else:
            self._relay(now)

    def _report(self, topology: Topology, now: float, *, is_last: bool) -> None:
        collector = collector_of(self.node, topology, self._heard(now))
        if collector != self.reports_to:
            self.reports_to = collector
            self.quotas.report_again()
        if not collector:
            # Its counts wait for a collector.
            return
        report = dataclasses.replace(
            self.quotas.take_report(now), is_last=is_last
        )
        if collector == self.node:
            self.collector.add(self.node, report, now)
        else:
            self.links[collector].send(report)

    def _tell(self, topology: Topology, now: float) -> None:
        view = self.quotas.view
        use = self.collector.take(
            now,
            view.nodes.get(view.data_centre, 1),
            silence_s=view.silence_s,
            is_alone=not self._hears_other_collector(topology, now),
        )
        self._tell_locally(use, now)
        afar = encode(QuotaUse(sums=use.sums[:1], pressing=use.pressing))
        for link in self._links_afar(topology):
            link.send_encoded(afar)

    def _relay(self, now: float) -> None:
        """Passes on what was told from afar.

        Another data centre may take this node for a gateway that it is not, or
        no longer, as nodes come and go.
        """
        sums = self.collector.take_afar()
        if sums:
            self._tell_locally(QuotaUse(sums=sums), now)

    def _tell_locally(self, use: QuotaUse, now: float) -> None:
        data = encode(use)
        for link in self._able_links():
            if link.data_centre == self.quotas.view.data_centre:
                link.send_encoded(data)
        self.quotas.hear(use, now, self.node)

    def _hears_other_collector(self, topology: Topology, now: float) -> bool:
        silence_s = self.quotas.view.silence_s
        return any(
            now - self.told_at.get(node, -math.inf) <= silence_s
            for node in topology.local_gateways
        )

    def _links_afar(self, topology: Topology) -> tuple[Link, ...]:
        """Returns a link to one gateway of each other data centre."""
        chosen: dict[str, Link] = {}
        for link in self._able_links():
            before = chosen.get(link.data_centre)
            if link.node not in topology.gateways:
                continue
            if before is None or link.node < before.node:
                chosen[link.data_centre] = link
        chosen.pop(self.quotas.view.data_centre, None)
        return tuple(chosen.values())

    def _able_links(self) -> Iterator[Link]:
        for link in self.links.values():
            if link.protocol >= QUOTA_PROTOCOL:
                yield link

    def _heard(self, now: float) -> frozenset[str]:
        """Returns the nodes that may be the collector.

        One that this node does not hear may be frozen.
        """
        able = frozenset(link.node for link in self._able_links())
        silent = frozenset(
            node
            for node, told_at in self.told_at.items()
            if now - told_at > self.quotas.view.silence_s
        )
        return able - silent or able
