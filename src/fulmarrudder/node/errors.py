"""Errors of the daemon."""


class NodeError(Exception):
    """Base of the daemon's errors."""


class SettingsError(NodeError):
    """The settings are invalid.

    Attributes:
        faults: One line per validation error, each with its path in the file.
    """

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults


class UnconfirmedError(NodeError):
    """The status of a move is not known to be recorded; it may be."""


class DepartureRecordError(NodeError):
    """The departure of the local target could not be recorded."""
