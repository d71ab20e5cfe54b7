"""Filter: from a routed request to its workspace.

The key ends here: what follows, other nodes and targets included, gets the
workspace's name only.
"""

import dataclasses
import math

from fulmarrudder.call.freshness import ConfigFreshness
from fulmarrudder.call.header_names import HeaderNames
from fulmarrudder.call.message import Field, Refusal, RequestHead
from fulmarrudder.call.refusals import UNCONFIRMED_KEYS, UNKNOWN_KEY
from fulmarrudder.call.route import RoutedRequest
from fulmarrudder.clock import Clock
from fulmarrudder.model import Workspace
from fulmarrudder.workspaces.keys import KeyTable


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Credentials:
    """What a deployment demands of a node that may be behind.

    Attributes:
        fail_closed: Whether requests that need a key are refused while the
            configuration is not confirmed.
        unconfirmed_s: Seconds without a confirmation after which that is so.
    """

    fail_closed: bool = False
    unconfirmed_s: float = math.inf


class Identifier:
    """Finds the workspaces of requests.

    Attributes:
        keys: The workspaces by key; None where requests need no key.
        header_names: Names of the fields of keys and workspaces.
        freshness: How current the configuration is.
        credentials: What the deployment demands; replaced with the settings.
    """

    __slots__ = ("clock", "credentials", "freshness", "header_names", "keys")

    def __init__(
        self,
        clock: Clock,
        header_names: HeaderNames,
        freshness: ConfigFreshness,
    ):
        self.clock = clock
        self.header_names = header_names
        self.freshness = freshness
        self.credentials = Credentials()
        self.keys: KeyTable | None = None

    def identify(self, routed: RoutedRequest) -> RoutedRequest | Refusal:
        """Returns a request with its workspace, and without its key.

        Args:
            routed: The request and its route.

        Returns:
            The request, or a refusal when its route needs a key and it has
            none that is known.
        """
        if self.keys is None:
            return routed
        workspace = self._workspace_of(routed.head, self.keys)
        if not routed.route.exempt:
            if self._is_unconfirmed():
                return UNCONFIRMED_KEYS
            if workspace is None:
                return UNKNOWN_KEY
        return dataclasses.replace(
            routed,
            head=self._with_workspace(routed.head, workspace),
            workspace=workspace,
        )

    def _workspace_of(
        self, head: RequestHead, keys: KeyTable
    ) -> Workspace | None:
        if head.headers.count(self.header_names.api_key) != 1:
            return None
        key = head.headers.get(self.header_names.api_key)
        return keys.by_key.get(key)

    def _is_unconfirmed(self) -> bool:
        if not self.credentials.fail_closed:
            return False
        age_s = self.clock.seconds() - self.freshness.confirmed_at
        return age_s > self.credentials.unconfirmed_s

    def _with_workspace(
        self, head: RequestHead, workspace: Workspace | None
    ) -> RequestHead:
        names = self.header_names
        added: tuple[Field, ...] = ()
        if workspace is not None:
            added = ((names.workspace, workspace.name.encode()),)
        headers = head.headers.replace((names.api_key, names.workspace), *added)
        return head.with_headers(headers)
