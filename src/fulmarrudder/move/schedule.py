"""Filter: a finding to the next action on a move; pure.

The deadline decides how long each share is held, never what is concluded
from the evidence.
"""

import dataclasses

from fulmarrudder.move.analysis import Finding, Regression
from fulmarrudder.state_machine import Move

SHARES_PERMILLE = (10, 20, 50, 100, 250, 500, 1000)
HOLD_WEIGHTS = (5, 5, 2, 1, 1, 1, 0)
FULL_PERMILLE = 1000
# A move that has less time goes by fewer shares; the first is held for most of
# it, since a version may turn bad only after a while.
SHORT_MOVE_S = 60.0
SHORT_PERMILLE = (60, 260, 520, 1000)
SHORT_HOLDS = (0.42, 0.2, 0.25, 0.0)
MIN_HOLD_S = 2.0
MAX_HOLD_S = 120.0
SLACK_WEIGHT = 10
STEP_DELAY_S = 1.5
MIN_REQUESTS = 40
MIN_REQUESTS_SMALL_SHARE = 10
SMALL_SHARE_PERMILLE = 50


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Nothing to do yet.

    Attributes:
        missing: What is still needed, for operators.
    """

    missing: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RaiseShare:
    """Raise the share."""

    permille: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Complete:
    """Complete the move."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TakeBack:
    """Take the move back."""

    route: str
    reason: str


Action = Wait | RaiseShare | Complete | TakeBack


def next_action(
    move: Move, finding: Finding, *, held_s: float, wall: float
) -> Action:
    """Decides on a running move.

    Args:
        move: The move.
        finding: What the evidence shows.
        held_s: Seconds for which the present share has been held.
        wall: Wall-clock seconds.

    Returns:
        What to do next.
    """
    if isinstance(finding, Regression):
        return TakeBack(route=finding.route, reason=finding.reason)
    left_s = move.deadline - wall
    if move.permille == 0:
        return _first(left_s)
    if move.permille in SHORT_PERMILLE:
        return _next_short(move, finding, held_s=held_s, left_s=left_s)
    if left_s <= 0:
        doubt = f"; in doubt: {finding.doubt}" if finding.doubt else ""
        return TakeBack(
            route="",
            reason=f"deadline passed at {move.permille} permille{doubt}",
        )
    if finding.doubt:
        return Wait(missing=f"an end to doubt: {finding.doubt}")
    hold_s = hold_duration_s(move.permille, left_s + held_s)
    if held_s < hold_s:
        return Wait(missing=f"{hold_s - held_s:.0f} s at this share")
    wanted = _requests_wanted(move.permille)
    if finding.requests < wanted:
        return Wait(
            missing=f"{wanted - finding.requests} requests on the new version"
        )
    following = _following(move.permille)
    if following == FULL_PERMILLE:
        return Complete()
    return RaiseShare(permille=following)


def _next_short(
    move: Move, finding: Finding, *, held_s: float, left_s: float
) -> Action:
    if left_s <= 0:
        return TakeBack(
            route="", reason=f"deadline passed at {move.permille} permille"
        )
    if finding.doubt:
        return Wait(missing=f"an end to doubt: {finding.doubt}")
    place = SHORT_PERMILLE.index(move.permille)
    hold_s = SHORT_HOLDS[place] * (left_s + held_s)
    if held_s < hold_s:
        return Wait(missing=f"{hold_s - held_s:.1f} s at this share")
    if finding.requests < MIN_REQUESTS_SMALL_SHARE:
        missing = MIN_REQUESTS_SMALL_SHARE - finding.requests
        return Wait(missing=f"{missing} requests on the new version")
    following = SHORT_PERMILLE[place + 1]
    if following == FULL_PERMILLE:
        return Complete()
    return RaiseShare(permille=following)


def hold_duration_s(permille: int, left_s: float) -> float:
    """Returns how long a share is held.

    Most of the time goes to the small shares, where a version that turns bad
    later costs few requests.

    Args:
        permille: The share.
        left_s: Seconds from the beginning of the share to the deadline.
    """
    weight, left, steps_left = 1, 0, 0
    steps = zip(SHARES_PERMILLE, HOLD_WEIGHTS, strict=True)
    for share, share_weight in steps:
        if share == permille:
            weight = share_weight
        if share >= permille:
            left += share_weight
            steps_left += 1
    to_spend_s = max(0.0, left_s - STEP_DELAY_S * steps_left)
    part = to_spend_s * weight / (left + SLACK_WEIGHT)
    return min(MAX_HOLD_S, max(MIN_HOLD_S, part))


def _first(left_s: float) -> Action:
    if left_s <= 0:
        return TakeBack(
            route="", reason="deadline passed before the first step"
        )
    if left_s < SHORT_MOVE_S:
        return RaiseShare(permille=SHORT_PERMILLE[0])
    return RaiseShare(permille=SHARES_PERMILLE[0])


def _requests_wanted(permille: int) -> int:
    # Failures are counted over the whole move, so that a small share need
    # not prove by itself what the next one will go on counting.
    if permille <= SMALL_SHARE_PERMILLE:
        return MIN_REQUESTS_SMALL_SHARE
    return MIN_REQUESTS


def _following(permille: int) -> int:
    for share in SHARES_PERMILLE:
        if share > permille:
            return share
    return FULL_PERMILLE
