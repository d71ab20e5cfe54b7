"""Errors of the call path."""


class CallError(Exception):
    """Base class of the errors of the call path."""


class ProtocolError(CallError):
    """The other side violated HTTP/1.1.

    Attributes:
        status: Status of the answer.
    """

    def __init__(self, detail: str, *, status: int = 400):
        super().__init__(detail)
        self.status = status


class ConnectError(CallError):
    """No connection could be made; nothing was sent."""


class WithheldError(CallError):
    """The request must not be sent beside other attempts; nothing was sent."""


class SlotError(CallError):
    """No slot became free in time; nothing was sent."""
