"""Errors of the move package."""


class MoveError(Exception):
    """Base class of the errors of the move package."""
