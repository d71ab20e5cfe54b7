"""Errors of the platform adapter."""


class PlatformError(Exception):
    """Base class of the adapter's errors."""


class SettingsError(PlatformError):
    """The settings file is invalid or cannot be read.

    Attributes:
        faults: Every validation error, with its path.
    """

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults


class DocumentError(PlatformError):
    """A document does not have the expected form."""


class StoreError(PlatformError):
    """Base class of errors of calls to the store."""


class StoreUnavailableError(StoreError):
    """The store did not answer in time, or answered 429 or 503.

    A write that fails with this error may still take effect.
    """


class EraError(StoreUnavailableError):
    """An answer, a cursor or a condition belongs to another era of the store."""


class StoreRejectedError(StoreError):
    """The store rejected the call, or its answer is invalid.

    Attributes:
        status: HTTP status.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(f"{status}: {detail}")
        self.status = status


class ExpiredError(StoreError):
    """The requested records are no longer kept."""
