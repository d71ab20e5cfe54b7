"""What a target tells of itself in the heads of its answers."""

import dataclasses
import math

from fulmarrudder.call.header_names import HeaderNames
from fulmarrudder.call.message import ResponseHead

YES = b"1"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetAdvice:
    """What one answer told.

    Attributes:
        requests_per_s: Requests a second that the target takes from all nodes
            together; infinite without a limit.
        is_leaving: Whether the target is about to stop.
    """

    requests_per_s: float = math.inf
    is_leaving: bool = False


NO_ADVICE = TargetAdvice()


def parse_advice(head: ResponseHead, header_names: HeaderNames) -> TargetAdvice:
    """Returns what the head of an answer tells of its target.

    Args:
        head: Head of a target's answer.
        header_names: Field names.
    """
    limit = leaving = None
    if header_names.requests_per_s:
        limit = head.headers.get(header_names.requests_per_s)
    if header_names.leaving:
        leaving = head.headers.get(header_names.leaving)
    if limit is None and leaving is None:
        return NO_ADVICE
    return TargetAdvice(
        requests_per_s=_parse_rate(limit), is_leaving=leaving == YES
    )


def _parse_rate(value: bytes | None) -> float:
    """Returns a rate; infinite if there is none or it is not a rate."""
    try:
        rate = math.inf if value is None else float(value)
    except ValueError:
        return math.inf
    return rate if rate >= 0 else math.inf
