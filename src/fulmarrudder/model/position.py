"""Positions in a source that may go back, as one number that never does. Pure.

A source that comes back from an older copy gives its offsets out again, and
counts an era. A position holds both, so that what was read in a later era
follows what was read in an earlier one. In a source without eras, positions
are its offsets.
"""

# Offsets, and generations of a group, are lower than this power of two.
OFFSET_BITS = 40
_OFFSET_MASK = (1 << OFFSET_BITS) - 1


def position_of(era: int, offset: int) -> int:
    """Returns the position of an offset; negative ones stay as they are."""
    return offset if offset < 0 else era << OFFSET_BITS | offset


def era_of(position: int) -> int:
    """Returns the era of a position, which is not negative."""
    return position >> OFFSET_BITS


def offset_of(position: int) -> int:
    """Returns the offset of a position; negative ones stay as they are."""
    return position if position < 0 else position & _OFFSET_MASK
