"""A version that was rolled back gets requests again after the next order."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import harness

ROLLBACK_S = 5.0
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
BAD_ANSWERS = 50
FAIL_SHARE = 0.3
DURATION_S = 16.0
DRAINS_AFTER_S = 6.0
LEFT_MS = 800
PAUSE_S = 0.006
SERVICE = "vitrina"
PATHS = [
    harness.path(
        "estado",
        "/estado/",
        "idempotent",
        SERVICE,
        timeout="800ms",
        objective="250ms",
    )
]
MACHINES = [
    ("a", SERVICE),
    ("b", SERVICE),
    ("a", "caja"),
    ("b", "caja"),
]


async def send(record, node) -> None:
    """Sends one read from a client of a machine."""
    request_id, data = harness.request("GET", "/estado/1", left_ms=LEFT_MS)
    try:
        answer = await harness.exchange(
            node.outbound, data, timeout_s=LEFT_MS / 1000
        )
    except (OSError, TimeoutError) as error:
        record.write("no-answer", id=request_id, error=type(error).__name__)
        return
    status = answer.status if answer else "closed"
    record.write("answer", id=request_id, node=node.name, status=status)


async def load(record, nodes: list) -> None:
    """Sends reads at all machines that are ready until it is cancelled."""
    number = 0
    while True:
        asyncio.create_task(send(record, nodes[number % len(nodes)]))
        number += 1
        await asyncio.sleep(PAUSE_S)


async def order(
    deployment, version: str, ready: list, **backend
) -> list[harness.Backend]:
    """Orders a rollout, and starts the backends of the new version."""
    document = {
        "service": SERVICE,
        "targetVersion": version,
        "duration": f"{DURATION_S:.0f}s",
    }
    await deployment.store.put("keyed.op", f"rollout/{SERVICE}", document)
    deployment.record.write("ordered", version=version)
    started = []
    for zone in 2 * deployment.zones:
        node, server = await deployment.add_backend(
            zone, SERVICE, version=version, work_s=0.04, **backend
        )
        await node.start()
        started.append(server)
    for node in deployment.nodes[-len(started) :]:
        await node.wait_until_ready()
        ready.append(node)
    return started


async def wait_for_state(deployment, version: str, wanted: str) -> None:
    """Waits for a state of the rollout.

    Raises:
        CaseError: It did not come.
    """
    while harness.now() < 60.0:
        found = deployment.store.newest("keyed.status").get(
            f"rollout/{SERVICE}"
        )
        status = json.loads(found[1]) if found else {}
        if (status.get("targetVersion"), status.get("state")) == (
            version,
            wanted,
        ):
            deployment.record.write("status", version=version, state=wanted)
            return
        await asyncio.sleep(0.05)
    raise harness.CaseError(f"{version} is not {wanted}")


def judge(record, bad, service, ordered_at: float) -> bool:
    """Returns whether the bad version was exposed too much or too long."""
    budget_end = ordered_at + DURATION_S
    bad_arrivals = sorted(at for b in bad for at in b.arrivals.values())
    exposed = [at for at in bad_arrivals if ordered_at <= at <= budget_end]
    reached = [
        at
        for b in service
        for at in b.arrivals.values()
        if ordered_at <= at <= budget_end
    ]
    allowed = EXPOSURE_SHARE * len(reached) + EXPOSURE_SLACK
    failures = sorted(at for b in bad for at, code in b.answers if code == 500)
    late = []
    if len(failures) >= BAD_ANSWERS:
        due_at = failures[BAD_ANSWERS - 1] + ROLLBACK_S
        late = [at for at in bad_arrivals if at > due_at]
    record.write(
        "counted",
        requests_of_service=len(reached),
        at_bad_version=len(exposed),
        allowed=f"{allowed:.0f}",
        bad_answers=len(failures),
        later_than_rollback=len(late),
    )
    return len(exposed) > allowed or bool(late)


async def case(record) -> bool:
    """Returns whether the bad version got more than it may."""
    deployment = harness.Deployment(record, ["a", "b"])
    try:
        await deployment.start(
            harness.config(1, [SERVICE, "caja"], PATHS),
            MACHINES,
            work_s=0.07,
        )
        ready = list(deployment.nodes)
        clients = asyncio.create_task(load(record, ready))
        await asyncio.sleep(1.0)
        ordered_at = harness.now()
        bad = await order(deployment, "v2", ready, fail_share=FAIL_SHARE)
        await wait_for_state(deployment, "v2", "rolled_back")
        rolled_back_at = harness.now()
        if harness.TROUBLE:
            await asyncio.sleep(0.5)
            await order(deployment, "v3", ready)
        await asyncio.sleep(rolled_back_at + DRAINS_AFTER_S - harness.now())
        for server in bad:
            server.state = "draining"
            status = await server.post("heartbeat", server.heartbeat())
            record.write("draining", backend=server.id, answered=status)
        left_s = ordered_at + DURATION_S - harness.now()
        await asyncio.sleep(max(4.0, left_s))
        clients.cancel()
        await asyncio.sleep(1.0)
    finally:
        await deployment.stop()
    service = [b for b in deployment.backends if b.service == SERVICE]
    return judge(record, bad, service, ordered_at)


harness.run_case(__file__, case)
