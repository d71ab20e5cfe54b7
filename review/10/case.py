"""A backend breaks off long answers; other requests wait behind them."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import stage as lib  # noqa: E402

PHOTO = b"photo." * 30_000
# A photo arrives in some steps.
STEP_BYTES = 25_000
STEP_S = 0.02
CLIENTS = 10
# Requests that a client sends before the first answer.
PIPELINED = 4
# `garble` has a share of 0.3 to 0.7 of a service's servers in the site file, and x of 0.02
# to 0.4 of their answers: here one server of two, and 0.03 of its answers.
BROKEN_PART = 0.03
LASTS_S = 6.0
BUDGET_S = 2.0


class Photos(lib.Backend):
    """A backend with long answers, some of which it breaks off."""

    is_faulty = False
    due = 0.0

    async def _answer(
        self, request: str, path: str, digest: str, writer
    ) -> None:
        if not path.startswith("/photos/"):
            await super()._answer(request, path, digest, writer)
            return
        fields = {"X-Request-Id": request, "X-Response-Seal": digest[:24]}
        data = lib.encode("HTTP/1.1 200 OK", fields, PHOTO)
        self.due += BROKEN_PART * self.is_faulty
        is_broken_off = self.due >= 1.0
        if is_broken_off:
            self.due -= 1.0
            self.stage.record.add(
                "breaks-off", backend=self.id, request=request
            )
        for start in range(0, len(data), STEP_BYTES):
            if is_broken_off and start > len(data) / 2:
                raise ConnectionResetError
            writer.write(data[start : start + STEP_BYTES])
            await writer.drain()
            await asyncio.sleep(STEP_S)


async def client(stage: lib.Stage, machine, until: float, lost: list) -> None:
    """Reads a photo and some lists after the other, pipelined, on one connection."""
    while stage.record.now() < until:
        try:
            reader, writer = await asyncio.open_connection(
                machine.ip, stage.port("outbound"), limit=1 << 20
            )
        except OSError:
            continue
        try:
            while stage.record.now() < until:
                if not await batch(stage, reader, writer, lost):
                    break
        finally:
            writer.close()


async def batch(stage: lib.Stage, reader, writer, lost: list) -> bool:
    """Sends some requests at once; returns whether all were answered."""
    requests = [f"{next(stage.numbers):016x}" for _ in range(PIPELINED)]
    began = stage.record.now()
    for number, request in enumerate(requests):
        path = f"/list/{number}" if number else "/photos/1"
        stage.record.add("sent", request=request, path=path)
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: esfera.example\r\n"
            f"X-Request-Id: {request}\r\n"
            f"X-Deadline-Remaining: {BUDGET_S * 1000:.0f}\r\n\r\n".encode()
        )
    answered = 0
    try:
        async with asyncio.timeout(BUDGET_S):
            for request in requests:
                head = await lib.read_head(reader)
                if head is None:
                    break
                await lib.read_body(reader, head[1])
                answered += 1
                status = head[0].split(" ")[1]
                stage.record.add("answered", request=request, status=status)
    except (OSError, asyncio.IncompleteReadError):
        pass
    except TimeoutError:
        # The client has closed the connection, and not the daemon.
        return False
    if answered == len(requests):
        return True
    # The first one without an answer may be the one that was broken off.
    for request in requests[answered + 1 :]:
        at = stage.record.add("closed-without-answer", request=request)
        lost.append((request, at - began))
    return False


async def case(stage: lib.Stage) -> list[str]:
    """Plays the case; returns how the rule was broken."""
    await stage.build(
        ("archivo-1", "lima-ate", "archivo"),
        ("archivo-2", "lima-ate", "archivo"),
        ("vitrina-1", "lima-ate", "vitrina"),
        ("vitrina-2", "lima-ate", "vitrina"),
    )
    for machine in stage.machines:
        machine.backend = Photos(stage, machine, machine.service)
    stage.publish(
        12,
        [
            {"name": "photos", "pathPrefix": "/photos/", "service": "archivo"},
            {"name": "list", "pathPrefix": "/list/", "service": "vitrina"},
        ],
    )
    await stage.start()
    await stage.settle("/list/0")
    await asyncio.sleep(3.0)
    stage.machines[0].backend.is_faulty = stage.trouble
    fronts = stage.machines[2:]
    lost: list = []
    until = stage.record.now() + LASTS_S
    async with asyncio.TaskGroup() as group:
        for number in range(CLIENTS):
            machine = fronts[number % 2]
            group.create_task(client(stage, machine, until, lost))
    at_sound = {run["id"] for m in fronts for run in m.backend.runs}
    counted = [entry for entry in lost if entry[0] in at_sound]
    stage.record.add(
        "counted", closed=len(lost), of_sound_backends=len(counted)
    )
    if len(counted) <= 3:
        return []
    return [
        f"LOST: {request} was passed on to a sound backend, and its connection"
        f" closed without an answer after {seconds:.2f} s"
        for request, seconds in counted
    ]


lib.main(str(FOLDER), case)
