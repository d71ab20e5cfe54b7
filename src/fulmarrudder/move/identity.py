"""By which id nodes know a move whose request is read at another position.

A request gets its id from the position of its record. After its source has come
back from an older copy, the same record may be at another one.
"""

import dataclasses
from collections.abc import Collection, Iterable

from fulmarrudder.model import Brake, MoveProgress
from fulmarrudder.model.position import era_of


def request_id(service: str, to_version: str, offset: int) -> str:
    """Returns the id of the request whose record has a position."""
    return f"{service}/{to_version}/{offset}"


def offset_in(move: str) -> int | None:
    """Returns the position that the id of a request tells, or None."""
    offset = move.rpartition("/")[2]
    return int(offset) if offset.isdecimal() else None


def identify(offset: int, known: Collection[int]) -> int:
    """Returns the position by which a request that was just read is known.

    It is its own, unless moves to the same target version are known from
    earlier eras alone; then it is the latest of these.

    Args:
        offset: Position at which the request was read.
        known: Positions of the requests of known moves to that version.
    """
    if offset in known:
        return offset
    earlier = (other for other in known if era_of(other) < era_of(offset))
    return max(earlier, default=offset)


class Identities:
    """Present ids of requests that nodes have followed to other positions.

    Attributes:
        present_ids: Present id of a request, by each id that it had.
    """

    def __init__(self):
        self.present_ids: dict[str, str] = {}

    def follow(self, earlier: str, present: str, kept: Collection[str]) -> None:
        """Handles that a request has another id.

        Args:
            earlier: Its id until now.
            present: Its id from now on.
            kept: Ids of the requests whose earlier ids are still of use.
        """
        found = {}
        for known, latest in self.present_ids.items():
            if latest == earlier:
                latest = present
            if latest in kept:
                found[known] = latest
        found[earlier] = present
        self.present_ids = found

    def offset_of(self, service: str, to_version: str, offset: int) -> int:
        """Returns the present position of a request that a record tells."""
        present = self.present_ids.get(request_id(service, to_version, offset))
        return offset if present is None else offset_in(present)

    def followed_facts(
        self, facts: Iterable[MoveProgress | Brake]
    ) -> tuple[MoveProgress | Brake, ...]:
        """Returns facts of moves under the ids that these have now.

        Args:
            facts: Facts of moves that this node has received.
        """
        return tuple(
            dataclasses.replace(fact, move=self.present_ids[fact.move])
            for fact in facts
            if fact.move in self.present_ids
        )
