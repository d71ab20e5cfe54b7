"""Errors of the tenants package."""


class TenantsError(Exception):
    """Base class of the errors of this package."""


class SharedKeyError(TenantsError):
    """Two tenants have the same key, or the same name."""
