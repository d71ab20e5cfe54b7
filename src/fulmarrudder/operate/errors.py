"""Errors in operators' commands."""


class OperateError(Exception):
    """Base of the errors in operators' commands."""


class CommandError(OperateError):
    """A text is not a command of the language."""


class DocumentError(OperateError):
    """A configuration document is invalid.

    Attributes:
        faults: One line per validation error, each with its path.
    """

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults
