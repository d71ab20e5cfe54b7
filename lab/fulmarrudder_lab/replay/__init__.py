"""Replays recorded traces against the outcomes that they state.

`moves` plays a move's decisions against modelled callers and targets;
`player` plays whole nodes of a firm, with only the network, the log, the
targets, the callers and time faked.
"""

from fulmarrudder_lab.replay.moves import Replay
from fulmarrudder_lab.replay.player import Player
from fulmarrudder_lab.replay.trace import Trace, read_trace

__all__ = ["Player", "Replay", "Trace", "read_trace"]
