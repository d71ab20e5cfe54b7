"""Announcements of the local target of this node.

Announcements are ordered by incarnation, then by sequence; the newest one
applies. A target that does not announce itself in time is absent, and an earlier
incarnation that still announces itself replaces it.
"""

import dataclasses
import math

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.address import Address
from fulmarrudder.clock import Clock
from fulmarrudder.membership.departures import DepartedTarget
from fulmarrudder.membership.errors import AnnouncementError
from fulmarrudder.model import Condition
from fulmarrudder.observe import logs

# Three intervals of a target that announces itself every second.
ANNOUNCEMENT_TIMEOUT_S = 3.0
# A target that was not heard for longer may have become cold again, or the node did
# not run.
WARM_TIMEOUT_S = 4.0
# Sequence of what a leaving target told last: higher than that of any
# announcement of the same incarnation, so that a delayed one does not undo it.
FINAL_SEQUENCE = 1 << 60


class AnnouncementModel(pydantic.BaseModel):
    """An announcement as a target posts it."""

    model_config = pydantic.ConfigDict(extra="ignore")

    service: str = pydantic.Field(min_length=1, max_length=128)
    target_version: str = pydantic.Field(min_length=1, max_length=128)
    address: Address
    incarnation: int = pydantic.Field(ge=0)
    sequence: int = pydantic.Field(ge=0)
    condition: Condition = Condition.READY
    slots: int = pydantic.Field(ge=1, le=10_000)
    connections: int = pydantic.Field(ge=1, le=100_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """A target's report of its own state.

    Attributes:
        service: Service that the target provides.
        target_version: Version of the target.
        address: host:port at which the target listens.
        incarnation: Start of the target process; a later one is higher.
        sequence: Number of the announcement within the incarnation.
        condition: Condition of the target.
        slots: Requests that the target serves at once.
        connections: Connections that the target accepts at once.
        id: Id of this incarnation of the target, or empty.
        cold_until: Clock seconds until which the target is cold, and takes few
            requests; 0 when it is not.
    """

    service: str
    target_version: str
    address: str
    incarnation: int
    sequence: int
    condition: Condition
    slots: int
    connections: int
    id: str = ""
    cold_until: float = 0.0


def parse_announcement(data: bytes) -> Result[Announcement, AnnouncementError]:
    """Parses and validates an announcement.

    Args:
        data: JSON.

    Returns:
        The announcement, or every validation error.
    """
    try:
        model = AnnouncementModel.model_validate_json(data)
    except pydantic.ValidationError as error:
        return Error(AnnouncementError(str(error)))
    return Ok(Announcement(**dict(model)))


class LocalTarget:
    """The local target, as last announced.

    Attributes:
        latest: The newest announcement, or None.
        announcement_timeout_s: Seconds without a newer announcement after
            which the target is absent.
        deadline: Clock seconds after which the target is absent.
        unreachable: Whether the target has refused a connection since its
            latest announcement.
        departed: The target that left last without having been announced to
            this process, or None.
        unconfirmed_until: Clock seconds until which a ready target counts as
            absent, as it may have left beside an earlier start of the node,
            and after which it counts once it is renewed; 0 when it is known
            which target has left.
        renewed: Whether the latest incarnation was announced to this process
            more than once. A single announcement may have been under way
            since before the target left.
        slot_limit: Slots that the node offers to others at most.
        presumed_cold: Whether the target counts as cold until it announces
            otherwise.
        warm_deadline: Clock seconds after which it counts as cold as well,
            unless it announces otherwise.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        announcement_timeout_s: float = ANNOUNCEMENT_TIMEOUT_S,
    ):
        self.clock = clock
        self.announcement_timeout_s = announcement_timeout_s
        self.latest: Announcement | None = None
        self.deadline = 0.0
        self.unreachable = False
        self.departed: DepartedTarget | None = None
        self.unconfirmed_until = 0.0
        self.renewed = False
        self.slot_limit = math.inf
        self.presumed_cold = False
        self.warm_deadline = 0.0

    @property
    def offered_slots(self) -> int:
        """Requests that the target serves at once; 0 while it is unknown."""
        if self.latest is None:
            return 0
        return math.ceil(min(self.latest.slots, self.slot_limit))

    def leave(self) -> bool:
        """Records that the target is leaving, whatever is announced later.

        Returns:
            Whether this was not known yet.
        """
        latest = self.latest
        if latest is None or latest.sequence == FINAL_SEQUENCE:
            return False
        return self.update(
            dataclasses.replace(
                latest, condition=Condition.LEAVING, sequence=FINAL_SEQUENCE
            )
        )

    def depart(self, departed: DepartedTarget) -> None:
        """Records that a target leaves which may be announced only later."""
        self.departed = departed

    @property
    def latest_departed(self) -> DepartedTarget | None:
        """The target that left last, as far as this process knows."""
        latest = self.latest
        if latest is None or latest.condition is not Condition.LEAVING:
            return self.departed
        if self._has_departed(latest):
            return self.departed
        return DepartedTarget(id=latest.id, incarnation=latest.incarnation)

    def update(self, announcement: Announcement) -> bool:
        """Stores an announcement if it is the newest of a live target.

        Returns:
            Whether it replaced the stored one.
        """
        if self._has_departed(announcement):
            announcement = dataclasses.replace(
                announcement, condition=Condition.LEAVING
            )
        stored = self.latest
        if stored is not None:
            if not self._is_superseded_by(announcement):
                return False
            self.renewed = announcement.incarnation == stored.incarnation
            if not self.renewed:
                self.departed = self.latest_departed
        self.latest = announcement
        self.presumed_cold = False
        self.unreachable = False
        now = self.clock.seconds()
        self.deadline = now + self.announcement_timeout_s
        self.warm_deadline = now + WARM_TIMEOUT_S
        return True

    @property
    def is_cold(self) -> bool:
        """Whether the target takes few requests, as far as is known."""
        if self.latest is None or self.presumed_cold:
            return True
        now = self.clock.seconds()
        return now < self.latest.cold_until or now >= self.warm_deadline

    def mark_unreachable(self) -> None:
        """Records that nothing listens at the target's address."""
        if not self.unreachable:
            logs.warning(
                "target-unreachable",
                address=self.latest.address if self.latest else None,
                announced_left_ms=int(
                    (self.deadline - self.clock.seconds()) * 1000
                ),
            )
        self.unreachable = True

    @property
    def condition(self) -> Condition:
        """The target's condition; absent once it is overdue or unreachable."""
        if self.latest is None or self._is_silent:
            return Condition.ABSENT
        condition = self.latest.condition
        if condition is not Condition.READY:
            return condition
        return condition if self._is_confirmed else Condition.ABSENT

    @property
    def _is_confirmed(self) -> bool:
        if not self.unconfirmed_until:
            return True
        return self.renewed and self.clock.seconds() >= self.unconfirmed_until

    def _is_superseded_by(self, announcement: Announcement) -> bool:
        stored = self.latest
        if _recency(announcement) > _recency(stored):
            return True
        if announcement.incarnation == stored.incarnation:
            return False
        # Its start time may come from a clock that was set back since, and would
        # keep the live target out for good.
        return stored.condition is Condition.READY and self._is_silent

    @property
    def _is_silent(self) -> bool:
        return self.unreachable or self.clock.seconds() > self.deadline

    def _has_departed(self, announcement: Announcement) -> bool:
        return self.departed is not None and self.departed.covers(
            announcement.id, announcement.incarnation
        )


def _recency(announcement: Announcement) -> tuple[int, int]:
    return (announcement.incarnation, announcement.sequence)
