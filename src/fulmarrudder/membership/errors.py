"""Errors of the membership package."""


class MembershipError(Exception):
    """Base class of the errors of this package."""


class AnnouncementError(MembershipError):
    """An announcement is not valid."""


class ForeignServiceError(MembershipError):
    """An announcement names another service than that of the local target."""


class DigestError(MembershipError):
    """A text is not a digest of facts."""
