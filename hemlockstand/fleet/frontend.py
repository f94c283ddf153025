"""The callers' interface to jobs.

Any daemon accepts a job by storing its row, whether or not there is a
scheduler at that moment. All answers about jobs come from the store.
"""

import time
from collections.abc import Sequence

import trio
from attrs import frozen
from loguru import logger
from quart import Response, request
from quart_trio import QuartTrio

from hemlockstand.errors import InvalidInput, OutcomeUnknown, PlatformUnavailable
from hemlockstand.fleet.admission_control import AdmissionControl
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.early_cancels import KEEP_SECONDS
from hemlockstand.fleet.metrics import ANSWERS, REQUEST_SECONDS, render_metrics
from hemlockstand.fleet.model import (
    NO_TENANT,
    FleetConfig,
    JobSpec,
    JobState,
    Queue,
    may_refer_to,
)
from hemlockstand.fleet.services import RowStoreService
from hemlockstand.fleet.settings import FleetSettings
from hemlockstand.fleet.storage import (
    JOBS_TABLE,
    PENDING_KEY,
    SCHEDULER_TABLE,
    CancelRecord,
    JobRows,
    cancel_write,
    decode_pending,
    job_write,
    read_job,
)
from hemlockstand.fleet.submissions import (
    FindDifference,
    describe_step,
    find_difference,
)
from hemlockstand.fleet.view_server import add_views
from hemlockstand.kernel import Kernel, Service, register
from hemlockstand.platform.callers import (
    Call,
    encode_error,
    encode_pending,
    encode_state,
    read_call,
)
from hemlockstand.platform.decoding import JOB_ID, decode_submission
from hemlockstand.platform.rows import (
    LARGEST_ROW_BYTES,
    RowConflict,
    RowExpectation,
    RowsRefused,
    RowWrite,
    StoredRow,
)
from hemlockstand.serving.bodies import BodyTooLarge, read_body
from hemlockstand.serving.budget import BODY_FACTOR
from hemlockstand.serving.connection import RefusalFormat
from hemlockstand.serving.server import Endpoint, bind_address, serve_clients
from hemlockstand.serving.settings import CALLERS_SHARE

log = logger.bind(module=__name__)

MAX_CALLER_SECONDS = 30.0
RETRY_PAUSE_SECONDS = 0.05
# Time after which the balancer has noticed that a daemon is not ready: two
# failed checks.
BALANCER_NOTICE_SECONDS = 2.2
# After this time a store outage may be over, or another daemon may answer.
RETRY_AFTER_SECONDS = 1
# Parts of what clients may use. A crowd of callers leaves the balancer's checks
# and the metrics their own part.
ENDPOINT_SHARES = {"callers": CALLERS_SHARE, "readiness": 0.125, "metrics": 0.125}
# Each attempt after the first follows a change of the job's rows.
CANCEL_ATTEMPTS = 3
TOO_LARGE_JOB = "the job does not fit into a row of the store"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@frozen
class Answer:
    """An answer to a caller: a status with a body."""

    status: int
    body: bytes = b"{}"
    retry_after: int = 0  # seconds; 0 for none


@frozen
class Target:
    """What an admitted request refers to; ``job`` is empty for the whole queue."""

    config: FleetConfig
    queue: Queue
    job: str
    tenant: str


def refuse(status: int, detail: str, seconds: int = RETRY_AFTER_SECONDS) -> Answer:
    """Return an answer with the reason why a request was not carried out."""
    return Answer(status, encode_error(detail), seconds if status in (429, 503) else 0)


def _is_foreign(rows: JobRows, target: Target) -> bool:
    """Return whether a job is of another workspace, which is not told of it."""
    if rows.spec is None or may_refer_to(rows.spec, target.tenant, target.queue.name):
        return False
    log.info(
        "job of another workspace was asked for",
        job=target.job,
        tenant=target.tenant,
        queue=target.queue.name,
    )
    return True


def _has_recent_cancel(rows: JobRows, target: Target, now_ms: int) -> bool:
    """Return whether a stored cancel of the caller is kept for long enough."""
    cancel = rows.cancel
    if cancel is None:
        return False
    if not cancel.was_requested_by(target.tenant, target.queue.name):
        return False
    return now_ms - cancel.at_ms < KEEP_SECONDS * 1000 / 2


