"""Control bytes and refusals of quotas, by size of the fleet.

    python bench/quotas.py [--nodes 58] [--workspaces 71] [--seconds 8]

Nodes of four data centres run on a fake clock, each with 16 requests a second of
workspaces whose demand falls by Zipf's law; a workspace may send 1.6 times its demand.
Beside it, on the same requests: a bucket for each data centre or node with an
equal part of each limit (static), and one for each node with its part of the
demand. An owner for each workspace costs two messages a request.
"""

import collections
import pathlib
import random
import sys

import click

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from tests.quotas.fleet import BOUNDS, Fleet, workspace_of  # noqa: E402

REQUESTS_PER_NODE = 16.0
SKEW = 1.2
QUOTA_FACTOR = 1.6
WARM_UP_S = 4.0
STEP_S = 0.1


def room_of(workspace):
    """Returns what a window allows beyond the rate."""
    rate = workspace.requests_per_s * BOUNDS.window_s
    return (rate + workspace.burst) * (1 + BOUNDS.excess) + BOUNDS.slack - rate


class PartBuckets:
    """Buckets that each have a fixed part of a limit and hear of no other.

    They hold all that a window allows beyond the rate.
    """

    def __init__(self, part_of):
        self.part_of = part_of
        self.tokens = {}
        self.refused = 0

    def ask(self, now, workspace, node):
        """Takes a token of the part that a node draws from."""
        place, part = self.part_of(workspace, node)
        per_s = workspace.requests_per_s * part
        depth = max(1.0, room_of(workspace) * part)
        tokens, at = self.tokens.get((workspace.name, place), (depth, now))
        tokens = min(depth, tokens + per_s * (now - at))
        self.refused += tokens < 1
        self.tokens[workspace.name, place] = (tokens - (tokens >= 1), now)


def demands_of(nodes, workspaces):
    """Returns the demand of each workspace."""
    weights = [1 / (rank + 1) ** SKEW for rank in range(workspaces)]
    scale = REQUESTS_PER_NODE * nodes / sum(weights)
    return [weight * scale for weight in weights]


@click.command()
@click.option("--nodes", default=58)
@click.option("--workspaces", "count", default=71)
@click.option("--seconds", default=8.0)
@click.option("--homed", is_flag=True, help="A workspace enters at one place.")
def main(nodes, count, seconds, homed):
    """Prints bytes a second and refusals in calm."""
    rng = random.Random(1)
    demands = demands_of(nodes, count)
    workspaces = [
        workspace_of(QUOTA_FACTOR * demand, name=f"t{index}")
        for index, demand in enumerate(demands)
    ]
    fleet = Fleet(workspaces, size=max(1, round(nodes / 4)))
    homes = {
        workspace.name: "abcd"[index % 4]
        for index, workspace in enumerate(workspaces)
    }
    fleet.run(WARM_UP_S, 0, workspace="t0")
    fleet.bytes.clear()
    places = len(fleet.names)
    baselines = {
        "static by data centre": PartBuckets(lambda t, n: (n[0], 1 / 4)),
        "static by node": PartBuckets(lambda t, n: (n, 1 / places)),
        "demand by node": PartBuckets(
            lambda t, n: (n, 4 / places if homed else 1 / places)
        ),
    }
    asked = 0
    for _ in range(round(seconds / STEP_S)):
        fleet.clock.advance(STEP_S)
        now = fleet.clock.seconds()
        requests = rng.choices(
            workspaces, demands, k=round(sum(demands) * STEP_S)
        )
        for workspace in requests:
            home = homes[workspace.name]
            names = [n for n in fleet.names if n[0] == home or not homed]
            node = rng.choice(names)
            asked += 1
            fleet.ask(workspace.name, node)
            for baseline in baselines.values():
                baseline.ask(now, workspace, node)
    per_s = collections.Counter(
        {name: sent / seconds for name, sent in fleet.bytes.items()}
    )
    refused = sum(fleet.refused.values())
    print(f"nodes={places} workspaces={count} homed={homed} asked={asked}")
    print(
        f"bytes/s: mean {sum(per_s.values()) / places:.0f}, "
        f"largest {max(per_s.values()):.0f}"
    )
    print(f"refused: quotas {100 * refused / asked:.2f}%")
    for name, baseline in baselines.items():
        print(f"refused: {name} {100 * baseline.refused / asked:.2f}%")
    print(f"owner: {2 * asked / seconds / places:.0f} messages/s a node")


if __name__ == "__main__":
    main()
