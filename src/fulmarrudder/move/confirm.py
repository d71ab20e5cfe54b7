"""Filter: what data centres hold, to whether a decision is in force; pure."""

import dataclasses

from fulmarrudder.model import ConfigSummary


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Confirmation:
    """Where a record is known to be in force.

    Attributes:
        confirmed: Data centres whose nodes all hold it.
        lagging: Data centres with a node that does not hold it yet.
        unheard: Data centres that nothing has been heard of lately.
    """

    confirmed: tuple[str, ...]
    lagging: tuple[str, ...]
    unheard: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether it is in force everywhere."""
        return not self.lagging and not self.unheard

    @property
    def missing(self) -> tuple[str, ...]:
        """Data centres that have not confirmed."""
        return tuple(sorted((*self.lagging, *self.unheard)))


def confirm(
    offset: int,
    data_centres: frozenset[str],
    fresh: tuple[ConfigSummary, ...],
) -> Confirmation:
    """Tells where a record is in force.

    Args:
        offset: Offset of the record.
        data_centres: Every data centre that has a relay.
        fresh: Summaries of relays that were heard lately.
    """
    lowest: dict[str, int] = {}
    for summary in fresh:
        known = lowest.get(summary.data_centre, summary.offset)
        lowest[summary.data_centre] = min(known, summary.offset)
    confirmed, lagging, unheard = [], [], []
    for name in sorted(data_centres | set(lowest)):
        if name not in lowest:
            unheard.append(name)
        elif lowest[name] >= offset:
            confirmed.append(name)
        else:
            lagging.append(name)
    return Confirmation(
        confirmed=tuple(confirmed),
        lagging=tuple(lagging),
        unheard=tuple(unheard),
    )
