"""Errors of the daemon."""


class NodeError(Exception):
    """Base of the daemon's errors."""


class SettingsError(NodeError):
    """Settings are wrong.

    Attributes:
        faults: One line a fault, each with its path in the file.
    """

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults
