"""Errors of the log pipeline."""


class LogError(Exception):
    """Base of the log's errors."""


class UnavailableError(LogError):
    """The log gave no usable answer; an append may have taken effect."""


class ExpiredError(LogError):
    """The records asked for are no longer kept.

    Attributes:
        first: Offset of the oldest record still kept.
    """

    def __init__(self, first: int):
        super().__init__(f"records before {first} are gone")
        self.first = first


class DecodeError(LogError):
    """A record is not one of ours."""


class UndecidedError(LogError):
    """The outcome of an append is not known by its deadline."""
