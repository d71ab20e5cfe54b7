"""Filter: a move to its verdict in words; pure."""

from fulmarrudder.state_machine import Move, Phase


def verdict_of(move: Move, missing: str) -> str:
    """Says what is true of a move, and no more.

    Args:
        move: The move.
        missing: What an open move still waits for, if that is known here.

    Returns:
        One line for operators.
    """
    waits = f"; waits for {missing}" if missing else ""
    if move.phase is Phase.RUNNING:
        return f"not known yet: {move.permille} permille{waits}"
    if move.phase is Phase.COMPLETING:
        return f"not known yet: completing, decided by {move.by}{waits}"
    if move.phase is Phase.TAKING_BACK:
        return f"not known yet: taking back ({move.reason}){waits}"
    where = ", ".join(move.data_centres) or "no data centre heard"
    if move.phase is Phase.COMPLETED:
        return f"completed by {move.by}: {move.reason}; in force in {where}"
    return f"taken back by {move.by}: {move.reason}; in force in {where}"
