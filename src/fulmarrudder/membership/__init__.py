"""Announcements of targets, and the store of facts about nodes."""

from fulmarrudder.membership.announce import (
    Announcement,
    LocalTarget,
    parse_announcement,
)
from fulmarrudder.membership.errors import AnnouncementError, MembershipError
from fulmarrudder.membership.store import FactStore

__all__ = [
    "Announcement",
    "AnnouncementError",
    "LocalTarget",
    "FactStore",
    "MembershipError",
    "parse_announcement",
]
