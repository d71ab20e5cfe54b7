"""Filter: from a routed request to its tenant.

The key ends here: what follows, other nodes and targets included, gets the
tenant's name only.
"""

import dataclasses
import math

from fulmarrudder.call.freshness import ConfigFreshness
from fulmarrudder.call.header_names import HeaderNames
from fulmarrudder.call.message import Field, Refusal, RequestHead
from fulmarrudder.call.refusals import UNCONFIRMED_KEYS, UNKNOWN_KEY
from fulmarrudder.call.route import RoutedRequest
from fulmarrudder.clock import Clock
from fulmarrudder.model import Tenant
from fulmarrudder.tenants.keys import KeyTable


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
    """Finds the tenants of requests.

    Attributes:
        keys: The tenants by key; None where requests need no key.
        header_names: Names of the fields of keys and tenants.
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
        """Returns a request with its tenant, and without its key.

        Args:
            routed: The request and its route.

        Returns:
            The request, or a refusal when its route needs a key and it has
            none that is known.
        """
        if self.keys is None:
            return routed
        tenant = self._tenant_of(routed.head, self.keys)
        if not routed.route.exempt:
            if self._is_unconfirmed():
                return UNCONFIRMED_KEYS
            if tenant is None:
                return UNKNOWN_KEY
        return dataclasses.replace(
            routed, head=self._with_tenant(routed.head, tenant), tenant=tenant
        )

    def _tenant_of(self, head: RequestHead, keys: KeyTable) -> Tenant | None:
        if head.headers.count(self.header_names.api_key) != 1:
            return None
        key = head.headers.get(self.header_names.api_key)
        return keys.by_key.get(key)

    def _is_unconfirmed(self) -> bool:
        if not self.credentials.fail_closed:
            return False
        age_s = self.clock.seconds() - self.freshness.confirmed_at
        return age_s > self.credentials.unconfirmed_s

    def _with_tenant(
        self, head: RequestHead, tenant: Tenant | None
    ) -> RequestHead:
        names = self.header_names
        added: tuple[Field, ...] = ()
        if tenant is not None:
            added = ((names.tenant, tenant.name.encode()),)
        headers = head.headers.replace((names.api_key, names.tenant), *added)
        return head.with_headers(headers)
