"""Admission of submissions at one frontend.

Each frontend decides alone, by the load that the scheduler publishes, what it
has let in since, and whom it has told to come back. All three are about the same
pool that the others fill as well, so its own part is scaled to that of all.
"""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from math import ceil

import trio
from attrs import define, evolve, field, frozen
from loguru import logger

from hemlockstand.errors import PlatformUnavailable
from hemlockstand.fleet.load_reader import LoadReader
from hemlockstand.fleet.load_view import LoadView, PoolLoad, QueueFactor
from hemlockstand.fleet.metrics import REFUSED
from hemlockstand.fleet.model import FleetConfig, JobSpec, Queue
from hemlockstand.fleet.open_submissions import OpenSubmissions
from hemlockstand.fleet.policy.admission import (
    Admitted,
    Backlog,
    Decision,
    Postponed,
    Unservable,
    decide_on_bounds,
    decide_on_time,
    find_unservable,
    measure_work,
)
from hemlockstand.fleet.return_book import EARLY_SECONDS, Line, ReturnBook
from hemlockstand.fleet.settings import AdmissionSettings
from hemlockstand.fleet.storage import JobRows, read_job
from hemlockstand.platform.rows import RowStore

log = logger.bind(module=__name__)


@frozen
class Refusal:
    """Why a submission is not stored; ``seconds`` is when to come back."""

    status: int
    detail: str
    seconds: int = 1


