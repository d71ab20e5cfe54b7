"""Errors of membership."""


class MembershipError(Exception):
    """Base of membership's errors."""


class AnnouncementError(MembershipError):
    """An announcement does not have the form that is needed."""
