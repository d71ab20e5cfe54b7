"""Errors of the distribution package."""


class DistributionError(Exception):
    """Base class of the errors of this package."""


class MessageError(DistributionError):
    """Received bytes are not a valid message."""


class DivergedError(DistributionError):
    """Two nodes have different state digests at the same offset."""


class ChangeError(DistributionError):
    """A change does not lead to the configuration that it states."""
