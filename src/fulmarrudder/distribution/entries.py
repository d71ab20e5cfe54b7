"""A configuration as a set of entries, and the changes between two sets. Pure.

An entry is a part of a document that stands for itself, such as one route. This
module does not know what it means. Sets are compared by a digest that follows
from the ids of their entries, whatever their order.
"""

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping

from expression import Error, Ok, Result

from fulmarrudder.distribution.errors import ChangeError
from fulmarrudder.distribution.message import ConfigChange

ID_BYTES = 16
DIGEST_MODULUS = 1 << (8 * ID_BYTES)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entries:
    """A set of entries.

    Attributes:
        ids: Id of each entry, by its text.
        texts: Text of each entry, by its id.
        sum: Sum of the ids.
    """

    ids: Mapping[str, int] = dataclasses.field(default_factory=dict)
    texts: Mapping[int, str] = dataclasses.field(default_factory=dict)
    sum: int = 0

    @property
    def digest(self) -> str:
        """Digest of the set, hexadecimal."""
        return format_id(self.sum)


def format_id(entry_id: int) -> str:
    """Returns an id as it is sent, hexadecimal."""
    return f"{entry_id:0{2 * ID_BYTES}x}"


def id_of(text: str) -> int:
    """Returns the id of an entry."""
    digest = hashlib.blake2b(text.encode(), digest_size=ID_BYTES).digest()
    return int.from_bytes(digest)


def entries_of(texts: Iterable[str], known: Entries) -> Entries:
    """Returns a set of entries.

    Args:
        texts: Texts of the entries.
        known: Another set, whose ids need not be computed again.
    """
    ids = {}
    for text in texts:
        entry_id = known.ids.get(text)
        ids[text] = id_of(text) if entry_id is None else entry_id
    return Entries(
        ids=ids,
        texts={entry_id: text for text, entry_id in ids.items()},
        sum=sum(ids.values()) % DIGEST_MODULUS,
    )


def change_between(
    old: Entries, new: Entries, *, base: int, version: int
) -> ConfigChange:
    """Returns what leads from one set to another.

    Args:
        old: The set of the base.
        new: The set of the version.
        base: Version that the change starts from.
        version: Version that it leads to.
    """
    return ConfigChange(
        base=base,
        version=version,
        digest=new.digest,
        removed=tuple(
            format_id(entry_id)
            for entry_id in sorted(old.texts.keys() - new.texts.keys())
        ),
        added=tuple(
            new.texts[entry_id]
            for entry_id in sorted(new.texts.keys() - old.texts.keys())
        ),
    )


def apply_change(
    entries: Entries, change: ConfigChange
) -> Result[Entries, ChangeError]:
    """Applies a change to a set of entries.

    The set need not be that of the change's base: it counts that the result
    is the one that the change states.

    Args:
        entries: The set.
        change: The change.

    Returns:
        The new set, or an error if it is not the stated one.
    """
    ids, texts, total = dict(entries.ids), dict(entries.texts), entries.sum
    try:
        removed = [int(entry_id, 16) for entry_id in change.removed]
    except ValueError as error:
        return Error(ChangeError(f"invalid id: {error}"))
    for entry_id in removed:
        text = texts.pop(entry_id, None)
        if text is None:
            continue
        del ids[text]
        total -= entry_id
    for text in change.added:
        if text in ids:
            continue
        entry_id = id_of(text)
        ids[text] = entry_id
        texts[entry_id] = text
        total += entry_id
    changed = Entries(ids=ids, texts=texts, sum=total % DIGEST_MODULUS)
    if changed.digest != change.digest:
        return Error(
            ChangeError(f"digest {changed.digest}, stated {change.digest}")
        )
    return Ok(changed)
