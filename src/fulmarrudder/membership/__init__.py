"""Pipeline from announcements to a directory of facts."""

from fulmarrudder.membership.announce import (
    Announcement,
    Beside,
    read_announcement,
)
from fulmarrudder.membership.errors import AnnouncementError, MembershipError
from fulmarrudder.membership.store import FactStore

__all__ = [
    "Announcement",
    "AnnouncementError",
    "Beside",
    "FactStore",
    "MembershipError",
    "read_announcement",
]
