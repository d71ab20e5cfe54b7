"""Filter: summaries of data centres to a confirmation of a record; pure."""

import dataclasses

from fulmarrudder.model import ConfigSummary


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Confirmation:
    """Data centres that have, or have not yet, applied a record.

    Attributes:
        confirmed: Data centres whose nodes have all applied it.
        lagging: Data centres with a node that has not applied it yet.
        unheard: Data centres without a recent summary.
    """

    confirmed: tuple[str, ...]
    lagging: tuple[str, ...]
    unheard: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether every data centre has applied the record."""
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
    """Returns the data centres that have applied a record.

    Args:
        offset: Offset of the record.
        data_centres: Every data centre that has a relay.
        fresh: Recent summaries, one for each relay.
    """
    lowest: dict[str, int] = {}
    for summary in fresh:
        lowest_so_far = lowest.get(summary.data_centre, summary.offset)
        lowest[summary.data_centre] = min(lowest_so_far, summary.offset)
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
