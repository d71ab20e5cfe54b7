"""Errors of the fold."""

import dataclasses

from fulmarrudder.fold.outcome import Reason


class FoldError(Exception):
    """Base of the fold's errors."""


class GapError(FoldError):
    """A record does not follow the last one applied."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why one record cannot be applied."""

    reason: Reason
    detail: str
