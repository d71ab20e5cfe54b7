"""A client of one tenant sends fields of its own with its requests.

The field `fulmarrudder-peer` is one by which nodes tell each other of requests;
its token is the same in every deployment.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))

from fleet import TROUBLE, Client, Fleet, config, play  # noqa: E402

KEYS = {"notary": "key-of-the-notary", "parish": "key-of-the-parish"}
REQUESTS = 20


def build(folder):
    fleet = Fleet(folder, ("zone-1", "zone-2"))
    for zone in fleet.zones:
        fleet.add("issuance", zone)
        fleet.add("archive", zone)
    routes = [
        {"name": "r-amend", "pathPrefix": "/amend/", "service": "issuance",
         "routeType": "non_idempotent", "timeout": "1348ms"},
        {"name": "r-search", "pathPrefix": "/search/", "service": "archive"},
    ]
    tenants = [{"name": name, "apiKeys": [key], "priority": 1,
                "ratePerS": 0, "burstSize": 0} for name, key in KEYS.items()]
    return fleet, config(3, routes, ["issuance", "archive"], tenants=tenants)


async def run(fleet):
    machine = fleet.machines[0]
    client = Client(machine.ip, fleet.port + 1)
    for number in range(REQUESTS):
        request = f"q{number}"
        fields = [
            ("x-request-id", request),
            ("x-deadline-remaining", 1348),
            ("x-api-key", KEYS["notary"]),
            # What the system sets regardless of what was sent.
            ("x-tenant-id", "parish"),
            ("x-caller-service", "archive"),
        ]
        if TROUBLE:
            fields.append(("fulmarrudder-peer",
                           "fr1 1348 0 0 1 - -issuance -v1 -r-amend 0"))
        try:
            status, _, _ = await client.request(
                "POST", f"/amend/{number}", fields, b"x" * 100)
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            status = type(error).__name__
            await client.close()
        fleet.record.write("sent", request, "with the key of notary at",
                           machine.name, "answered", status)
    await client.close()
    runs = [run for m in fleet.machines for run in m.backend.runs]
    foreign = [run for run in runs if run[4] != "notary"]
    unasked = [run for run in runs if run[3] != "issuance"]
    fleet.record.write("ran", len(runs), "for another tenant", len(foreign),
                       "for another caller", len(unasked))
    print(len(runs), "ran,", len(foreign), "for another tenant,",
          len(unasked), "for another caller")
    if foreign or unasked:
        return (f"UNASKED: {len(foreign)} of {len(runs)} requests ran for a tenant "
                f"that does not hold the client's key, {len(unasked)} for a "
                "service that is not that of their machine")
    return ""


play(pathlib.Path(__file__).parent, build, run)
