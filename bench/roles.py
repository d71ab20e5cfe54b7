"""Measures slopes of the control roles for docs/CAPACITY.md.

    python bench/roles.py

Whole nodes without targets run in this process on the replay's network and
clock; what a node's own calls take is counted apart as processor time. Real
sockets are left out, and links carry any size at once.
"""

import dataclasses
import logging

import click

from fulmarrudder.log import CONFIG_STREAM, Envelope, encode_envelope
from fulmarrudder.model import Amend, Arrangement, Publish
from fulmarrudder.node import Settings
from fulmarrudder.node.daemon import Daemon
from fulmarrudder.state_machine import duty_named, is_relay_of
from fulmarrudder_lab.replay.clock import ReplayClock
from fulmarrudder_lab.replay.instance import start_daemon
from fulmarrudder_lab.replay.network import Network, Seat
from fulmarrudder_lab.replay.platform import Platform
from slopes import arrangement, row

FAR_S = 0.001
SEED = 1
SETTLE_S = 12.0
QUIET_S = 20.0
CHANGES = 10
JOIN_LIMIT_S = 60.0
LOOK_S = 0.1
CALL, MESH, ADMIN = 7100, 7101, 7102
SEEDS = tuple(f"10.0.{number}.1:{MESH}" for number in (0, 1, 2))


class Member:
    """A node of a grid."""

    def __init__(self, grid: "Grid", index: int, place: str, settings: dict):
        self.grid = grid
        self.host = f"10.{index // 250}.{index % 250}.1"
        self.place = place
        self.starts = 0
        self.seat: Seat | None = None
        self.daemon: Daemon | None = None
        grid.network.places[self.host] = place
        self.settings = Settings(
            node=f"n{index:04d}",
            data_centre=place,
            call_address=f"{self.host}:{CALL}",
            mesh_address=f"{self.host}:{MESH}",
            admin_address=f"{self.host}:{ADMIN}",
            log_url="http://platform",
            mesh_token="token-of-the-bench",
            operators=(),
            span_ratio=0.0,
            log_level="error",
            **settings,
        )

    def start(self) -> None:
        """Starts the node."""
        self.starts += 1
        self.seat = Seat(self.grid.network, self.host, self.place)
        self.daemon = start_daemon(
            self.settings,
            self.seat,
            self.grid.platform,
            start=self.starts,
            seed=SEED,
        )

    @property
    def version(self) -> int:
        """Version that the node has in force."""
        state = self.daemon.node.entry.active_config.state
        return 0 if state is None else state.version


class Grid:
    """Nodes in data centres, with a version in force."""

    def __init__(self, places: int, nodes: int, body: Arrangement, **settings):
        settings = {"seeds": (), **settings}
        self.clock = ReplayClock()
        self.network = Network(self.clock, FAR_S)
        self.platform = Platform(self.network)
        self.version = 0
        self.body = body
        self.members = [
            Member(self, index, f"dc-{index % places}", settings)
            for index in range(places * nodes)
        ]
        for member in self.members:
            member.start()
        self.write(Publish(operator="lab", expected=0, arrangement=body))
        self.run(SETTLE_S)

    def write(self, body) -> None:
        """Appends an operator's record."""
        text = encode_envelope(Envelope(id=f"bench-{self.version}", body=body))
        self.platform.write(CONFIG_STREAM, (text,))
        self.version += 1

    def change(self) -> None:
        """Changes one route."""
        route = dataclasses.replace(
            self.body.routes[0], timeout_ms=1_000 + self.version
        )
        self.write(
            Amend(operator="lab", expected=self.version, routes=(route,))
        )

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        self.clock.run_until(self.clock.now + seconds)

    def run_until_all_hold(self) -> float:
        """Lets time pass until every node holds the version; returns it."""
        began = self.clock.now
        while any(m.version != self.version for m in self.members):
            self.run(LOOK_S)
            if self.clock.now > began + JOIN_LIMIT_S:
                raise TimeoutError("some node does not hold the version")
        return self.clock.now - began

    def relay(self) -> Member:
        """Returns a relay that does not control as well, if there is one."""
        state = self.members[0].daemon.node.state_store.state
        control = duty_named(state, "controller").holder
        duties = [d for d in state.duties if is_relay_of(d, "dc-0")]
        duties.sort(key=lambda duty: duty.holder == control)
        name = duties[0].holder.partition("/")[0]
        return next(m for m in self.members if m.settings.node == name)


