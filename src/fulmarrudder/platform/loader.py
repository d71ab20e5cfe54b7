"""Takes configurations in, whole or as changes, a slice at a time.

What was overtaken while it waited is not parsed. A configuration becomes active
only once all of it is valid.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterator
from functools import singledispatchmethod

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from fulmarrudder.clock import Clock
from fulmarrudder.distribution.entries import (
    Entries,
    apply_change,
    entries_of,
    id_of,
)
from fulmarrudder.distribution.message import ConfigChange
from fulmarrudder.node.gossip_node import VersionSource
from fulmarrudder.observe import logs
from fulmarrudder.platform.config import Config, build_config
from fulmarrudder.platform.document import read_version, split_config
from fulmarrudder.platform.entry import parse_entries
from fulmarrudder.platform.errors import DocumentError

# Entries that are parsed before the loop gets its turn.
SLICE_ENTRIES = 100
# Entries of a whole document from which on its steps take a turn each.
LARGE_DOCUMENT_ENTRIES = 1_000
# Changes that wait; after more of them a whole document is sooner there.
MAX_WAITING = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WholeConfig:
    """A whole configuration that was received.

    Attributes:
        data: JSON.
        source: Where it came from.
    """

    data: bytes
    source: VersionSource


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Draft:
    """A configuration whose new entries are not parsed yet.

    Attributes:
        version: Its version.
        new_texts: Texts of the entries that the active one does not have.
        source: Where it came from.
        texts: Texts of all its entries; empty if `entries` is known.
        entries: Its entries, or None.
    """

    version: int
    new_texts: tuple[str, ...]
    source: VersionSource
    texts: tuple[str, ...] = ()
    entries: Entries | None = None


class ConfigLoader:
    """Parses configurations and activates those that are valid and newer.

    Attributes:
        config: The active configuration.
        on_loaded: Called with the configuration that becomes active, the one
            before it and where it came from.
        on_fault: Called with a failure of this class itself.
        waiting: What was received and not begun.
        read_version: Latest version that was received, also if it was refused.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        on_loaded: Callable[[Config, Config, VersionSource], None],
        on_fault: Callable[[Failure], None],
    ):
        self.clock = clock
        self.on_loaded = on_loaded
        self.on_fault = on_fault
        self.config = Config()
        self.waiting: collections.deque = collections.deque(maxlen=MAX_WAITING)
        self.read_version = 0
        self.running = False

    def offer(self, received: WholeConfig | ConfigChange) -> None:
        """Takes a configuration in; ends at once if little of it is new."""
        self._discard_overtaken(received)
        self.waiting.append(received)
        if not self.running:
            self.running = True
            ensureDeferred(self._run()).addErrback(self._failed)

    @singledispatchmethod
    def _discard_overtaken(self, received: ConfigChange) -> None:
        """Discards what waits and is not needed after what was received."""

    @_discard_overtaken.register
    def _(self, received: WholeConfig) -> None:
        # Documents of one source come in the order of their versions.
        kept = [
            other
            for other in self.waiting
            if getattr(other, "source", None) is not received.source
        ]
        self.waiting.clear()
        self.waiting.extend(kept)

    def _failed(self, failure: Failure) -> None:
        self.running = False
        self.on_fault(failure)

    async def _run(self) -> None:
        while self.waiting:
            drafted = self._draft(self.waiting.popleft())
            if drafted.is_error():
                logs.warning("config-refused", detail=drafted.error)
                continue
            if drafted.ok is not None:
                await self._load(drafted.ok)
        self.running = False

    @singledispatchmethod
    def _draft(self, received) -> Result[_Draft | None, DocumentError]:
        """Returns what is to be parsed; None if it is outdated."""
        raise TypeError(type(received).__name__)

    @_draft.register
    def _(self, received: WholeConfig) -> Result[_Draft | None, DocumentError]:
        version = read_version(received.data)
        if version.is_error():
            return Error(version.error)
        self.read_version = max(self.read_version, version.ok)
        if version.ok <= self.config.version:
            logs.info(
                "config-outdated",
                version=version.ok,
                active_version=self.config.version,
            )
            return Ok(None)
        known = self.config.entries.ids
        return split_config(received.data).map(
            lambda split: _Draft(
                version=split.version,
                new_texts=tuple(t for t in split.texts if t not in known),
                source=received.source,
                texts=split.texts,
            )
        )

    @_draft.register
    def _(self, received: ConfigChange) -> Result[_Draft | None, DocumentError]:
        if received.version <= self.config.version:
            return Ok(None)
        if received.base > self.config.version:
            logs.info(
                "change-without-base",
                version=received.version,
                base=received.base,
                active_version=self.config.version,
            )
            return Ok(None)
        changed = apply_change(self.config.entries, received)
        if changed.is_error():
            # The document itself follows from the store or a neighbour.
            logs.info(
                "change-refused",
                version=received.version,
                base=received.base,
                active_version=self.config.version,
                detail=changed.error,
            )
            return Ok(None)
        return Ok(
            _Draft(
                version=received.version,
                new_texts=tuple(
                    text
                    for text in received.added
                    if text not in self.config.entries.ids
                ),
                source=VersionSource.CHANGE,
                entries=changed.ok,
            )
        )

    async def _load(self, draft: _Draft) -> None:
        base = self.config
        ids, parts = {}, {}
        for texts in _slices(draft.new_texts):
            if len(draft.new_texts) > SLICE_ENTRIES:
                await self._yield_turn()
            parsed = parse_entries(texts)
            if parsed.is_error():
                self._refuse(draft, parsed.error)
                return
            for text, part in zip(texts, parsed.ok, strict=True):
                ids[text] = id_of(text)
                parts[ids[text]] = part
        entries = draft.entries
        if entries is None:
            if len(draft.texts) > LARGE_DOCUMENT_ENTRIES:
                await self._yield_turn()
            ids.update(base.entries.ids)
            entries = entries_of(draft.texts, Entries(ids=ids))
        if len(draft.new_texts) > LARGE_DOCUMENT_ENTRIES:
            await self._yield_turn()
        built = build_config(base, draft.version, entries, parts)
        if built.is_error():
            self._refuse(draft, built.error)
            return
        self.config = built.ok
        self.on_loaded(built.ok, base, draft.source)

    def _yield_turn(self) -> Deferred:
        return deferLater(self.clock, 0.0)

    def _refuse(self, draft: _Draft, error: DocumentError) -> None:
        logs.warning("config-refused", version=draft.version, detail=error)


def _slices(texts: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
    for start in range(0, len(texts), SLICE_ENTRIES):
        yield texts[start : start + SLICE_ENTRIES]
