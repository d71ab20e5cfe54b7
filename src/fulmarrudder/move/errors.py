"""Errors of the move package."""


class MoveError(Exception):
    """Base of the errors of the move package."""