def _describe_conflict(write: RowWrite, rows: Sequence[StoredRow]) -> str:
    """Return why a cancel that expects no job was not stored."""
    return f"the rows of {write.key} have changed"


def make_metrics_app() -> QuartTrio:
    """Return the application that serves the metrics."""
    app = QuartTrio(__name__ + ".metrics")

    @app.get("/metrics")
    async def answer_metrics() -> Response:
        return Response(render_metrics(), content_type=METRICS_CONTENT_TYPE)

    return app


@register
class FrontendService(Service):
    """Serves callers, who submit, cancel and query jobs."""

    name = "frontend"
    needs = ("row_store", "fleet_configuration")

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: FleetSettings = kernel.settings
        self._listen = settings.listen
        self._rows = kernel.find("row_store", RowStoreService).rows
        self._configuration = kernel.find(
            "fleet_configuration", FleetConfigurationService
        )
        self._admission = AdmissionControl(self._rows, settings.admission)
        self._grace_seconds = settings.bounds.grace_s
        self._leaving = False
        self._closing = trio.Event()
        self._closed = trio.Event()

    @property
    def ready(self) -> bool:
        """Whether the balancer should send new connections.

        A daemon that the store has not answered for so long that it refuses what
        it gets is not, while others may serve it. A single failed call does not
        count: on a busy machine such calls made daemons unready for an eighth of
        the time. If none is ready, the balancer uses all of them.
        """
        configuration = self._configuration
        served = configuration.fresh or configuration.reachable
        return served and configuration.current is not None and not self._leaving

    async def run(self) -> None:
        """Serve callers and the balancer."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve, self._make_ready_app(), "readiness")
            metrics = make_metrics_app()
            add_views(metrics, self.kernel)
            nursery.start_soon(self._serve, metrics, "metrics")
            nursery.start_soon(self._admission.run)
            await self._serve(self._make_app(), "callers")
            self._closed.set()

    async def stop(self) -> None:
        """Report not ready, then finish the requests in progress."""
        self._leaving = True
        await trio.sleep(BALANCER_NOTICE_SECONDS)
        self._closing.set()
        with trio.move_on_after(self._grace_seconds / 2):
            await self._closed.wait()

    async def _serve(self, app: QuartTrio, kind: str) -> None:
        endpoint = Endpoint(
            name=kind,
            share=ENDPOINT_SHARES[kind],
            body_factor=BODY_FACTOR if kind == "callers" else 0,
            graceful_seconds=self._grace_seconds / 3,
            refusals=RefusalFormat(encode_error),
        )
        listener = bind_address(getattr(self._listen, kind))
        await serve_clients(
            app, endpoint, self.settings.clients, [listener], self._closing.wait
        )

    def _make_ready_app(self) -> QuartTrio:
        app = QuartTrio(__name__ + ".readiness")

        @app.get("/ready")
        async def answer_ready() -> Response:
            return Response(b"", 200 if self.ready else 503)

        return app

    def _make_app(self) -> QuartTrio:
        app = QuartTrio(__name__)
        # The body limit is checked against the configuration in force instead.
        app.config["MAX_CONTENT_LENGTH"] = None

        @app.route("/", defaults={"path": ""}, methods=["GET", "POST", "DELETE"])
        @app.route("/<path:path>", methods=["GET", "POST", "DELETE"])
        async def answer_call(path: str) -> Response:
            started_at = time.monotonic()
            answer = await self._answer_request()
            seconds = time.monotonic() - started_at
            ANSWERS.labels(request.method, answer.status).inc()
            REQUEST_SECONDS.labels(request.method).observe(seconds)
            response = Response(
                answer.body, answer.status, content_type="application/json"
            )
            if answer.retry_after:
                response.headers["Retry-After"] = str(answer.retry_after)
            if self._leaving or not self.ready:
                # The caller's next connection reaches another daemon.
                response.headers["Connection"] = "close"
            return response

        return app

    def _log_refusal(self, call: Call, answer: Answer) -> None:
        config = self._configuration.current
        log.info(
            "request of a caller was not served",
            method=call.method,
            path=call.path,
            outcome=answer.status,
            detail=answer.body.decode(),
            config=None if config is None else config.version,
            config_age=round(self._configuration.age_seconds, 3),
        )

    async def _answer_request(self) -> Answer:
        """Return the answer to the present request, and log a refusal."""
        try:
            call = read_call(request)
        except InvalidInput as error:
            log.info("request of a caller was not read", detail=error.message)
            return refuse(400, error.message)
        answer = await self._answer(call)
        if answer.status != 200:
            self._log_refusal(call, answer)
        return answer

    async def _answer(self, call: Call) -> Answer:
        match self._find_target(call):
            case Answer() as refusal:
                return refusal
            case Target() as target:
                pass
        if not target.job:
            return await self._answer_pending(target.queue)
        match call.method:
            case "POST":
                return await self._read_submission(call, target.config)
            case "DELETE":
                return await self._cancel(call, target)
            case _:
                return await self._answer_state(target)

    def _find_target(self, call: Call) -> Target | Answer:
        """Return what the head of a request refers to, or the refusal."""
        config = self._configuration.current
        if config is None:
            return refuse(503, "no configuration yet")
        queue = config.find_queue(call.host, call.path)
        if queue is None:
            return self._refuse_if_stale() or refuse(404, "no such queue")
        tenant = config.tenants_by_key.get(call.key)
        if tenant is None and not queue.public:
            return self._refuse_if_stale() or refuse(401, "unknown key")
        # An old copy may still have a withdrawn key or a dropped queue.
        stale = self._refuse_if_stale()
        if stale is not None:
            return stale
        job = call.path[len(queue.prefix) :]
        if JOB_ID.fullmatch(job) is None and (job or call.method != "GET"):
            return refuse(400, f"{job[:40]!r} is not a job id of 16 hexadecimal digits")
        tenant_name = NO_TENANT if tenant is None else tenant.name
        return Target(config, queue, job, tenant_name)

    async def _read_submission(self, call: Call, config: FleetConfig) -> Answer:
        try:
            body = await read_body(request, config.max_body_bytes)
        except BodyTooLarge:
            return refuse(413, f"the body has over {config.max_body_bytes} bytes")
        # While the body arrived, the key may have been withdrawn.
        match self._find_target(call):
            case Answer() as refusal:
                return refusal
            case Target(config=config, queue=queue, job=job, tenant=tenant):
                return await self._submit(call, body, config, queue, job, tenant)

    def _refuse_if_stale(self) -> Answer | None:
        if self._configuration.fresh:
            return None
        return refuse(503, "the configuration is not known to be current")

    async def _submit(
        self,
        call: Call,
        body: bytes,
        config: FleetConfig,
        queue: Queue,
        job: str,
        tenant: str,
    ) -> Answer:
        now_ms = int(time.time() * 1000)
        try:
            spec = decode_submission(body, job, queue, tenant, now_ms)
        except InvalidInput as error:
            return refuse(400, error.message)
        write = job_write(spec)
        if len(write.value) > LARGEST_ROW_BYTES:
            return refuse(413, TOO_LARGE_JOB)
        expected = (RowExpectation(write.table, write.key, 0, write.part),)
        with self._admission.follow(job):
            refusal = await self._admission.check(spec, queue, config)
            if refusal is not None:
                return refuse(refusal.status, refusal.detail, refusal.seconds)
            answer = await self._store(call, write, expected, find_difference)
            self._admission.record(spec, queue, answer.status)
        log.info(
            "job submitted",
            job=job,
            queue=queue.name,
            tenant=tenant,
            config=config.version,
            steps=[describe_step(step) for step in spec.steps],
            outcome=answer.status,
        )
        return answer

    async def _cancel(self, call: Call, target: Target) -> Answer:
        """Store a cancel, also of a job that is not stored.

        The write of the job may still arrive, which the answer 410 rules out: the
        stored cancel then applies to it.
        """
        job = target.job
        for _ in range(CANCEL_ATTEMPTS):
            rows = await self._read_job(job)
            if rows is None:
                return refuse(503, "the store does not answer")
            if _is_foreign(rows, target):
                return refuse(410, "no such job")
            if rows.spec is not None:
                return await self._cancel_stored(call, rows.spec, rows)
            now_ms = int(time.time() * 1000)
            if _has_recent_cancel(rows, target, now_ms):
                return refuse(410, "no such job")
            earlier = rows.cancel or CancelRecord()
            record = earlier.add_request(now_ms, target.tenant, target.queue.name)
            write = cancel_write(job, record)
            expected = (
                RowExpectation(JOBS_TABLE, job, 0, write.part),
                RowExpectation(write.table, write.key, rows.cancel_version, write.part),
            )
            # After a lost answer, a conflict may be with the write itself.
            answer = await self._store(call, write, expected, _describe_conflict)
            log.info("cancel of an absent job stored", job=job, outcome=answer.status)
            if answer.status == 200:
                return refuse(410, "no such job")
            if answer.status != 409:
                return answer
        return refuse(503, "the job is being changed")

    async def _cancel_stored(self, call: Call, spec: JobSpec, rows: JobRows) -> Answer:
        """Store the cancel of a job, on behalf of the workspace that it is of."""
        if rows.state.final:
            return Answer(200, encode_state(rows.state))
        record = CancelRecord(int(time.time() * 1000), (spec.tenant,))
        answer = await self._store(call, cancel_write(spec.id, record))
        log.info("cancel requested", job=spec.id, outcome=answer.status)
        if answer.status == 200:
            return Answer(200, encode_state(JobState.CANCELLED))
        return answer

    async def _answer_state(self, target: Target) -> Answer:
        rows = await self._read_job(target.job)
        if rows is None:
            return refuse(503, "the store does not answer")
        if rows.spec is None or _is_foreign(rows, target):
            return refuse(410, "no such job")
        return Answer(200, encode_state(rows.state))

    async def _read_job(self, job: str) -> JobRows | None:
        """Return a job's rows, or None if the store does not answer."""
        try:
            return await read_job(self._rows, job)
        except PlatformUnavailable as error:
            log.info("job not read from the store", job=job, detail=str(error))
            return None

    async def _answer_pending(self, queue: Queue) -> Answer:
        try:
            row = await self._rows.read_one(SCHEDULER_TABLE, PENDING_KEY)
        except PlatformUnavailable as error:
            log.info(
                "number of pending jobs not read from the store",
                queue=queue.name,
                detail=str(error),
            )
            return refuse(503, "the store does not answer")
        count = decode_pending(row.value).get(queue.name, 0)
        return Answer(200, encode_pending(count))

    async def _store(
        self,
        call: Call,
        write: RowWrite,
        expected: tuple[RowExpectation, ...] = (),
        find_difference: FindDifference | None = None,
    ) -> Answer:
        """Write a row and return an answer that is certain to be true.

        A write without an answer may be applied seconds later, so the request
        cannot be called refused. The write is repeated under the same
        condition, and the caller gets 504 if its outcome stays unknown. If the
        row exists, ``find_difference`` says why the caller gets 409.
        """
        seconds = min(call.remaining_seconds, MAX_CALLER_SECONDS)
        give_up_at = trio.current_time() + seconds
        unsure = False
        while True:
            try:
                await self._rows.write([write], expected)
                return Answer(200)
            except RowConflict as conflict:
                difference = find_difference and find_difference(write, conflict.rows)
                return refuse(409, difference) if difference else Answer(200)
            except RowsRefused:
                # Earlier attempts made the same write, so none was applied.
                return refuse(413, TOO_LARGE_JOB)
            except PlatformUnavailable as error:
                if not unsure:
                    return refuse(503, error.message)
            except OutcomeUnknown as error:
                unsure = True
                log.warning(
                    "write to the store got no answer",
                    key=write.key,
                    detail=str(error),
                )
            if trio.current_time() + RETRY_PAUSE_SECONDS > give_up_at:
                return refuse(504, "it is not known whether the request was stored")
            await trio.sleep(RETRY_PAUSE_SECONDS)
