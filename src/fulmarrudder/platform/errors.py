"""Errors of the adapter."""


class PlatformError(Exception):
    """Base of the adapter's errors."""


class SettingsError(PlatformError):
    """The settings file is not usable.

    Attributes:
        faults: Every fault, with its path.
    """

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults


class DocumentError(PlatformError):
    """A record is not the document that its key promises."""


class StoreError(PlatformError):
    """Base of the store's errors."""


class StoreUnavailableError(StoreError):
    """The store gave no answer, or turned the call away undone.

    A write that met this error may still take effect.
    """


class StoreRejectedError(StoreError):
    """The store refused the call for what it says.

    Attributes:
        status: HTTP status.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(f"{status}: {detail}")
        self.status = status


class ExpiredError(StoreError):
    """The records asked for are no longer kept."""