def spending(grid: Grid, member: Member) -> tuple[float, float, float]:
    """Returns percent of a core and bytes a second, and ms a change."""
    seat = member.seat
    spent, sent = seat.spent_s, seat.sent_bytes
    grid.run(QUIET_S)
    idle = (seat.spent_s - spent) / QUIET_S
    quiet = (seat.sent_bytes - sent) / QUIET_S
    spent = seat.spent_s
    for _ in range(CHANGES):
        grid.change()
        grid.run(1.0)
    changed = (seat.spent_s - spent - idle * CHANGES) / CHANGES
    assert all(m.version == grid.version for m in grid.members)
    return idle * 100, quiet, changed * 1000


def rows(what: str, sizes, found) -> None:
    """Prints the three slopes of what grows."""
    idle, quiet, changed = zip(*found, strict=True)
    row(f"idle relay, by {what}", "% of a core", sizes, idle)
    row(f"bytes a relay sends a second, by {what}", "bytes", sizes, quiet)
    row(f"one change at a relay, by {what}", "ms", sizes, changed)


def by_children() -> None:
    """Grows the nodes directly below a relay."""
    sizes = (4, 8, 16, 32)
    found = []
    for size in sizes:
        grid = Grid(1, size + 1, arrangement(3), relays=1, degree=size)
        relay = grid.relay()
        assert len(relay.daemon.node.mesh.children.by_link) == size
        found.append(spending(grid, relay))
    rows("nodes directly below it", sizes, found)


def by_peers() -> None:
    """Grows the data centres, with two relays each."""
    places = (3, 6, 12, 23)
    found = []
    for count in places:
        grid = Grid(count, 2, arrangement(3), relays=2, degree=16)
        relay = grid.relay()
        assert len(relay.daemon.node.mesh.peers.by_node) == 2 * count - 1
        found.append(spending(grid, relay))
    rows("other relays", [2 * count - 1 for count in places], found)


def by_joins() -> None:
    """Lets all nodes of a data centre but its relays start at once."""
    sizes = (100, 200, 400, 868)
    took, spent = [], []
    for size in sizes:
        grid = Grid(
            1, size + 2, arrangement(3), relays=2, degree=16, seeds=SEEDS
        )
        relay = grid.relay()
        duties = grid.members[0].daemon.node.state_store.state.duties
        holders = {duty.holder.partition("/")[0] for duty in duties}
        back = [m for m in grid.members[3:] if m.settings.node not in holders]
        for member in back:
            member.seat.stop()
        grid.run(SETTLE_S)
        before = relay.seat.spent_s
        for member in back:
            member.start()
        took.append(grid.run_until_all_hold())
        spent.append((relay.seat.spent_s - before) * 1000)
    row("all hold it after a start at once", "s a node", sizes, took)
    row("one relay while they join", "ms a node", sizes, spent)


def by_services() -> None:
    """Grows the arrangement that nodes take over from their parent."""
    sizes = (200, 800, 1700, 3400)
    gave, took = [], []
    for size in sizes:
        grid = Grid(1, 11, arrangement(size), relays=1, degree=16, seeds=SEEDS)
        relay = grid.relay()
        back = [m for m in grid.members[3:] if m is not relay]
        for member in back:
            member.seat.stop()
        grid.run(SETTLE_S)
        stayed = [m for m in grid.members if m not in back]
        before = sum(m.seat.spent_s for m in stayed)
        for member in back:
            member.start()
        grid.run_until_all_hold()
        spent = sum(m.seat.spent_s for m in stayed) - before
        gave.append(spent / len(back) * 1000)
        took.append(max(m.seat.spent_s for m in back) * 1000)
    row("a join at those above, by services", "ms a service", sizes, gave)
    row("a join at the node itself, by services", "ms a service", sizes, took)


@click.command()
def main() -> None:
    """Measures slopes of the control roles."""
    logging.getLogger("fulmarrudder").setLevel(logging.CRITICAL)
    by_children()
    by_peers()
    by_services()
    by_joins()


if __name__ == "__main__":
    main()
