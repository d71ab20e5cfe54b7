"""A client that nobody controls sends 120 requests whose paths hold many slashes.

Each head stays within `maxHeaderBytes`. Ordinary clients of the same machine
send requests meanwhile, with more time than the timeout of their route.
"""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))

from fleet import HOST, TROUBLE, Client, Fleet, config, play, time  # noqa: E402

TIMEOUT_S = 0.4
SLACK_S = 0.5
PATIENCE_S = 1.2
CONNECTIONS, REQUESTS = 30, 4
SLASHES = 15_900
USERS = 20


def build(folder):
    fleet = Fleet(folder, ("zone-1", "zone-2"))
    for zone in fleet.zones:
        fleet.add("vitrina", zone)
        fleet.add("caja", zone)
    routes = [
        {"name": "r-status", "pathPrefix": "/status/", "service": "vitrina"},
        {"name": "r-pay", "pathPrefix": "/pay/", "service": "caja",
         "routeType": "non_idempotent", "timeout": "400ms"},
    ]
    return fleet, config(3, routes, ["vitrina", "caja"])


async def run(fleet):
    machine = fleet.machines[0]
    path = "/" * SLASHES if TROUBLE else "/x" * 4
    head = (f"GET /x{path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: odd\r\n"
            "x-deadline-remaining: 800\r\n\r\n").encode()
    assert len(head) <= 16_384

    async def press(reader, writer):
        writer.write(head * REQUESTS)
        try:
            while await asyncio.wait_for(reader.read(65_536), 15):
                pass
        except (OSError, asyncio.TimeoutError):
            pass
        writer.close()

    late, answered, lasting = [], collections.Counter(), []
    running = True

    async def use(user):
        client, number = Client(machine.ip, fleet.port + 1), 0
        while running:
            number += 1
            request, sent_at = f"u{user}-{number}", time.monotonic()
            fields = [("x-request-id", request), ("x-deadline-remaining", 1200)]
            try:
                status, _, _ = await client.request(
                    "POST", f"/pay/{request}", fields, b"x" * 100, PATIENCE_S)
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                status = type(error).__name__
                await client.close()
            took_s = time.monotonic() - sent_at
            answered[status] += 1
            if took_s > TIMEOUT_S:
                lasting.append(request)
            if took_s > TIMEOUT_S + SLACK_S:
                late.append(request)
            fleet.record.write("sent", request, "answered", status,
                               f"after {took_s:.3f} s")
            await asyncio.sleep(0.1)
        await client.close()

    users = [asyncio.create_task(use(user)) for user in range(USERS)]
    await asyncio.sleep(2.0)
    opened = [await asyncio.open_connection(machine.ip, fleet.port + 1)
              for _ in range(CONNECTIONS)]
    fleet.record.write("odd requests:", CONNECTIONS * REQUESTS, "of", len(head),
                       "bytes")
    presses = [asyncio.create_task(press(*pair)) for pair in opened]
    await asyncio.sleep(10.0)
    running = False
    await asyncio.gather(*users, *presses)
    fleet.record.write("answers", dict(answered), "lasting", len(lasting),
                       "without an answer 0.5 s after the timeout", len(late))
    print(dict(answered), "lasting", len(lasting), "late", len(late))
    if len(late) >= 8 and len(late) > len(lasting) / 4:
        return (f"CONFIG: {len(late)} of {len(lasting)} requests that lasted longer "
                "than their route's timeout had no final answer 0.5 s after it")
    return ""


play(pathlib.Path(__file__).parent, build, run)
