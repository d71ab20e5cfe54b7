"""Replays recorded traces and compares the outcomes with those expected.

`moves` replays the decisions on a move against simulated callers and targets;
`player` runs all nodes of a firm, with only the network, the log, the targets,
the callers and time simulated.
"""

from fulmarrudder_lab.replay.moves import Replay
from fulmarrudder_lab.replay.player import Player
from fulmarrudder_lab.replay.trace import Trace, read_trace

__all__ = ["Player", "Replay", "Trace", "read_trace"]
