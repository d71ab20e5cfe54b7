"""Errors of operators' commands."""


class OperateError(Exception):
    """Base of the operators' errors."""


class CommandError(OperateError):
    """A command is not in the language."""


class DocumentError(OperateError):
    """A document to publish does not have the form that is needed.

    Attributes:
        faults: One line a fault, each with its path.
    """

    def __init__(self, faults: tuple[str, ...]):
        super().__init__("; ".join(faults))
        self.faults = faults
