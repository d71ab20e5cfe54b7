"""Pipeline from a routed request to its workspace.

The filters, in order:

* `keys`: the workspaces of a configuration, by their keys.
* `identify`: the workspace of a request; refusal of requests without one.
"""

from fulmarrudder.workspaces.errors import SharedKeyError, WorkspacesError
from fulmarrudder.workspaces.identify import Credentials, Identifier
from fulmarrudder.workspaces.keys import KeyTable

__all__ = [
    "Credentials",
    "Identifier",
    "KeyTable",
    "SharedKeyError",
    "WorkspacesError",
]
