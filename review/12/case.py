"""Backends are slow for some seconds, and a version shortens a route's timeout.

Afterwards the backends are as fast and as idle as before. The route was added
later than the first one, which leads to the same service.
"""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))

from fleet import (  # noqa: E402
    TROUBLE,
    Client,
    Fleet,
    config,
    json,
    play,
    random,
)

WORK_S = 0.1
SLOW_FACTOR = 12.0
SLOW_S = 9.0
LONG_MS, SHORT_MS = 2000, 600
STEADY_S = 15.0


def route(name, timeout_ms):
    """Returns a route."""
    return {
        "name": f"r-{name}",
        "pathPrefix": f"/{name}/",
        "service": "caja",
        "routeType": "non_idempotent",
        "timeout": f"{timeout_ms}ms",
        "targetLatency": "250ms",
    }


SERVICES = ["vitrina", "caja"]
STATUS = {"name": "r-status", "pathPrefix": "/status/", "service": "vitrina"}
FIRST = route("first", LONG_MS)


def build(folder):
    """Returns the machines and the first configuration."""
    fleet = Fleet(folder, ("zone-1", "zone-2"))
    for zone in fleet.zones:
        fleet.add("caja", zone, work_s=WORK_S)
        fleet.add("vitrina", zone)
    return fleet, config(3, [STATUS, FIRST], SERVICES)


class Users:
    """Clients, each with one request at a time."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.number = 0
        self.running = True
        self.steady = False
        self.ends = collections.defaultdict(collections.Counter)
        self.budget_ms = {"first": LONG_MS, "later": LONG_MS}

    async def use(self, name):
        """Sends one request after the other."""
        machine = random.choice(self.fleet.machines)
        client = Client(machine.ip, self.fleet.port + 1)
        while self.running:
            left_ms = self.budget_ms[name]
            status, after_s = await self.send(client, machine, name, left_ms)
            # A refusal says when to come back; once, as the clients of the page.
            if status == 503 and after_s <= left_ms / 3000:
                await asyncio.sleep(after_s)
                left_ms -= int(after_s * 1000)
                await self.send(client, machine, name, left_ms)
            await asyncio.sleep(0.2)
        await client.close()

    async def send(self, client, machine, name, left_ms):
        """Sends a request; returns its status and when to return."""
        self.number += 1
        request, is_steady = f"q{self.number}", self.steady
        fields = [("x-request-id", request), ("x-deadline-remaining", left_ms)]
        after_s = 9.0
        try:
            status, told, _ = await client.request(
                "POST",
                f"/{name}/{self.number}",
                fields,
                b"x" * 100,
                left_ms / 1000 + 1.0,
            )
            after_s = float(told.get("retry-after", 9.0))
        except (TimeoutError, OSError, EOFError) as error:
            status = type(error).__name__
            await client.close()
        self.fleet.record.write(
            "sent",
            request,
            name,
            "at",
            machine.name,
            "budget",
            left_ms,
            "answered",
            status,
        )
        if is_steady:
            self.ends[name][status] += 1
        return status, after_s


async def run(fleet):
    """Plays the case; returns how the rule was broken, or empty."""

    async def put(version, *routes):
        document = config(version, [STATUS, *routes], SERVICES)
        await fleet.store.write(
            "keyed.op", "config", json.dumps(document).encode()
        )
        fleet.record.write("config", version, "acknowledged")

    users = Users(fleet)
    tasks = [asyncio.create_task(users.use("first")) for _ in range(4)]
    await put(4, FIRST, route("later", LONG_MS))
    await asyncio.sleep(2.5)
    tasks += [asyncio.create_task(users.use("later")) for _ in range(8)]
    await asyncio.sleep(3.0)
    backends = [m.backend for m in fleet.machines if m.service == "caja"]
    if TROUBLE:
        fleet.record.write("backends of caja are slow")
        for backend in backends:
            backend.work_s = WORK_S * SLOW_FACTOR
    await asyncio.sleep(SLOW_S - 2.0)
    await put(5, FIRST, route("later", SHORT_MS))
    users.budget_ms["later"] = SHORT_MS
    await asyncio.sleep(2.0)
    fleet.record.write("backends of caja are as fast as before")
    for backend in backends:
        backend.work_s = WORK_S
    # Longer than stabilityWindow and configApply together.
    await asyncio.sleep(6.0)
    users.steady = True
    fleet.record.write("steady state")
    await asyncio.sleep(STEADY_S)
    users.running = False
    await asyncio.gather(*tasks)
    rates = {}
    for name, ends in users.ends.items():
        rates[name] = ends[200] / max(1, ends.total())
        fleet.record.write("steady state:", name, dict(ends))
        print(name, dict(ends))
    if (
        users.ends["later"].total() >= 20
        and rates["later"] < rates["first"] / 4
    ):
        return (
            f"CONFIG: served {rates['later']:.2f} of the requests on the route "
            f"that was added later, {rates['first']:.2f} on the first"
        )
    return ""


play(pathlib.Path(__file__).parent, build, run)