@define(eq=False)
class AdmissionControl:
    """Decides which submissions are stored."""

    rows: RowStore
    settings: AdmissionSettings
    book: ReturnBook = field(factory=ReturnBook)
    submissions: OpenSubmissions = field(factory=OpenSubmissions)
    reader: LoadReader = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.reader = LoadReader(self.rows)

    async def run(self) -> None:
        """Keep the copy of the load recent while submissions come."""
        await self.reader.run()

    @contextmanager
    def follow(self, job: str) -> Iterator[None]:
        """Follow a request that submits a job, from its check to its answer.

        A request that is cancelled during its write leaves the job unsure.
        """
        self.submissions.open(job)
        try:
            yield
        finally:
            if self.submissions.close(job):
                self.book.add_unsure(job, trio.current_time())

    async def check(
        self, spec: JobSpec, queue: Queue, config: FleetConfig
    ) -> Refusal | None:
        """Return why a submission is refused, or ``None`` if it is to be stored.

        Nothing is refused whose job may be stored: the first attempt may have
        been accepted without an answer. Such a job is stored again under the
        condition that it does not exist, which tells.
        """
        refusal = await self._find_refusal(spec, queue, config)
        if refusal is None:
            self.submissions.begin_write(spec.id)
        return refusal

    async def _find_refusal(
        self, spec: JobSpec, queue: Queue, config: FleetConfig
    ) -> Refusal | None:
        if self.settings.by_load:
            self.reader.request()
        now = trio.current_time()
        self.book.advance(now)
        view = self.reader.find_view()
        decision = self._decide(spec, queue, config, view, now)
        if isinstance(decision, Admitted) or self._may_be_stored(spec.id):
            return None
        try:
            is_stored = await self._is_stored(spec.id)
        except PlatformUnavailable as error:
            log.info("job not read from the store", job=spec.id, detail=str(error))
            if self._may_be_stored(spec.id):
                return None
            return Refusal(503, "the store does not answer")
        # Another request may have begun to store the job during the read.
        if is_stored or self._may_be_stored(spec.id):
            self.book.remove(spec.id, trio.current_time())
            return None
        # Stored jobs and failed reads take no turn, so the time is chosen now.
        seconds = self._tell(spec, queue, decision, trio.current_time())
        self._log_refusal(spec, queue, decision, seconds, view)
        if isinstance(decision, Unservable):
            return Refusal(400, decision.detail)
        return Refusal(429, decision.detail, seconds)

    def record(self, spec: JobSpec, queue: Queue, status: int) -> None:
        """Note the outcome of the write of a job that was let in."""
        now = trio.current_time()
        if status == 504:
            self.book.add_unsure(spec.id, now)
        else:
            self.submissions.end_write(spec.id)
        if status in (200, 504):
            self.book.remove(spec.id, now)
        if status in (200, 504) and not spec.timed:
            self.book.add_admitted(find_line(spec, queue), measure_work(spec), now)

    def _may_be_stored(self, job: str) -> bool:
        """Return whether a write of a job at this frontend may be applied."""
        return self.submissions.may_be_stored(job) or self.book.is_unsure(
            job, trio.current_time()
        )

    def _decide(
        self,
        spec: JobSpec,
        queue: Queue,
        config: FleetConfig,
        view: LoadView | None,
        now: float,
    ) -> Decision:
        unservable = find_unservable(spec, config.tenants.get(spec.tenant), view)
        if unservable is not None:
            return unservable
        if view is None:
            return Admitted()
        due_at = self.book.find_due(spec.id)
        if due_at is not None and now >= due_at - EARLY_SECONDS:
            return Admitted()
        bounds = decide_on_bounds(
            spec,
            view.queued,
            self.settings.max_tenant_jobs,
            self.settings.max_jobs,
        )
        pool = view.pools.get(queue.pool)
        if not isinstance(bounds, Admitted) or pool is None:
            return bounds
        if not self.settings.by_load:
            return Admitted()
        if due_at is not None:
            detail = "the job was told to come back later"
            return Postponed("early", detail, due_at - now)
        weights = {name: tenant.weight for name, tenant in config.tenants.items()}
        factor = view.factors.get(queue.name, QueueFactor(1.0))
        backlog = self._measure_backlog(spec, queue, pool, view, now)
        tenant = config.tenants.get(spec.tenant)
        if tenant is not None and tenant.maximum.cpu_millis:
            own_cores = tenant.maximum.cpu_millis / 1000
            backlog = evolve(backlog, own_cores=own_cores)
        return decide_on_time(spec, queue, backlog, weights, factor)

    def _measure_backlog(
        self, spec: JobSpec, queue: Queue, pool: PoolLoad, view: LoadView, now: float
    ) -> Backlog:
        """Return the work ahead of a job, by tenant.

        What a frontend has let in is scaled only while that is measured, and the
        turns of those who come back by what was measured last.
        """
        line = name, priority, own = find_line(spec, queue)
        age = max(0.0, time.time() - view.made_ms / 1000)
        factor = self.book.find_factor(
            name, pool.arrived, view.made_ms, now - age, measure_work(spec)
        )
        scale = factor.value if factor.measured else 1.0
        timely: dict[str, float] = {}
        late: dict[str, float] = {}
        for level, tenants in pool.waiting.items():
            for tenant, work in tenants.items() if int(level) <= priority else ():
                timely[tenant] = timely.get(tenant, 0.0) + work.timely
                late[tenant] = late.get(tenant, 0.0) + work.late
        # What the pool may have done since the view was made.
        cores = pool.cores + pool.room
        left = max(0.0, 1.0 - age * cores / (sum(timely.values()) or 1.0))
        timely = {tenant: work * left for tenant, work in timely.items()}
        told: dict[str, float] = {}
        since = [
            (item.line, item.work) for item in self.book.list_admitted(name, now - age)
        ]
        for known, items in ((timely, since), (told, self.book.list_outstanding())):
            for (other, level, tenant), work in items:
                if other == name and level <= priority:
                    known[tenant] = known.get(tenant, 0.0) + work * scale
        for tenant in pool.capped:
            if tenant != own:
                for known in (timely, late, told):
                    known.pop(tenant, None)
        # Beside those who come back, a pool without waiting work has room.
        is_behind = self.book.is_behind(line, now) and bool(pool.waiting)
        return Backlog(timely, late, told, cores, is_behind, factor.last_measured)

    def _tell(self, spec: JobSpec, queue: Queue, decision: Decision, now: float) -> int:
        """Return the seconds after which a caller is to come back.

        It may have been told by another request meanwhile.
        """
        due_at = self.book.find_due(spec.id)
        if due_at is not None:
            return max(1, ceil(due_at - now))
        match decision:
            case Postponed(reason="time" | "order"):
                line, work = find_line(spec, queue), measure_work(spec)
                return self.book.tell(spec.id, line, work, now, decision)
            case Postponed(seconds=seconds):
                return max(1, ceil(seconds))
        return 0

    async def _is_stored(self, job: str) -> bool:
        # The status of an expired job is removed after the job itself.
        return await read_job(self.rows, job) != JobRows()

    def _log_refusal(
        self,
        spec: JobSpec,
        queue: Queue,
        decision: Decision,
        seconds: int,
        view: LoadView | None,
    ) -> None:
        reason = "" if isinstance(decision, Admitted) else decision.reason
        REFUSED.labels(reason, queue.name).inc()
        pool = None if view is None else view.pools.get(queue.pool)
        log.info(
            "submission refused",
            job=spec.id,
            queue=queue.name,
            tenant=spec.tenant,
            decision=str(decision),
            work=round(measure_work(spec), 3),
            retry_after=seconds,
            view_made_ms=0 if view is None else view.made_ms,
            cores=0 if pool is None else pool.cores,
            room=0 if pool is None else pool.room,
            waiting={} if pool is None else pool.waiting,
        )


def find_line(spec: JobSpec, queue: Queue) -> Line:
    """Return the line in which a job waits."""
    return queue.pool, queue.priority, spec.tenant
