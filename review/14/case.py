"""Two backends crash, one after the other, while a page is asked for.

The page has one path, as a status page has. Its route was added later than the
first one, which leads to the same service and whose paths differ.
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
)

WORK_S = 0.1
DOWN_S = 2.0
STEADY_S = 15.0
SERVICES = ["vitrina"]


def route(name):
    """Returns a route."""
    return {
        "name": f"r-{name}",
        "pathPrefix": f"/{name}/",
        "service": "vitrina",
        "timeout": "800ms",
        "targetLatency": "200ms",
    }


def build(folder):
    """Returns the machines and the first configuration."""
    fleet = Fleet(folder, ("zone-1", "zone-2"))
    for zone in (*fleet.zones, *fleet.zones):
        fleet.add("vitrina", zone, work_s=WORK_S)
    return fleet, config(3, [route("first")], SERVICES)


async def crash(fleet, machine):
    """Ends a backend without notice; another boot of it comes back."""
    backend = machine.backend
    fleet.record.write("backend crashes", backend.id)
    machine.beats.cancel()
    await backend.stop()
    backend.running = 0
    await asyncio.sleep(DOWN_S)
    boot = type(backend)(
        fleet.record,
        machine.name,
        backend.service,
        backend.version,
        work_s=WORK_S,
    )
    boot.id = f"{backend.id}-{boot.born}"
    boot.address = backend.address
    machine.backend = boot
    await boot.listen(machine.ip, fleet.port + 4)
    machine.beats = asyncio.create_task(machine.keep_beating())
    fleet.record.write("backend is back", boot.id)


async def run(fleet):
    """Plays the case; returns how the rule was broken, or empty."""
    ends = collections.defaultdict(collections.Counter)
    state = {"running": True, "steady": False, "number": 0}

    async def use(name, number):
        machine = fleet.machines[number % len(fleet.machines)]
        client = Client(machine.ip, fleet.port + 1)
        while state["running"]:
            state["number"] += 1
            request, steady = f"q{state['number']}", state["steady"]
            path = "/later/status" if name == "later" else f"/first/{request}"
            fields = [("x-request-id", request), ("x-deadline-remaining", 800)]
            try:
                status, _, _ = await client.request(
                    "GET", path, fields, b"", 1.5
                )
            except (TimeoutError, OSError, EOFError) as error:
                status = type(error).__name__
                await client.close()
            fleet.record.write(
                "sent", request, path, "at", machine.name, "answered", status
            )
            if steady:
                ends[name][status] += 1
            await asyncio.sleep(0.1)
        await client.close()

    tasks = [asyncio.create_task(use("first", i)) for i in range(8)]
    document = config(4, [route("first"), route("later")], SERVICES)
    await fleet.store.write("keyed.op", "config", json.dumps(document).encode())
    await asyncio.sleep(2.5)
    tasks += [asyncio.create_task(use("later", i)) for i in range(24)]
    await asyncio.sleep(3.0)
    for machine in fleet.machines[:2]:
        if TROUBLE:
            await crash(fleet, machine)
        await asyncio.sleep(4.0)
    # Longer than stabilityWindow; the backends are warm again.
    await asyncio.sleep(4.0)
    state["steady"] = True
    fleet.record.write("steady state")
    await asyncio.sleep(STEADY_S)
    state["running"] = False
    await asyncio.gather(*tasks)
    rates = {}
    for name, found in ends.items():
        rates[name] = found[200] / max(1, found.total())
        fleet.record.write("steady state:", name, dict(found))
        print(name, dict(found))
    if ends["later"].total() >= 20 and rates["later"] < rates["first"] / 4:
        return (
            f"CONFIG: served {rates['later']:.2f} of the requests on the route "
            f"that was added later, {rates['first']:.2f} on the first"
        )
    return ""


play(pathlib.Path(__file__).parent, build, run)
