"""Pipeline from a routed request to its tenant.

The filters, in order:

* `keys`: the tenants of a configuration, by their keys.
* `identify`: the tenant of a request; refusal of requests without one.
"""

from fulmarrudder.tenants.errors import SharedKeyError, TenantsError
from fulmarrudder.tenants.identify import Credentials, Identifier
from fulmarrudder.tenants.keys import KeyTable

__all__ = [
    "Credentials",
    "Identifier",
    "KeyTable",
    "SharedKeyError",
    "TenantsError",
]
