"""Safeguards that are taken out one at a time to see that a test notices.

Each entry names a guarantee or a failure of the design page, the safeguard,
the text that removes it, and the tests that must fail without it.
"""

from attrs import frozen


@frozen
class Mutation:
    """One safeguard; ``figures`` names benchmarks that measure the same."""

    point: str
    mechanism: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]
    figures: tuple[str, ...] = ()


MUTATIONS = (
    Mutation(
        "Every availability budget holds",
        "budget check in the transaction on the pool's row",
        "hemlockstand/maintenance/budgets.py",
        "return len({*unavailable, instance}) <= pool.budget",
        "return True",
        ("test/test_maintenance.py",),
        ("budget_violations", "rollout_violations_today"),
    ),
    Mutation(
        "Every availability budget holds: two daemons at once",
        "conditional write of the pool's row",
        "hemlockstand/maintenance/records.py",
        "    return Put(key, value, version)",
        "    return Put(key, value, None)",
        ("test/test_maintenance.py",),
        ("budget_violations",),
    ),
    Mutation(
        "An instance belongs to exactly one pool",
        "both pools and the instance change in one transaction",
        "hemlockstand/maintenance/steps.py",
        "            encode_pool(remove_member(pool, instance.id)),\n",
        "",
        ("test/test_maintenance.py",),
        ("instances_not_in_one_pool",),
    ),
    Mutation(
        "Work only for the team whose key came with it",
        "salted digest compared for the queue's team",
        "hemlockstand/requests/admission.py",
        "        if key is None:\n            raise refuse(Reason.KEY_REFUSED",
        "        if False:\n            raise refuse(Reason.KEY_REFUSED",
        ("test/test_admission.py",),
    ),
    Mutation(
        "A withdrawn key stops within seconds: waiting request",
        "key and freshness checked again directly before the send",
        "hemlockstand/requests/dispatch.py",
        "        return waiter.request.key in self._configuration.current.keys",
        "        return True",
        ("test/test_request_failures.py",),
        ("key_withdraw_seconds",),
    ),
    Mutation(
        "A withdrawn key stops within seconds: daemon that cannot know",
        "freshness proof with a bounded age",
        "hemlockstand/coordination/freshness.py",
        "        return self.age(scope) <= self.bound_seconds",
        "        return True",
        ("test/test_freshness.py", "test/test_configuration_service.py"),
        ("key_withdraw_seconds",),
    ),
    Mutation(
        "No team has more running than its upper limit: paused holder",
        "lease checked on the holder's clock directly before each send",
        "hemlockstand/coordination/lease.py",
        "        return not self.lost and self.clock() < self._valid_until()",
        "        return not self.lost",
        ("test/test_limits_failures.py",),
        ("limit_overrun",),
    ),
    Mutation(
        "No team has more running than its upper limit: takeover",
        "takeover only after lease, longest deadline and margin",
        "hemlockstand/coordination/lease.py",
        "            if self.unchanged_seconds(name)\n"
        "            >= wait_seconds(observed.row, self.margin_seconds)",
        "            if self.unchanged_seconds(name) >= 0.0",
        ("test/test_limits_failures.py",),
        ("limit_overrun",),
    ),
    Mutation(
        "No team has more running than its upper limit: unknown end",
        "slot held until the deadline of a request without a known end",
        "hemlockstand/requests/slots.py",
        "        if slot.sent and not certain:",
        "        if False:",
        ("test/test_limits_failures.py",),
        ("limit_overrun",),
    ),
    Mutation(
        "A caller receives the whole response to their own request: mismatched",
        "answers are matched by request id",
        "hemlockstand/requests/upstreams.py",
        '    if headers.get("X-Request-Id") != request.id:',
        "    if False:",
        ("test/test_request_failures.py",),
        ("false_not_run", "lost_requests"),
    ),
    Mutation(
        "A caller receives the whole response to their own request: truncated",
        "answers without an end that can be checked are not forwarded",
        "hemlockstand/requests/upstreams.py",
        "    if not _is_framed(response):",
        "    if False:",
        ("test/test_request_failures.py",),
    ),
    Mutation(
        'A refusal that says "not run" is true',
        "an earlier try that may have run overrides a later refusal",
        "hemlockstand/requests/dispatch.py",
        "        if isinstance(verdict, NotRun) and earlier is not None:",
        "        if False:",
        ("test/test_request_failures.py",),
        ("false_not_run",),
    ),
    Mutation(
        "A non-idempotent order runs at most once: retry elsewhere",
        "conditional insert of the claim",
        "hemlockstand/coordination/ledger.py",
        "            return await self._insert(name, ABSENT, deadline)",
        "            return await self._insert(name, None, deadline)",
        ("test/test_orders.py", "test/test_orders_faults.py"),
        ("double_runs",),
    ),
    Mutation(
        "A non-idempotent order runs at most once: lost answer",
        "no retry after a send that may have run",
        "hemlockstand/requests/dispatch.py",
        "            return queue.idempotent\n        case Answered",
        "            return True\n        case Answered",
        ("test/test_request_failures.py",),
        ("double_runs",),
    ),
    Mutation(
        "A leaving upstream receives no new work",
        "executors with any sign of leaving are passed over",
        "hemlockstand/requests/executors.py",
        "        if self.listed_leaving or self.in_maintenance or self.drained:",
        "        if False:",
        ("test/test_request_failures.py",),
        ("drain_stop_seconds",),
    ),
    Mutation(
        "Every planned stop interrupts no request",
        "the caller port closes after the running requests",
        "hemlockstand/requests/admission.py",
        "        await self._closed.wait()\n\n    async def _serve",
        "        return\n\n    async def _serve",
        ("test/test_request_failures.py", "test/test_daemon.py"),
        ("rolling_lost_requests",),
    ),
    Mutation(
        "A planned stop ends: idle connections",
        "sends that cannot be cancelled half-way",
        "hemlockstand/requests/admission.py",
        "            shield_sends(self.app),",
        "            self.app,",
        ("test/test_admission.py::test_idle_connection_does_not_hold_up_a_stop",),
    ),
    Mutation(
        "An accepted configuration never reverts",
        "only a newer state replaces the one in force",
        "hemlockstand/coordination/versions.py",
        "        if version <= self.version:\n            return False\n"
        "        self.state = state",
        "        self.state = state",
        ("test/test_versions.py", "test/test_configuration_service.py"),
    ),
    Mutation(
        "Operators race: exactly one wins",
        "conditional write of the head",
        "hemlockstand/configuration/store.py",
        "        if head.version != base:\n"
        "            return await self._resolve(change, base)",
        "        if False:\n            return await self._resolve(change, base)",
        ("test/test_configuration_store.py", "test/test_configuration_service.py"),
    ),
    Mutation(
        "Replies lost after the write: configuration",
        "resolved by reading the change's id",
        "hemlockstand/configuration/store.py",
        "            return await self._resolve_lost(change, base, lost)",
        "            raise lost",
        ("test/test_configuration_store.py",),
    ),
    Mutation(
        "Leases lapse while their holder is paused: tasks",
        "a task is fenced off at its worker before it moves",
        "hemlockstand/jobs/rounds.py",
        "            await self.workers.stop(worker, task, fence)\n"
        "        except HemlockstandError as error:\n"
        "            if now - since",
        "            pass\n"
        "        except HemlockstandError as error:\n"
        "            if now - since",
        ("test/test_job_rounds.py",),
        ("double_starts",),
    ),
    Mutation(
        "Only wanted work runs",
        "triggers are checked against the configuration in force",
        "hemlockstand/jobs/schedules.py",
        "    return job.team == team and job.pool == pool and day <= job.last_day",
        "    return True",
        ("test/test_job_rounds.py", "test/test_job_schedules.py"),
    ),
    Mutation(
        "Some jobs can never run",
        "parked by distinct workers and by starts",
        "hemlockstand/jobs/quarantine.py",
        "    if len(failed_on) >= DISTINCT_WORKERS:",
        "    if False:",
        ("test/test_job_rounds.py",),
        ("bad_job_starts",),
    ),
    Mutation(
        "Some workers fail everything they start",
        "starts under way count like failures, then quarantine",
        "hemlockstand/jobs/quarantine.py",
        "    return max(0, MAX_UNCONFIRMED - worker.failed_starts - unconfirmed)",
        "    return 100",
        ("test/test_job_rounds.py",),
        ("bad_worker_starts",),
    ),
    Mutation(
        "Job limits of teams: two daemons at once",
        "the team's tasks stand in one row, written conditionally",
        "hemlockstand/jobs/records.py",
        "    return Put(WORK_PREFIX + work.team, _encode(work), work.version)",
        "    return Put(WORK_PREFIX + work.team, _encode(work), None)",
        ("test/test_job_rounds.py",),
        ("double_starts",),
    ),
    Mutation(
        "Peers: only daemons of the deployment may speak",
        "message authentication",
        "hemlockstand/peers/transport.py",
        "    if not hmac.compare_digest(signature, expected):",
        "    if False:",
        ("test/test_peers_transport.py",),
    ),
)
