"""An instance of a replayed firm: a target and the node in its slot."""

import random
from typing import Protocol

from fulmarrudder.membership import Announcement
from fulmarrudder.model import Condition
from fulmarrudder.node import Settings
from fulmarrudder.node.daemon import Daemon
from fulmarrudder_lab.firms import ServiceSize
from fulmarrudder_lab.replay.network import Network, Seat
from fulmarrudder_lab.replay.platform import Platform, PlatformLog
from fulmarrudder_lab.replay.target import Run, Target

ANNOUNCE_S = 1.0
RELAYS = 2
CALL, MESH, ADMIN, TARGET = 7100, 7101, 7102, 7200
SEEDS = tuple(f"10.0.0.{number}:{MESH}" for number in (1, 2, 3))


class Stage(Protocol):
    """What the instances of a firm share.

    Attributes:
        network: Carries their bytes.
        platform: Keeps the log.
        seed: Seeds their randomness.
        runs: Requests that their targets began.
    """

    network: Network
    platform: Platform
    seed: int
    runs: list[Run]


def start_daemon(
    settings: Settings, seat: Seat, platform: Platform, *, start: int, seed: int
) -> Daemon:
    """Starts a node on a seat.

    Args:
        settings: Its settings.
        seat: What it sees as its reactor.
        platform: Keeps the log.
        start: How many times it has been started, its incarnation.
        seed: Seeds its randomness, with its name and start.
    """
    daemon = Daemon(
        settings,
        seat,
        log=PlatformLog(platform, seat),
        rng=random.Random(f"{seed} {settings.node} {start}"),
        incarnation=start,
        wall=seat.seconds,
    )
    seat.run(daemon.start)
    return daemon


class Instance:
    """An instance of the firm: a target and the node in its slot.

    Attributes:
        settings: Settings that its node is started with.
        versions: Versions seen in force, by start of the node.
    """

    def __init__(
        self,
        stage: "Stage",
        name: str,
        place: str,
        size: ServiceSize,
        host: str,
        *,
        version: str,
    ):
        self.stage = stage
        self.name = name
        self.place = place
        self.size = size
        self.version = version
        self.host = host
        stage.network.places[host] = place
        self.starts = 0
        self.versions: list[list[int]] = []
        self.announced = 0
        self.condition = Condition.READY
        self.settings = _settings(name, place, host)
        self.seat: Seat | None = None
        self.daemon: Daemon | None = None
        self.target: Target | None = None

    def start(self) -> None:
        """Starts the node, and the target unless it runs."""
        self.starts += 1
        self.versions.append([])
        stage = self.stage
        self.seat = Seat(stage.network, self.host, self.place)
        self.daemon = start_daemon(
            self.settings,
            self.seat,
            stage.platform,
            start=self.starts,
            seed=stage.seed,
        )
        if self.target is None or self.target.seat.dead:
            self.start_target()
        self._announce(self.starts)

    def start_target(self) -> None:
        """Starts the target."""
        seat = Seat(self.stage.network, self.host, self.place)
        self.target = Target(seat, self.name, TARGET, self.stage.runs)
        self.condition = Condition.READY

    def leave(self) -> None:
        """Lets the target announce that it leaves."""
        self.condition = Condition.LEAVING
        self._tell()

    def _announce(self, start: int) -> None:
        if start != self.starts:
            return
        if not self.target.seat.dead and not self.target.seat.frozen:
            self._tell()
        self.seat.callLater(ANNOUNCE_S, self._announce, start)

    def _tell(self) -> None:
        self.announced += 1
        self.daemon.node.apply_announcement(
            Announcement(
                service=self.size.name,
                target_version=self.version,
                address=f"{self.host}:{TARGET}",
                incarnation=1,
                sequence=self.announced,
                condition=self.condition,
                slots=self.size.slots,
                connections=self.size.connections,
            )
        )

    @property
    def running(self) -> bool:
        """Whether the node runs."""
        return self.seat is not None and not self.seat.dead

    def look(self) -> None:
        """Notes the version that the node has in force."""
        state = self.daemon.node.entry.active_config.state
        if self.running and state is not None:
            self.versions[-1].append(state.version)

    def end(self) -> None:
        """Ends node and target at once."""
        self.seat.stop()
        self.target.seat.stop()

    def end_node(self) -> None:
        """Ends the node at once."""
        self.seat.stop()

    def stop(self) -> None:
        """Stops the node gracefully."""
        self.daemon.begin_stop()

    def freeze(self) -> None:
        """Pauses the node."""
        self.seat.frozen = True

    def wake(self) -> None:
        """Ends the node's pause."""
        self.seat.wake()


def _settings(name: str, place: str, host: str) -> Settings:
    return Settings(
        node=name,
        data_centre=place,
        call_address=f"{host}:{CALL}",
        mesh_address=f"{host}:{MESH}",
        admin_address=f"{host}:{ADMIN}",
        log_url="http://platform",
        seeds=SEEDS,
        mesh_token="token-of-the-replay",
        operators=(),
        relays=RELAYS,
        degree=16,
        span_ratio=0.0,
        log_level="warning",
    )
