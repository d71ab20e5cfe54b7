"""A backend that has deregistered gets requests after a herd kill."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

DRAIN_S = 2.0
STABILITY_S = 3.0
BEAT_DELAY_S = 4.0
SERVES_ON_S = 14.0
LEFT_MS = 800
PAUSE_S = 0.02
PATHS = [
    harness.path(
        "estado",
        "/estado/",
        "idempotent",
        "vitrina",
        timeout="800ms",
        objective="200ms",
    )
]
MACHINES = [("a", "vitrina"), ("a", "vitrina"), ("a", "caja"), ("b", "caja")]


async def send(record, node) -> None:
    """Sends one read from a client of a machine."""
    request_id, data = harness.request("GET", "/estado/1", left_ms=LEFT_MS)
    record.write("sent", id=request_id, node=node.name)
    try:
        answer = await harness.exchange(
            node.outbound, data, timeout_s=LEFT_MS / 1000
        )
    except (OSError, TimeoutError) as error:
        record.write("no-answer", id=request_id, error=type(error).__name__)
        return
    status = answer.status if answer else "closed"
    record.write("answer", id=request_id, status=status)


async def load(record, nodes) -> None:
    """Sends reads at all the given machines until it is cancelled."""
    number = 0
    while True:
        asyncio.create_task(send(record, nodes[number % len(nodes)]))
        number += 1
        await asyncio.sleep(PAUSE_S)


async def leave(deployment, record) -> tuple[float, float]:
    """Lets the first backend leave; returns when that was acknowledged.

    Returns:
        Script seconds of the acknowledgement, and of the end of the window
        in which its node is not in touch.
    """
    backend = deployment.backends[0]
    backend.stop_beating()
    late_beat = backend.heartbeat()
    record.write("beat-sent", backend=backend.id, delayed_s=BEAT_DELAY_S)
    beat_sent_at = harness.now()
    status = await backend.post("deregister", b"{}")
    acknowledged_at = harness.now()
    record.write("deregister-answered", backend=backend.id, status=status)
    if status != 200:
        raise harness.CaseError("the backend's leaving was not acknowledged")
    touch_from = acknowledged_at
    if harness.TROUBLE:
        for node in deployment.nodes:
            node.signal(signal.SIGKILL)
        for node in deployment.nodes:
            await node.process.wait()
        await asyncio.sleep(0.1)
        for node in deployment.nodes:
            await node.start()
        touch_from = harness.now() + STABILITY_S
    await asyncio.sleep(beat_sent_at + BEAT_DELAY_S - harness.now())
    status = await backend.post("heartbeat", late_beat)
    record.write("late-beat-answered", backend=backend.id, status=status)
    return acknowledged_at, touch_from


async def case(record) -> bool:
    """Returns whether requests reached the backend that had left."""
    deployment = harness.Deployment(record, ["a", "b"])
    try:
        await deployment.start(
            harness.config(1, ["vitrina", "caja"], PATHS), MACHINES, work_s=0.06
        )
        clients = asyncio.create_task(load(record, deployment.nodes[2:]))
        await asyncio.sleep(2.0)
        acknowledged_at, touch_from = await leave(deployment, record)
        left_s = acknowledged_at + SERVES_ON_S - harness.now()
        await asyncio.sleep(left_s)
        clients.cancel()
        await asyncio.sleep(1.0)
    finally:
        await deployment.stop()
    due_at = max(acknowledged_at + DRAIN_S, touch_from)
    backend = deployment.backends[0]
    late = [at for at in backend.arrivals.values() if at > due_at]
    record.write(
        "counted",
        backend=backend.id,
        acknowledged_at=f"{acknowledged_at:.3f}",
        counted_from=f"{due_at:.3f}",
        requests_later=len(late),
        requests=sum(len(b.arrivals) for b in deployment.backends),
    )
    return bool(late)


harness.run_case(__file__, case)
