"""Errors of the call path."""


class CallError(Exception):
    """Base of the call path's errors."""


class ProtocolError(CallError):
    """The other side broke HTTP/1.1.

    Attributes:
        status: Status to answer with.
    """

    def __init__(self, detail: str, *, status: int = 400):
        super().__init__(detail)
        self.status = status


class ConnectError(CallError):
    """No connection could be made; nothing was sent."""


class SlotError(CallError):
    """No slot became free in time; nothing was sent."""
