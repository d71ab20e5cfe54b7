"""When refused callers are to return, so that each of them finds room."""

# Callers are not sent away for longer than this, however many they are.
LONGEST_LINE_S = 2.0


class ReturnLine:
    """Moments at which slots are expected for callers that were refused.

    Callers that are all told the same time return together, and all but the
    first are refused again.

    Attributes:
        last_at: Clock seconds of the last moment that was given out.
    """

    __slots__ = ("last_at",)

    def __init__(self):
        self.last_at = 0.0

    def next_s(
        self, now: float, wait_s: float, pace_s: float, latest: float
    ) -> float:
        """Returns the seconds after which the next caller is to return.

        Args:
            now: Clock seconds.
            wait_s: Seconds until a slot is expected to be free.
            pace_s: Seconds between two slots that become free.
            latest: Clock seconds after which a return is of little use.
        """
        earliest = now + wait_s
        at = max(earliest, self.last_at + pace_s)
        if at > min(earliest + LONGEST_LINE_S, latest):
            # Begins a second round, which spreads callers over the first.
            at = earliest
        self.last_at = at
        return at - now
