"""Refusals after a burst, at a steady load that the pool can run."""

from types import SimpleNamespace

import trio
from attrs import define, field

from hemlockstand.fleet.admission_control import AdmissionControl
from hemlockstand.fleet.load_publisher import BUSY_FRACTION
from hemlockstand.fleet.load_view import LOAD_FORMAT, LoadView, PoolLoad, WaitingWork
from hemlockstand.fleet.model import JobSpec, Resources, Step
from hemlockstand.fleet.settings import AdmissionSettings
from test.fleet_world import make_config

CORES = 16
STEP_SECONDS = 0.5
BURST_JOBS = 200
JOBS_PER_SECOND = 12


@define(eq=False)
class EmptyRows:
    """A store without jobs."""

    async def read(self, *arguments) -> SimpleNamespace:
        """Return an empty page."""
        return SimpleNamespace(rows=[])


@define(eq=False)
class Replay:
    """A pool that runs jobs of one core-second, and callers that come back."""

    admission: AdmissionControl = field(
        factory=lambda: AdmissionControl(EmptyRows(), AdmissionSettings())
    )
    sent: int = 0
    admitted: list[float] = field(factory=list)
    refused: list[float] = field(factory=list)
    returns: list[tuple[float, str]] = field(factory=list)

    async def submit(self, job: str) -> None:
        """Submit a job, and note when its caller comes back."""
        config = make_config()
        queue = config.queues[0]
        step = Step(1, Resources(1000, 1), 1000)
        spec = JobSpec(job, queue.name, queue.pool, "team", "", (step,))
        now = trio.current_time()
        with self.admission.follow(job):
            refusal = await self.admission.check(spec, queue, config)
            if refusal is None:
                self.admission.record(spec, queue, 200)
                self.admitted.append(now)
                return
        self.refused.append(now)
        self.returns.append((now + refusal.seconds, job))

    async def submit_due(self, newcomers: int) -> None:
        """Submit the jobs whose callers come back, and new ones."""
        now = trio.current_time()
        due = sorted(item for item in self.returns if item[0] <= now)
        self.returns = [item for item in self.returns if item[0] > now]
        for _, job in due:
            await self.submit(job)
        for _ in range(newcomers):
            self.sent += 1
            await self.submit(f"{self.sent:016x}")

    def publish(self, waiting: float, lacking: bool) -> None:
        """Set the view of the frontend."""
        now = trio.current_time()
        arrived = float(sum(now - at <= 2.0 for at in self.admitted))
        work = {"0": {"team": WaitingWork(waiting)}} if waiting else {}
        pools = {"pool": PoolLoad(CORES, 0.0, work, (), arrived)} if lacking else {}
        reader = self.admission.reader
        reader._view = LoadView(LOAD_FORMAT, int(now * 1000), pools)
        reader._read_at = now


async def test_refusals_end_with_the_shortage(autojump_clock, monkeypatch):
    """Guards against refusals at three quarters of a pool, long after a burst.

    The rest of the pool takes 50 s to serve the jobs of the burst.
    """
    monkeypatch.setattr("time.time", trio.current_time)
    replay = Replay()
    began_at = trio.current_time()
    waiting, lacking = 0.0, False
    while trio.current_time() < began_at + 150:
        is_burst = trio.current_time() < began_at + STEP_SECONDS
        before = len(replay.admitted)
        await replay.submit_due(
            BURST_JOBS if is_burst else int(JOBS_PER_SECOND * STEP_SECONDS)
        )
        waiting += len(replay.admitted) - before
        done = min(waiting, CORES * STEP_SECONDS)
        waiting -= done
        is_busy = done / STEP_SECONDS > BUSY_FRACTION * CORES
        lacking = waiting > CORES or (lacking and is_busy)
        await trio.sleep(STEP_SECONDS)
        replay.publish(waiting, lacking)
    assert replay.refused
    assert replay.refused[-1] < began_at + BURST_JOBS / (CORES - JOBS_PER_SECOND)
