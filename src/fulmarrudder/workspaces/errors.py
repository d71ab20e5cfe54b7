"""Errors of the workspaces package."""


class WorkspacesError(Exception):
    """Base class of the errors of this package."""


class SharedKeyError(WorkspacesError):
    """Two workspaces have the same key, or the same name."""
