"""Announcements of targets, and the store of facts about nodes."""

from fulmarrudder.membership.announce import (
    Announcement,
    LocalTarget,
    parse_announcement,
)
from fulmarrudder.membership.departures import DepartedTarget
from fulmarrudder.membership.digest import (
    Digest,
    format_digest,
    is_covered,
    parse_digest,
)
from fulmarrudder.membership.errors import (
    AnnouncementError,
    DigestError,
    ForeignServiceError,
    MembershipError,
)
from fulmarrudder.membership.store import FactStore

__all__ = [
    "Announcement",
    "AnnouncementError",
    "DepartedTarget",
    "Digest",
    "DigestError",
    "FactStore",
    "ForeignServiceError",
    "LocalTarget",
    "MembershipError",
    "format_digest",
    "is_covered",
    "parse_announcement",
    "parse_digest",
]
