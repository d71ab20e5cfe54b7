"""Pipeline from a request's workspace to its admission, and back to the fleet.

The filters, in order:

* `admission`: a workspace's request - admitted, or refused with 429.
* `bucket`: tokens of a workspace in the fleet, as one node sees them.
* `collector`: reports of nodes - sums that all nodes are told.
"""

from fulmarrudder.quotas.admission import FleetQuotas
from fulmarrudder.quotas.collector import QuotaCollector
from fulmarrudder.quotas.limits import QuotaBounds
from fulmarrudder.quotas.message import QuotaReport, QuotaSum, QuotaUse

__all__ = [
    "FleetQuotas",
    "QuotaBounds",
    "QuotaCollector",
    "QuotaReport",
    "QuotaSum",
    "QuotaUse",
]
