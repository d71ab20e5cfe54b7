"""Announcements of the target beside this node.

The newest of two announcements wins, by incarnation and then by sequence;
silence past the deadline makes the target absent.
"""

import dataclasses

import pydantic
from expression import Error, Ok, Result

from fulmarrudder.clock import Clock
from fulmarrudder.membership.errors import AnnouncementError
from fulmarrudder.model import Condition

# Three announcements of a target that announces itself every second.
SILENCE_S = 3.0


class AnnouncementModel(pydantic.BaseModel):
    """An announcement as a target posts it."""

    model_config = pydantic.ConfigDict(extra="ignore")

    service: str = pydantic.Field(min_length=1, max_length=128)
    target_version: str = pydantic.Field(min_length=1, max_length=128)
    address: str = pydantic.Field(pattern=r"^[0-9.]+:\d{1,5}$")
    incarnation: int = pydantic.Field(ge=0)
    sequence: int = pydantic.Field(ge=0)
    condition: Condition = Condition.READY
    slots: int = pydantic.Field(ge=1, le=10_000)
    connections: int = pydantic.Field(ge=1, le=100_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """What a target says of itself.

    Attributes:
        id: Names this incarnation of the target, or empty.
        address: host:port where the target listens.
        slots: Requests that it serves at once.
        connections: Connections that it accepts at once.
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


def read_announcement(data: bytes) -> Result[Announcement, AnnouncementError]:
    """Validates an announcement's JSON."""
    try:
        model = AnnouncementModel.model_validate_json(data)
    except pydantic.ValidationError as error:
        return Error(AnnouncementError(str(error)))
    return Ok(Announcement(**dict(model)))


class LocalTarget:
    """The target beside this node, as last announced.

    Attributes:
        latest: The newest announcement, or None.
        announcement_timeout_s: Seconds of silence that make it absent.
        deadline: Clock seconds after which silence makes it absent.
        gone: Whether it refused connections after its latest announcement.
    """

    def __init__(
        self, clock: Clock, *, announcement_timeout_s: float = SILENCE_S
    ):
        self.clock = clock
        self.announcement_timeout_s = announcement_timeout_s
        self.latest: Announcement | None = None
        self.deadline = 0.0
        self.gone = False

    def update(self, announcement: Announcement) -> bool:
        """Takes an announcement in when it is the newest.

        Returns:
            Whether it was newer than the one known.
        """
        known = self.latest
        if known is not None and _order(announcement) <= _order(known):
            return False
        self.latest = announcement
        self.gone = False
        self.deadline = self.clock.seconds() + self.announcement_timeout_s
        return True

    def mark_unreachable(self) -> None:
        """Learns that nothing listens at the target's address any more."""
        self.gone = True

    @property
    def condition(self) -> Condition:
        """The target's condition, absent after silence."""
        if self.gone or self.latest is None:
            return Condition.ABSENT
        if self.clock.seconds() > self.deadline:
            return Condition.ABSENT
        return self.latest.condition


def _order(announcement: Announcement) -> tuple[int, int]:
    return (announcement.incarnation, announcement.sequence)
