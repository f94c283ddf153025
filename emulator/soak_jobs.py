"""Callers of the soak: random jobs, and what their callers have been told."""

from collections.abc import Callable
from random import Random
from typing import Any

import httpx
import trio
from attrs import define, field

from emulator.fleet_executors import SubtaskBehaviour
from emulator.soak_platform import HOST_NAME, QUEUES, TENANTS
from hemlockstand.fleet.model import Resources

CALL_SECONDS = 4.0  # callers ask for an answer in 3 s
ATTEMPTS = 5
JOBS_PER_SECOND = 1.5
LASTING_SHARE = 0.2  # of the jobs that are submitted beside those that stay
LONG_SHARE = 0.3  # of the jobs that end by themselves
FINAL_STATES = ("completed", "failed", "cancelled")
LASTING = float("inf")


@define(eq=False)
class Job:
    """A job, and what its caller knows about it.

    ``refusals`` and ``open_attempts`` count the attempts to submit it that
    were refused, and those that may have been carried out.
    """

    id: str
    queue: str
    tenant: str
    steps: list[dict[str, Any]]
    behaviours: list[SubtaskBehaviour]
    refusals: int = 0
    open_attempts: int = 0
    accepted_at: float | None = None
    cancel_sent: bool = False
    cancelled_at: float | None = None

    @property
    def subtasks(self) -> list[str]:
        """The names of all subtasks."""
        return [
            f"{self.id}.0.{position}.{index}"
            for position, step in enumerate(self.steps)
            for index in range(step["Count"])
        ]

    @property
    def attempts(self) -> int:
        """The number of failed runs after which a subtask has failed."""
        return QUEUES[self.queue][2]

    @property
    def lasting(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(behaviour.lasting for behaviour in self.behaviours)

    @property
    def fails(self) -> bool:
        """Whether the job cannot be completed."""
        return any(behaviour.fails for behaviour in self.behaviours)

    @property
    def refused(self) -> bool:
        """Whether all attempts to submit the job were refused."""
        return self.refusals > 0 and self.open_attempts == 0 and not self.accepted

    @property
    def accepted(self) -> bool:
        """Whether an attempt to submit the job was acknowledged."""
        return self.accepted_at is not None

    def find_position(self, subtask: str) -> int:
        """Return the position of a subtask's step."""
        return int(subtask.split(".")[2])


def draw_job(random: Random, lasting: bool = False) -> Job:
    """Return a random job of one to three steps, or one that lasts."""
    name = f"{random.getrandbits(64):016x}"
    queue = random.choice(list(QUEUES))
    if lasting:
        size = Resources(500, 256)
        step = make_step(size, random.randint(1, 3), LongRunning=True)
        return Job(name, queue, "hinge", [step], [SubtaskBehaviour(LASTING, size=size)])
    size = Resources(random.choice((500, 1000, 2000)), 256)
    if random.random() < LONG_SHARE:
        return _draw_long_job(random, name, queue, size)
    seconds = random.uniform(0.1, 1.5)
    fails = random.random() < 0.04
    steps, behaviours = [], []
    for position in range(random.choice((1, 1, 2, 3))):
        values = {"EstimatedMs": int(seconds * 1000)}
        if position:
            values["After"] = [position - 1]
        steps.append(make_step(size, random.randint(1, 4), **values))
        behaviours.append(SubtaskBehaviour(seconds, fails=fails, size=size))
    return Job(name, queue, random.choice(list(TENANTS)), steps, behaviours)


def _draw_long_job(random: Random, name: str, queue: str, size: Resources) -> Job:
    """Return a job of one subtask, so that the tenants' maximum has room for it."""
    seconds = random.uniform(1.0, 12.0)
    step = make_step(size, 1, EstimatedMs=int(seconds * 1000))
    behaviour = SubtaskBehaviour(seconds, size=size)
    return Job(name, queue, random.choice(list(TENANTS)), [step], [behaviour])


def make_step(size: Resources, count: int, **values: Any) -> dict[str, Any]:
    """Return a step as callers submit it."""
    return {"Count": count, "Cpu": size.cpu_millis, "MemMb": size.memory_mb, **values}


@define(eq=False)
class Callers:
    """Submits, queries and cancels jobs at random daemons.

    ``report_answer`` is called with each answer about a job: the job, the
    method, the daemon, the status (0 for none) and the state.
    """

    hosts: list[str]
    client: httpx.AsyncClient
    random: Random
    report_answer: Callable[[Job, str, str, int, str], None]
    jobs: dict[str, Job] = field(factory=dict)

    def describe(self, subtask: str) -> SubtaskBehaviour:
        """Return the behaviour of a subtask."""
        job = self.jobs[subtask.split(".")[0]]
        return job.behaviours[job.find_position(subtask)]

    async def run(self, nursery: trio.Nursery, lasting_jobs: int) -> None:
        """Submit jobs until cancelled, the lasting ones first."""
        for _ in range(lasting_jobs):
            nursery.start_soon(self._accompany, Random(self.random.random()), True)
        while True:
            nursery.start_soon(self._accompany, Random(self.random.random()), False)
            await trio.sleep(self.random.expovariate(JOBS_PER_SECOND))

    async def _accompany(self, random: Random, stays: bool) -> None:
        """Act as the caller of one job, which is not cancelled if it stays."""
        job = draw_job(random, stays or random.random() < LASTING_SHARE)
        self.jobs[job.id] = job
        await self._submit(job, random)
        await trio.sleep(random.uniform(0.1, 4))
        if random.random() < 0.1:
            await self._submit(job, random)
        cancels = random.random() < 0.15 or job.lasting
        if cancels and job.accepted and not stays:
            await self._cancel(job, random)
        for _ in range(3):
            if job.accepted:
                await self.query(job, random.choice(self.hosts))
            await trio.sleep(random.uniform(0.5, 3))

    async def _submit(self, job: Job, random: Random) -> None:
        """Submit a job until an answer is final; give up after some attempts."""
        body = {"TaskSpec": f"text of {job.id}", "Steps": job.steps}
        for _ in range(ATTEMPTS):
            host = random.choice(self.hosts)
            # Until it is answered, the attempt may have been carried out.
            job.open_attempts += 1
            status, _ = await self._call(job, "POST", host, json=body)
            if status == 200:
                job.accepted_at = job.accepted_at or trio.current_time()
            if status in (429, 503):
                job.open_attempts -= 1
                job.refusals += 1
            self.report_answer(job, "POST", host, status, "")
            # Some callers give up when they are refused.
            if status == 200 or (status == 503 and random.random() < 0.4):
                return
            await trio.sleep(random.uniform(0.2, 1.0))

    async def _cancel(self, job: Job, random: Random) -> None:
        job.cancel_sent = True
        while True:
            host = random.choice(self.hosts)
            status, state = await self._call(job, "DELETE", host)
            if status == 200 and state == "cancelled":
                job.cancelled_at = trio.current_time()
            self.report_answer(job, "DELETE", host, status, state)
            if status in (200, 410):
                return
            await trio.sleep(0.5)

    async def query(self, job: Job, host: str) -> tuple[int, str]:
        """Return the status and the state that a daemon answers for a job."""
        status, state = await self._call(job, "GET", host)
        self.report_answer(job, "GET", host, status, state)
        return status, state

    async def _call(
        self, job: Job, method: str, host: str, **values: Any
    ) -> tuple[int, str]:
        url = f"http://{host}:8100/{job.queue}/{job.id}"
        headers = {
            "Host": HOST_NAME,
            "Authorization": f"Bearer key-of-{job.tenant}",
            "Deadline-Ms": "3000",
        }
        try:
            reply = await self.client.request(method, url, headers=headers, **values)
        except httpx.HTTPError:
            return 0, ""
        if reply.status_code != 200:
            return reply.status_code, ""
        return 200, reply.json().get("State", "")
