"""Errors of moves."""


class MoveError(Exception):
    """Base of moves' errors."""
