"""Header lines that are kept as one block of bytes.

A parsed line takes some thirty times the bytes of a short one. The lines of a
head beyond the first ones stay as they are passed on: names in lower case, a
colon, the value and CRLF, one after the other.
"""

from collections.abc import Collection

CRLF = b"\r\n"
# Names up to this number are searched for before the lines are split.
FEW_NAMES = 32


def encode_line(name: bytes, value: bytes) -> bytes:
    """Returns one line of a block."""
    return b"%b:%b\r\n" % (name, value)


def first_value(block: bytes, name: bytes) -> bytes | None:
    """Returns the first value of a field, or None."""
    start = (CRLF + block).find(_line_start(name))
    if start < 0:
        return None
    start += len(name) + 1
    return block[start : block.find(CRLF, start)]


def count_lines(block: bytes, name: bytes) -> int:
    """Counts the lines with a name."""
    return (CRLF + block).count(_line_start(name))


def all_values(block: bytes, name: bytes) -> list[bytes]:
    """Returns the values of all lines with a name."""
    if not count_lines(block, name):
        return []
    return [value for found, _, value in _parsed(block) if found == name]


def drop_lines(
    block: bytes, names: Collection[bytes], prefix: bytes | None = None
) -> bytes:
    """Returns a block without some of its lines.

    Args:
        block: The lines.
        names: Names of the lines to remove.
        prefix: If set, lines whose names begin with it are removed as well.
    """
    if len(names) <= FEW_NAMES:
        starts = [_line_start(name) for name in names]
        if prefix:
            starts.append(CRLF + prefix)
        text = CRLF + block
        if not any(start in text for start in starts):
            return block
    kept = bytearray()
    for line in block.split(CRLF)[:-1]:
        name = line.partition(b":")[0]
        if name in names or (prefix and name.startswith(prefix)):
            continue
        kept += line + CRLF
    return bytes(kept)


def _line_start(name: bytes) -> bytes:
    return b"\r\n%b:" % name


def _parsed(block: bytes):
    for line in block.split(CRLF)[:-1]:
        yield line.partition(b":")
