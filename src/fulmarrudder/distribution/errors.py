"""Errors of distribution."""


class DistributionError(Exception):
    """Base of distribution's errors."""


class MessageError(DistributionError):
    """Bytes on a link are not a message."""


class DivergedError(DistributionError):
    """Two nodes fold the same offset to different digests."""
