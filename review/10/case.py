"""Two crashes of backends while ordinary requests to one page run."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import stage as lib  # noqa: E402

PAGE = "/added/status"
DOWN_S = 4.5  # for_s of `srv_crash` in the site file
COUNTED_S = 12.0


def runs_page(stage: lib.Stage, backend: lib.Backend) -> bool:
    """Returns whether a request to the page has just begun to run."""
    since = stage.record.now() - backend.work_s / 2
    return any(r["at"] > since and r["path"] == PAGE for r in backend.runs)


async def case(stage: lib.Stage) -> list[str]:
    """Plays the case; returns how the rule was broken."""
    await stage.build(
        ("vitrina-1", "lima-ate", "vitrina"),
        ("vitrina-2", "lima-ate", "vitrina"),
        ("vitrina-3", "lima-ate", "vitrina"),
        ("vitrina-4", "lima-surco", "vitrina"),
    )
    first = {"name": "first", "pathPrefix": "/first/", "service": "vitrina"}
    added = {"name": "added", "pathPrefix": "/added/", "service": "vitrina"}
    stage.publish(12, [first])
    await stage.start()
    await stage.settle("/first/0")
    stage.publish(17, [first, added])
    await stage.settle("/first/0", "/added/0")

    answers = []

    async def client(machine, path: str, until: float) -> None:
        """Asks for the page again and again, or for one submission after the other."""
        while stage.record.now() < until:
            asked = path if path == PAGE else f"{path}{next(stage.numbers)}"
            answer = await machine.send("GET", asked)
            answers.append((path, answer))
            await asyncio.sleep(0.05)

    async def clients(seconds: float) -> None:
        until = stage.record.now() + seconds
        async with asyncio.TaskGroup() as group:
            for machine in stage.machines:
                for path in ("/first/", PAGE):
                    group.create_task(client(machine, path, until))

    for machine in stage.machines:
        machine.backend.work_s = 0.06
    for machine in stage.machines[:2]:
        async with asyncio.TaskGroup() as group:
            group.create_task(clients(DOWN_S + 3.0))
            await asyncio.sleep(1.0)
            if stage.trouble:
                while not runs_page(stage, machine.backend):
                    await asyncio.sleep(0.005)
                machine.backend.crash()
                await asyncio.sleep(DOWN_S)
                await machine.backend.start()
    # All backends are back, and all has been calm for the stabilityWindow.
    await asyncio.sleep(3.5)
    answers.clear()
    await clients(COUNTED_S)
    shares = {}
    for path in ("/first/", PAGE):
        got = [a.status for p, a in answers if p == path]
        shares[path] = got.count(200) / len(got)
        stage.record.add(
            "counted",
            path=path,
            requests=len(got),
            served=got.count(200),
            refused=got.count(503),
        )
    if shares[PAGE] < 0.25 * shares["/first/"]:
        return [f"CONFIG: share served by route: {shares}"]
    if not shares[PAGE]:
        return [f"no request is served: {shares}"]
    return []


lib.main(str(FOLDER), case)
