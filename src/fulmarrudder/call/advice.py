"""What a target tells of itself in the heads of its answers."""

import dataclasses
import math
from collections.abc import Callable

from fulmarrudder.call.header_names import HeaderNames
from fulmarrudder.call.host_report import HostReport
from fulmarrudder.call.message import ResponseHead
from fulmarrudder.call.slots import Slots
from fulmarrudder.call.target_limits import LimitSource, TargetLimits
from fulmarrudder.membership import Announcement, LocalTarget
from fulmarrudder.observe import logs

YES = b"1"
# Part of the load that tells how long work takes; 100 is as usual.
SLOWNESS_PART = 3
# Longer figures are wrong, and the longest cannot be converted.
MAX_SLOWNESS_DIGITS = 9
# Requests let in for each that the target names: what is over one and a half
# times the limit within 4 s counts as too much, and bursts and resent requests
# come on top.
LIMIT_TOLERANCE = 1.3


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


def parse_slowness(
    head: ResponseHead, header_names: HeaderNames
) -> float | None:
    """Returns how many times longer than usual work takes at a target.

    Args:
        head: Head of its answer.
        header_names: Field names.

    Returns:
        The slowness, or None if the target does not tell it.
    """
    if not header_names.load:
        return None
    value = head.headers.get(header_names.load)
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) <= SLOWNESS_PART:
        return None
    figure = parts[SLOWNESS_PART].strip()
    if not figure.isdigit() or len(figure) > MAX_SLOWNESS_DIGITS:
        return None
    return int(figure) / 100


def _parse_rate(value: bytes | None) -> float:
    """Returns a rate; infinite if there is none or it is not a rate."""
    try:
        rate = math.inf if value is None else float(value)
    except ValueError:
        return math.inf
    return rate if rate >= 0 else math.inf


class AdviceTracker:
    """Applies what the local target tells of itself.

    Attributes:
        latest: What it told last.
        incarnation: Incarnation of the target that told it.
        on_leaving: Called when the target tells that it is leaving.
    """

    def __init__(
        self,
        *,
        header_names: HeaderNames,
        local_target: LocalTarget,
        limits: TargetLimits,
        slots: Slots,
        report: HostReport,
        on_leaving: Callable[[], object],
    ):
        self.header_names = header_names
        self.local_target = local_target
        self.limits = limits
        self.slots = slots
        self.report = report
        self.on_leaving = on_leaving
        self.latest = NO_ADVICE
        self.incarnation = 0

    def announced(self, target: Announcement) -> None:
        """Forgets what an earlier incarnation of the target told."""
        if target.incarnation != self.incarnation:
            self._limit(math.inf)
            self.latest = NO_ADVICE

    def answered(self, head: ResponseHead, target: Announcement) -> None:
        """Applies what an answer tells.

        Args:
            head: Its head; the target wrote it to the request.
            target: The target, as announced when the request was sent.
        """
        current = self.local_target.latest
        if (current.id, current.incarnation) != (target.id, target.incarnation):
            return
        slowness = parse_slowness(head, self.header_names)
        if slowness is not None:
            self.slots.target_told(slowness)
        advice = parse_advice(head, self.header_names)
        if advice.is_leaving and not self.latest.is_leaving:
            logs.info("target-leaving", target=target.id)
            self.on_leaving()
        self._limit(advice.requests_per_s)
        self.incarnation = target.incarnation
        self.latest = advice

    def _limit(self, per_s: float) -> None:
        if per_s == self.latest.requests_per_s:
            return
        self.report.target_limited(per_s, self.latest.requests_per_s)
        self.limits.set(LimitSource.ADVISED, LIMIT_TOLERANCE * per_s)
