"""A rack of a zone restarts just after the zone was cut off with the scheduler."""

import asyncio
import base64
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin_3 import (  # noqa: E402
    TROUBLE,
    Daemon,
    Executor,
    Server,
    Unanswered,
    make_config,
    run_case,
)

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"
DARK_SECONDS = 0.4  # from the crash of the rack until it is back
BEFORE_SECONDS = 0.2  # from the crash until the cut
CUT_SECONDS = 6.1
PLAY_SECONDS = 20.0
DAEMONS = 2
EXECUTORS = 8
IN_ZONE = 4  # executors of the zone that is cut off; the daemon d0 is in it
RACK = 2  # of these, the ones of a rack


def describe(task):
    """Return the seconds that a subtask takes, and whether it fails."""
    return None, False


class Link:
    """A daemon's way to a stand-in, silent while it is cut."""

    def __init__(self, handle):
        self.inner = handle
        self.cut = False
        self.server = Server(self.handle)

    async def handle(self, *call):
        """Pass a call on."""
        if self.cut:
            raise Unanswered
        answer = await self.inner(*call)
        if self.cut:
            raise Unanswered
        return answer


class ZonedExecutor(Executor):
    """An executor with a link from each daemon."""

    def __init__(self, *values):
        super().__init__(*values)
        self.links = [Link(self.handle) for _ in range(DAEMONS)]

    async def open(self):
        """Listen on all links, and report."""
        await self.listen()
        self.register()

    async def listen(self):
        """Listen on all links."""
        for link in self.links:
            await link.server.open()

    def crash(self):
        """Crash on all links."""
        super().crash()
        for link in self.links:
            link.server.close()


class StoreLink(Link):
    """A daemon's way to the store, with its own links to the executors."""

    def __init__(self, world, number):
        super().__init__(world.store.handle)
        self.world = world
        self.number = number

    async def handle(self, *call):
        """Answer with the addresses of the daemon's own links."""
        status, answer = await super().handle(*call)
        if "rows" in answer:
            answer = {**answer, "rows": [self.localize(row) for row in answer["rows"]]}
        return status, answer

    def localize(self, row):
        """Return a row with the address of the daemon's link."""
        if row["Table"] != "servers" or "Value" not in row:
            return row
        entry = json.loads(base64.b64decode(row["Value"]))
        for executor in self.world.executors:
            if executor.name == row["Key"]:
                entry["Address"] = executor.links[self.number].server.address
                entry["Zone"] = executor.zone
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        return {**row, "Value": value}


async def open_world(world):
    """Start the stand-ins and the daemons."""
    await world.machines.open()
    world.store.put("op", "config", make_config())
    for number in range(EXECUTORS):
        name = f"i-desk-{number}"
        executor = ZonedExecutor(name, "desk", world.store, world.record, describe)
        executor.zone = "zone-a" if number < IN_ZONE else "zone-b"
        executor.rack = f"r{number // RACK}"
        world.executors.append(executor)
        await executor.open()
    links = [StoreLink(world, number) for number in range(DAEMONS)]
    for number, link in enumerate(links):
        await link.server.open()
        daemon = Daemon(
            f"d{number}",
            world.folder.name,
            link.server.address,
            world.machines.address,
        )
        settings = daemon.settings.read_text()
        if number:
            settings = settings.replace("zone-a", "zone-b")
        else:
            # Daemons with more processor capacity lead first.
            settings = settings.replace("processor_share = 1", "processor_share = 2")
        daemon.settings.write_text(settings)
        daemon.start()
        world.daemons.append(daemon)
        if not await daemon.wait_ready():
            raise RuntimeError(f"{daemon.name} does not become ready")
        await wait_leader(world)
    return links


async def wait_leader(world):
    """Wait until the first daemon leads."""
    until = time.monotonic() + 10.0
    while world.find_leader() is not world.daemons[0]:
        if time.monotonic() > until:
            raise RuntimeError("the first daemon does not lead")
        await asyncio.sleep(0.1)


def set_cut(world, links, cut):
    """Cut the first zone off from the other and from the store, or heal the cut."""
    for number, link in enumerate(links):
        inside = number == 0
        link.cut = cut and inside
        for executor in world.executors:
            across = inside != (executor.zone == "zone-a")
            executor.links[number].cut = cut and across
    world.record.note("the zone is cut off" if cut else "the cut has ended")


async def main(world):
    """Play the case and return its exit code."""
    links = await open_world(world)
    await asyncio.sleep(3.0)
    step = {"Count": 1, "Cpu": 1000, "MemMb": 256, "LongRunning": True}
    body = {"TaskSpec": "text", "Steps": [step]}
    status, _ = await world.call("POST", JOB, body)
    await asyncio.sleep(3.0)
    rack = world.executors[:RACK]
    if status != 200 or not any(executor.at_work(TASK) for executor in rack):
        return 2
    since = time.monotonic()
    if TROUBLE:
        for executor in rack:
            executor.crash()
        await asyncio.sleep(BEFORE_SECONDS)
        since = time.monotonic()
        set_cut(world, links, True)
        await asyncio.sleep(DARK_SECONDS - BEFORE_SECONDS)
        for executor in rack:
            executor.start_life()
            await executor.listen()
            world.record.note(f"{executor.name} is back under its id")
    broken = None
    healed = not TROUBLE
    while time.monotonic() - since < PLAY_SECONDS:
        await asyncio.sleep(0.05)
        if not healed and time.monotonic() - since >= CUT_SECONDS:
            healed = True
            set_cut(world, links, False)
            for executor in rack:
                executor.register()
        runs = world.find_runs(TASK)
        if len(runs) > 1 and broken is None:
            broken = time.monotonic()
            names = [item.name for item in runs]
            world.record.note(f"TWICE: {TASK} runs on {names} at the same time")
        if broken is not None and len(runs) < 2:
            world.record.note(f"both ran for {time.monotonic() - broken:.1f} s")
            break
    return 0 if broken is None else 1


run_case(main, Path(__file__).parent, daemons=0)
