"""What nodes tell each other of the requests of workspaces."""

import dataclasses
from typing import Any


def _field(alias: str, default: Any = dataclasses.MISSING) -> Any:
    """Returns a field with a short name on the link."""
    return dataclasses.field(default=default, metadata={"alias": alias})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaReport:
    """What a node has counted since its last report to its collector.

    Attributes:
        number: Number of the report, which rises by one each time.
        counts: Workspace id, requests admitted and requests refused, of each
            workspace that has any; admitted ones are negative after refunds.
        pressing: Whether the bucket of one of them is nearly used up.
        is_last: Whether the node admits nothing more, as it stops.
    """

    number: int = _field("n")
    counts: tuple[int, ...] = _field("c", ())
    pressing: bool = _field("p", False)
    is_last: bool = _field("l", False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaSum:
    """What nodes of one data centre have counted.

    Attributes:
        data_centre: The data centre.
        counts: As in `QuotaReport`.
        missing: Part of the data centre's nodes that are not heard there.
    """

    data_centre: str = _field("dc")
    counts: tuple[int, ...] = _field("c", ())
    missing: float = _field("m", 0.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaUse:
    """Sums since the last message of the sender, which is a collector.

    Attributes:
        sums: One for each data centre that it has heard of since.
        included: Node and number of the latest report of each node whose
            counts the sum of the sender's data centre includes.
        pressing: Whether the bucket of one of the workspaces is nearly used up.
    """

    sums: tuple[QuotaSum, ...] = _field("s")
    included: tuple[tuple[str, int], ...] = _field("i", ())
    pressing: bool = _field("p", False)
