"""Describes the status of a move in one line; a pure function."""

from fulmarrudder.state_machine import Move, Phase


def verdict_of(move: Move, waiting_for: str) -> str:
    """Describes a move's status without claiming more than is known.

    Args:
        move: The move.
        waiting_for: Condition or data centres that an open move waits for, or
            empty if this node does not have that information.

    Returns:
        One line of text for operators.
    """
    suffix = f"; waits for {waiting_for}" if waiting_for else ""
    if move.phase is Phase.RUNNING:
        return f"not known yet: {move.permille} permille{suffix}"
    if move.phase is Phase.COMPLETING:
        return f"not known yet: completing, decided by {move.by}{suffix}"
    if move.phase is Phase.TAKING_BACK:
        return f"not known yet: taking back ({move.reason}){suffix}"
    where = ", ".join(move.data_centres) or "no data centre heard"
    if move.phase is Phase.COMPLETED:
        return f"completed by {move.by}: {move.reason}; in force in {where}"
    return f"taken back by {move.by}: {move.reason}; in force in {where}"
