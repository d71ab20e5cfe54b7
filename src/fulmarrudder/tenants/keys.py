"""The tenants of one configuration, indexed by their keys."""

from collections.abc import Iterable, Mapping

from expression import Error, Ok, Result

from fulmarrudder.model import Tenant
from fulmarrudder.tenants.errors import SharedKeyError


class KeyTable:
    """Looks tenants up by key.

    Attributes:
        by_key: Tenants by key, as sent by callers.
        by_name: Tenants by name.
    """

    __slots__ = ("by_key", "by_name")

    def __init__(
        self,
        by_key: Mapping[bytes, Tenant] | None = None,
        by_name: Mapping[str, Tenant] | None = None,
    ):
        self.by_key = by_key or {}
        self.by_name = by_name or {}

    @property
    def tenants(self) -> tuple[Tenant, ...]:
        """All tenants."""
        return tuple(self.by_name.values())

    def changed(
        self, *, removed: Iterable[Tenant], added: Iterable[Tenant]
    ) -> Result["KeyTable", SharedKeyError]:
        """Returns the table with some tenants removed and others added.

        Args:
            removed: Tenants of this table.
            added: Tenants of the new one that this table does not have.

        Returns:
            The table, or which tenants share a name or a key. The error does
            not tell the key.
        """
        by_key, by_name = dict(self.by_key), dict(self.by_name)
        for tenant in removed:
            del by_name[tenant.name]
            for key in tenant.keys:
                by_key.pop(key.encode(), None)
        faults = []
        for tenant in added:
            if tenant.name in by_name:
                faults.append(f"tenant {tenant.name} is listed twice")
            by_name[tenant.name] = tenant
            for key in map(str.encode, tenant.keys):
                holder = by_key.setdefault(key, tenant)
                if holder is not tenant:
                    faults.append(
                        f"tenants {holder.name} and {tenant.name} share a key"
                    )
        if faults:
            return Error(SharedKeyError("; ".join(faults)))
        return Ok(KeyTable(by_key, by_name))


def key_table_of(
    tenants: Iterable[Tenant],
) -> Result[KeyTable, SharedKeyError]:
    """Returns the table of some tenants, or which of them share a key."""
    return KeyTable().changed(removed=(), added=tenants)
