"""Heartbeats of another writer come to the daemons after all were killed."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import stage as lib  # noqa: E402

RECOVERY_S = 15.0
COUNTED_S = 10.0


async def stray_heartbeat(stage: lib.Stage, machine) -> None:
    """Sends one heartbeat of a writer whose service no configuration names."""
    heartbeat = machine.backend.heartbeat()
    heartbeat["born"] = int(stage.wall() * 1000)
    # Nothing listens there.
    heartbeat["address"] = f"{machine.ip}:{stage.port('range') + 9}"
    heartbeat["info"]["service"] = "another"
    heartbeat["status"]["sequence"] = 1
    answer = await stage.call(
        machine.ip,
        stage.port("control"),
        "POST",
        f"/-/instances/i-another-{machine.name}/heartbeat",
        {"Content-Type": "application/json"},
        json.dumps(heartbeat).encode(),
    )
    stage.record.add(
        "stray-heartbeat", machine=machine.name, status=answer and answer[0]
    )


async def share_served(stage: lib.Stage, seconds: float) -> float:
    """Returns the share of requests that are served, at all machines."""
    statuses = []
    until = stage.record.now() + seconds
    while stage.record.now() < until:
        for machine in stage.machines:
            for path in ("/status/", "/pay/"):
                number = next(stage.numbers)
                answer = await machine.send("GET", f"{path}{number}")
                statuses.append(answer.status)
        await asyncio.sleep(0.05)
    share = statuses.count(200) / len(statuses)
    stage.record.add("counted", requests=len(statuses), served=f"{share:.3f}")
    return share


async def case(stage: lib.Stage) -> list[str]:
    """Plays the case; returns how the rule was broken."""
    await stage.build(
        ("vitrina-1", "lima-ate", "vitrina"),
        ("vitrina-2", "lima-surco", "vitrina"),
        ("caja-1", "lima-ate", "caja"),
        ("caja-2", "lima-surco", "caja"),
    )
    stage.publish(
        12,
        [
            {"name": "status", "pathPrefix": "/status/", "service": "vitrina"},
            {"name": "pay", "pathPrefix": "/pay/", "service": "caja"},
        ],
    )
    await stage.start()
    await stage.settle("/status/0", "/pay/0")
    before = await share_served(stage, 5.0)
    for machine in stage.machines:
        await machine.kill()
    await asyncio.sleep(1.0)
    for machine in stage.machines:
        await machine.start()
    back_at = stage.record.add("machines-are-back")
    await stage.wait("all daemons are ready", stage.all_ready, 10.0)
    await asyncio.sleep(back_at + 3.0 - stage.record.now())
    if stage.trouble:
        for machine in stage.machines:
            await stray_heartbeat(stage, machine)
    await asyncio.sleep(back_at + RECOVERY_S - stage.record.now())
    after = await share_served(stage, COUNTED_S)
    if before >= 0.25 > after:
        return [f"RECOVER: share served before {before:.3f}, after {after:.3f}"]
    return []


lib.main(str(FOLDER), case)
