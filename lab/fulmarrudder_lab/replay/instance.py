"""An instance of a replayed firm: a node and its local target."""

import random
from typing import Protocol

from fulmarrudder.membership import Announcement
from fulmarrudder.model import Condition
from fulmarrudder.node.daemon import Daemon
from fulmarrudder.node.settings import Settings
from fulmarrudder_lab.firms import ServiceSpec
from fulmarrudder_lab.replay.network import Network, ReplayReactor
from fulmarrudder_lab.replay.platform import PlatformLog, PlatformLogClient
from fulmarrudder_lab.replay.target import Run, Target

ANNOUNCE_INTERVAL_S = 1.0
RELAYS_PER_DATA_CENTRE = 2
CALL_PORT, MESH_PORT, ADMIN_PORT, TARGET_PORT = 7100, 7101, 7102, 7200
SEEDS = tuple(f"10.0.0.{number}:{MESH_PORT}" for number in (1, 2, 3))


class ReplayContext(Protocol):
    """State that the instances of a firm share.

    Attributes:
        network: The simulated network.
        platform: The simulated log.
        seed: Seed of all random generators.
        runs: Requests that the targets started.
    """

    network: Network
    platform: PlatformLog
    seed: int
    runs: list[Run]


def start_daemon(
    settings: Settings,
    reactor: ReplayReactor,
    platform: PlatformLog,
    *,
    incarnation: int,
    seed: int,
) -> Daemon:
    """Starts a node on a simulated reactor.

    Args:
        settings: The node's settings.
        reactor: The node's reactor.
        platform: The simulated log.
        incarnation: The number of this start, counted from 1.
        seed: Seed of the node's random generator, combined with its name and
            incarnation.
    """
    daemon = Daemon(
        settings,
        reactor,
        log=PlatformLogClient(platform, reactor),
        rng=random.Random(f"{seed} {settings.node} {incarnation}"),
        incarnation=incarnation,
        wall=reactor.seconds,
    )
    reactor.run(daemon.start)
    return daemon


class Instance:
    """A node and its local target.

    Attributes:
        settings: Settings that the node is started with.
        versions: Active versions sampled since each start of the node.
    """

    def __init__(
        self,
        context: "ReplayContext",
        name: str,
        data_centre: str,
        spec: ServiceSpec,
        host: str,
        *,
        version: str,
    ):
        self.context = context
        self.name = name
        self.data_centre = data_centre
        self.spec = spec
        self.version = version
        self.host = host
        context.network.locations[host] = data_centre
        self.start_count = 0
        self.versions: list[list[int]] = []
        self.announcement_sequence = 0
        self.condition = Condition.READY
        self.settings = _settings(name, data_centre, host)
        self.reactor: ReplayReactor | None = None
        self.daemon: Daemon | None = None
        self.target: Target | None = None

    def start(self) -> None:
        """Starts the node, and the target unless it is running."""
        self.start_count += 1
        self.versions.append([])
        context = self.context
        self.reactor = ReplayReactor(
            context.network, self.host, self.data_centre
        )
        self.daemon = start_daemon(
            self.settings,
            self.reactor,
            context.platform,
            incarnation=self.start_count,
            seed=context.seed,
        )
        if self.target is None or self.target.reactor.exited:
            self.start_target()
        self._announce_periodically(self.start_count)

    def start_target(self) -> None:
        """Starts the target."""
        reactor = ReplayReactor(
            self.context.network, self.host, self.data_centre
        )
        self.target = Target(reactor, self.name, TARGET_PORT, self.context.runs)
        self.condition = Condition.READY

    def announce_leaving(self) -> None:
        """Announces that the target is leaving."""
        self.condition = Condition.LEAVING
        self._send_announcement()

    def _announce_periodically(self, start_number: int) -> None:
        if start_number != self.start_count:
            return
        if not self.target.reactor.exited and not self.target.reactor.frozen:
            self._send_announcement()
        self.reactor.callLater(
            ANNOUNCE_INTERVAL_S, self._announce_periodically, start_number
        )

    def _send_announcement(self) -> None:
        self.announcement_sequence += 1
        self.daemon.node.apply_announcement(
            Announcement(
                service=self.spec.name,
                target_version=self.version,
                address=f"{self.host}:{TARGET_PORT}",
                incarnation=1,
                sequence=self.announcement_sequence,
                condition=self.condition,
                slots=self.spec.slots,
                connections=self.spec.connections,
            )
        )

    @property
    def running(self) -> bool:
        """Whether the node is running."""
        return self.reactor is not None and not self.reactor.exited

    def record_version(self) -> None:
        """Records the version that is active on the node."""
        state = self.daemon.node.entry.active_config.state
        if self.running and state is not None:
            self.versions[-1].append(state.version)

    def kill(self) -> None:
        """Kills node and target."""
        self.reactor.stop()
        self.target.reactor.stop()

    def kill_node(self) -> None:
        """Kills the node."""
        self.reactor.stop()

    def stop(self) -> None:
        """Stops the node gracefully."""
        self.daemon.begin_stop()

    def freeze(self) -> None:
        """Pauses the node."""
        self.reactor.frozen = True

    def wake(self) -> None:
        """Resumes the node."""
        self.reactor.wake()


def _settings(name: str, data_centre: str, host: str) -> Settings:
    return Settings(
        node=name,
        data_centre=data_centre,
        call_address=f"{host}:{CALL_PORT}",
        mesh_address=f"{host}:{MESH_PORT}",
        admin_address=f"{host}:{ADMIN_PORT}",
        log_url="http://platform",
        seeds=SEEDS,
        mesh_token="token-of-the-replay",
        operators=(),
        relays=RELAYS_PER_DATA_CENTRE,
        degree=16,
        span_ratio=0.0,
        log_level="warning",
    )
