"""Errors of the distribution package."""


class DistributionError(Exception):
    """Base class of the errors of this package."""


class MessageError(DistributionError):
    """Received bytes are not a valid message."""


class DivergedError(DistributionError):
    """Two nodes have different state digests at the same offset."""
