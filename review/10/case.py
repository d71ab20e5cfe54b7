"""A backend leaves while the store is down, and all daemons are killed then."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import stage as lib  # noqa: E402

DRAIN_S = 2.0
STABILITY_S = 3.0
# A heartbeat may arrive seconds late.
LATE_S = 5.0
# A backend that leaves serves on for `drain` and at times many seconds.
SERVES_ON_S = 16.0


async def case(stage: lib.Stage) -> list[str]:
    """Plays the case; returns how the rule was broken."""
    await stage.build(
        ("vitrina-1", "lima-ate", "vitrina"),
        ("vitrina-2", "lima-surco", "vitrina"),
        ("caja-1", "lima-ate", "caja"),
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
    leaving = stage.machines[0].backend
    if stage.trouble:
        stage.store.fail("silent")
    await asyncio.sleep(0.5)
    # It never says that it is draining. The last heartbeat is on its way.
    leaving.beating.cancel()
    late = leaving.heartbeat()
    began = stage.record.now()
    acked = await leaving.tell("deregister", {"born": leaving.born})
    ack_at = stage.record.add("deregistered", id=leaving.id, acked=acked)
    if not acked:
        return []
    if stage.trouble:
        for machine in stage.machines:
            await machine.kill()
        await asyncio.sleep(lib.RESTART_DELAY_S)
        for machine in stage.machines:
            await machine.start()
        await asyncio.sleep(1.5)
        stage.store.fail("up")
    await asyncio.sleep(max(0.0, began + LATE_S - stage.record.now()))
    stage.record.add("late-heartbeat", id=leaving.id)
    await leaving.tell("heartbeat", late)
    # From here on all machines are in touch.
    await asyncio.sleep(STABILITY_S + 0.5)
    touch_at = stage.record.add("in-touch")
    faults = []
    while stage.record.now() < ack_at + SERVES_ON_S:
        for machine in stage.machines:
            await machine.send("GET", f"/status/{next(stage.numbers)}")
        await asyncio.sleep(0.1)
    for run in leaving.runs:
        if run["at"] > max(touch_at, ack_at + DRAIN_S):
            faults.append(
                f"DRAIN: {run['id']} reached {leaving.id} {run['at'] - ack_at:.1f} s"
                " after the ack that it is gone"
            )
    leaving.exit()
    return faults


lib.main(str(FOLDER), case)
