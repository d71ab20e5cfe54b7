"""One heartbeat of another writer, which lacks a field, comes to each of two machines.

Their service has a route that was added later than the first one.
"""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))

from fleet import TROUBLE, Client, Fleet, config, json, play, time  # noqa: E402

STEADY_S = 20.0
SERVICES = ["vitrina", "caja"]
ROUTES = [
    {"name": "r-first", "pathPrefix": "/first/", "service": "vitrina"},
    {"name": "r-later", "pathPrefix": "/later/", "service": "caja"},
]


def build(folder):
    """Returns the machines and the first configuration."""
    fleet = Fleet(folder, ("zone-1", "zone-2"))
    for zone in fleet.zones:
        for service in SERVICES:
            fleet.add(service, zone)
    return fleet, config(3, ROUTES[:1], SERVICES)


def stray(machine):
    """Returns a heartbeat that is none of the machine's backend."""
    document = machine.backend.heartbeat()
    document["born"] = int(time.time() * 1000)
    # What the pages list, but for `coldLeft`.
    document["status"] = {"state": "draining", "sequence": 1}
    return document


async def run(fleet):
    """Plays the case; returns how the rule was broken, or empty."""
    ends = collections.defaultdict(collections.Counter)
    state = {"running": True, "steady": False, "number": 0}

    async def use(name, machine):
        client = Client(machine.ip, fleet.port + 1)
        while state["running"]:
            state["number"] += 1
            request, steady = f"q{state['number']}", state["steady"]
            fields = [("x-request-id", request), ("x-deadline-remaining", 800)]
            try:
                status, _, _ = await client.request(
                    "GET", f"/{name}/{request}", fields, b"", 1.5
                )
            except (TimeoutError, OSError, EOFError) as error:
                status = type(error).__name__
                await client.close()
            fleet.record.write(
                "sent", request, name, "at", machine.name, "answered", status
            )
            if steady:
                ends[name][status] += 1
            await asyncio.sleep(0.1)
        await client.close()

    document = config(4, ROUTES, SERVICES)
    await fleet.store.write("keyed.op", "config", json.dumps(document).encode())
    await asyncio.sleep(2.5)
    tasks = [
        asyncio.create_task(use(name, machine))
        for machine in fleet.machines
        for name in ("first", "later")
    ]
    await asyncio.sleep(3.0)
    for number, machine in enumerate(fleet.machines):
        if TROUBLE and machine.service == "caja":
            document = stray(machine)
            status, _, _ = await machine.call(
                3, "POST", f"/-/instances/i-stray-{number}/heartbeat", document
            )
            fleet.record.write(
                "stray heartbeat to",
                machine.name,
                json.dumps(document),
                "answered",
                status,
            )
    # Longer than any time after which a silent backend counts as absent.
    await asyncio.sleep(25.0)
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
