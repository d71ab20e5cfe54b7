"""The workspaces of one configuration, indexed by their keys."""

from collections.abc import Iterable, Mapping

from expression import Error, Ok, Result

from fulmarrudder.model import Workspace
from fulmarrudder.workspaces.errors import SharedKeyError


class KeyTable:
    """Looks workspaces up by key.

    Attributes:
        by_key: Workspaces by key, as sent by callers.
        by_name: Workspaces by name.
    """

    __slots__ = ("by_key", "by_name")

    def __init__(
        self,
        by_key: Mapping[bytes, Workspace] | None = None,
        by_name: Mapping[str, Workspace] | None = None,
    ):
        self.by_key = by_key or {}
        self.by_name = by_name or {}

    @property
    def workspaces(self) -> tuple[Workspace, ...]:
        """All workspaces."""
        return tuple(self.by_name.values())

    def changed(
        self, *, removed: Iterable[Workspace], added: Iterable[Workspace]
    ) -> Result["KeyTable", SharedKeyError]:
        """Returns the table with some workspaces removed and others added.

        Args:
            removed: Workspaces of this table.
            added: Workspaces of the new one that this table does not have.

        Returns:
            The table, or which workspaces share a name or a key. The error does
            not tell the key.
        """
        by_key, by_name = dict(self.by_key), dict(self.by_name)
        for workspace in removed:
            del by_name[workspace.name]
            for key in workspace.keys:
                by_key.pop(key.encode(), None)
        faults = []
        for workspace in added:
            if workspace.name in by_name:
                faults.append(f"workspace {workspace.name} is listed twice")
            by_name[workspace.name] = workspace
            for key in map(str.encode, workspace.keys):
                holder = by_key.setdefault(key, workspace)
                if holder is not workspace:
                    faults.append(
                        f"workspaces {holder.name} and {workspace.name} share a key"
                    )
        if faults:
            return Error(SharedKeyError("; ".join(faults)))
        return Ok(KeyTable(by_key, by_name))


def key_table_of(
    workspaces: Iterable[Workspace],
) -> Result[KeyTable, SharedKeyError]:
    """Returns the table of some workspaces, or which of them share a key."""
    return KeyTable().changed(removed=(), added=workspaces)
