"""Errors of the log client."""


class LogError(Exception):
    """Base class of the errors of the log client."""


class UnavailableError(LogError):
    """The log gave no valid answer; an append may have taken effect."""


class ExpiredError(LogError):
    """The requested records are no longer kept.

    Attributes:
        oldest_offset: Offset of the oldest record that is kept.
    """

    def __init__(self, oldest_offset: int):
        super().__init__(f"records before offset {oldest_offset} have expired")
        self.oldest_offset = oldest_offset


class DecodeError(LogError):
    """A text in the log is not a valid record or state."""


class UndecidedError(LogError):
    """The outcome of an append is still unknown at its deadline."""
