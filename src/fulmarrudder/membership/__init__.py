"""Pipeline from announcements to a directory of facts."""

from fulmarrudder.membership.announce import (
    Announcement,
    LocalTarget,
    read_announcement,
)
from fulmarrudder.membership.errors import AnnouncementError, MembershipError
from fulmarrudder.membership.store import FactStore

__all__ = [
    "Announcement",
    "AnnouncementError",
    "LocalTarget",
    "FactStore",
    "MembershipError",
    "read_announcement",
]
