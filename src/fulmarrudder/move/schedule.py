"""Filter: a finding to the next action on a move; pure.

The deadline determines how long each share is held; it does not affect the
analysis of the evidence.
"""

import dataclasses

from fulmarrudder.move.analysis import Finding, Regression
from fulmarrudder.state_machine import Move

SHARES_PERMILLE = (10, 20, 50, 100, 250, 500, 1000)
HOLD_WEIGHTS = (5, 5, 2, 1, 1, 1, 0)
FULL_PERMILLE = 1000
# A move with less time has fewer steps. The first share is held longest, since
# a version may start to fail only after a while.
SHORT_MOVE_S = 60.0
SHORT_SHARES_PERMILLE = (60, 260, 520, 1000)
SHORT_HOLD_FRACTIONS = (0.42, 0.2, 0.25, 0.0)
# Time in which what a share has caused is known to the controller.
EVIDENCE_DELAY_S = 2.5
# Time at a share above the first one of a short move after which a doubt takes it
# back: the version may be bad, and gets many requests meanwhile.
MAX_DOUBT_S = 5.0
MIN_HOLD_S = 2.0
MAX_HOLD_S = 120.0
SLACK_WEIGHT = 10
STEP_DELAY_S = 1.5
MIN_REQUESTS = 40
MIN_REQUESTS_SMALL_SHARE = 10
SMALL_SHARE_PERMILLE = 50


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Keep the present share for now.

    Attributes:
        missing: The condition that is not met yet, as text for operators.
    """

    missing: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RaiseShare:
    """Raise the share of the new version."""

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
    """Chooses the next action on a running move.

    Args:
        move: The move.
        finding: The latest finding on the new version.
        held_s: Time for which the present share has been held, in seconds.
        wall: Wall-clock seconds.

    Returns:
        The next action.
    """
    if isinstance(finding, Regression):
        return TakeBack(route=finding.route, reason=finding.reason)
    left_s = move.deadline - wall
    if move.permille == 0:
        return _first_step(left_s)
    if move.permille in SHORT_SHARES_PERMILLE:
        return _next_step_of_short_move(
            move, finding, held_s=held_s, left_s=left_s
        )
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
    min_requests = _min_requests(move.permille)
    if finding.requests < min_requests:
        return Wait(
            missing=f"{min_requests - finding.requests} requests"
            " on the new version"
        )
    next_permille = _next_share(move.permille)
    if next_permille == FULL_PERMILLE:
        return Complete()
    return RaiseShare(permille=next_permille)


def _next_step_of_short_move(
    move: Move, finding: Finding, *, held_s: float, left_s: float
) -> Action:
    if left_s <= 0:
        return TakeBack(
            route="", reason=f"deadline passed at {move.permille} permille"
        )
    index = SHORT_SHARES_PERMILLE.index(move.permille)
    if finding.doubt and index > 0 and held_s >= MAX_DOUBT_S:
        return TakeBack(
            route="",
            reason=f"in doubt at {move.permille} permille: {finding.doubt}",
        )
    if finding.doubt:
        return Wait(missing=f"an end to doubt: {finding.doubt}")
    hold_s = max(
        EVIDENCE_DELAY_S, SHORT_HOLD_FRACTIONS[index] * (left_s + held_s)
    )
    if held_s < hold_s:
        return Wait(missing=f"{hold_s - held_s:.1f} s at this share")
    if finding.requests < MIN_REQUESTS_SMALL_SHARE:
        missing = MIN_REQUESTS_SMALL_SHARE - finding.requests
        return Wait(missing=f"{missing} requests on the new version")
    next_permille = SHORT_SHARES_PERMILLE[index + 1]
    # A share that cannot be held for long enough would tell nothing.
    if next_permille == FULL_PERMILLE or (
        index > 0 and left_s < EVIDENCE_DELAY_S
    ):
        return Complete()
    return RaiseShare(permille=next_permille)


def hold_duration_s(permille: int, left_s: float) -> float:
    """Returns how long a share is held, in seconds.

    Small shares are held for most of the time, since a version that starts to
    fail affects few requests there.

    Args:
        permille: The share.
        left_s: Time from the beginning of the share to the deadline, in
            seconds.
    """
    weight, weights_left, steps_left = 1, 0, 0
    steps = zip(SHARES_PERMILLE, HOLD_WEIGHTS, strict=True)
    for share, share_weight in steps:
        if share == permille:
            weight = share_weight
        if share >= permille:
            weights_left += share_weight
            steps_left += 1
    available_s = max(0.0, left_s - STEP_DELAY_S * steps_left)
    hold_s = available_s * weight / (weights_left + SLACK_WEIGHT)
    return min(MAX_HOLD_S, max(MIN_HOLD_S, hold_s))


def _first_step(left_s: float) -> Action:
    if left_s <= 0:
        return TakeBack(
            route="", reason="deadline passed before the first step"
        )
    if left_s < SHORT_MOVE_S:
        return RaiseShare(permille=SHORT_SHARES_PERMILLE[0])
    return RaiseShare(permille=SHARES_PERMILLE[0])


def _min_requests(permille: int) -> int:
    # Failures are counted over the whole move, so a small share needs few
    # requests: the next share adds to its counts.
    if permille <= SMALL_SHARE_PERMILLE:
        return MIN_REQUESTS_SMALL_SHARE
    return MIN_REQUESTS


def _next_share(permille: int) -> int:
    for share in SHARES_PERMILLE:
        if share > permille:
            return share
    return FULL_PERMILLE
