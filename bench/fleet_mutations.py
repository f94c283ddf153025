"""Safeguards of the fleet's scheduler, as in ``bench.mutations``."""

from bench.mutations import Mutation

SCHEDULER_TESTS = ("test/test_fleet_scheduler.py",)
LEASE_TESTS = ("test/test_fleet_lease.py",)
INSTANCE_TESTS = ("test/test_fleet_instances.py",)
FRONTEND_TESTS = ("test/test_fleet_frontend.py",)

FLEET_MUTATIONS = (
    Mutation(
        "Fleet: work of a lost executor runs elsewhere",
        "an executor that does not answer is granted nothing more",
        "hemlockstand/fleet/executors.py",
        "if self._clock_ms is None or self.failing_since is not None:",
        "if self._clock_ms is None:",
        SCHEDULER_TESTS,
    ),
    Mutation(
        "Fleet: a job fails only after its attempts",
        "failed runs are counted by their numbers",
        "hemlockstand/fleet/ledger.py",
        "subtask.failures.add(run)",
        "subtask.failures.add(-1 - len(subtask.failures))",
        SCHEDULER_TESTS,
    ),
    Mutation(
        "Fleet: no subtask runs twice after a takeover",
        "announced steps wait for executors that do not answer",
        "hemlockstand/fleet/gates.py",
        "self.gated.update(",
        "set().update(",
        SCHEDULER_TESTS,
    ),
    Mutation(
        "Fleet: no subtask runs twice after a lost answer",
        "the fencing token rises before the next call",
        "hemlockstand/fleet/orders.py",
        "executor.raise_fence()",
        "pass",
        SCHEDULER_TESTS,
    ),
    Mutation(
        "Fleet: no subtask runs twice behind a cut",
        "what runs counts until its lease has certainly run out",
        "hemlockstand/fleet/executors.py",
        "if now > self.lapses_at + LAPSE_MARGIN_SECONDS:",
        "if True:",
        SCHEDULER_TESTS,
    ),
    Mutation(
        "Fleet: no tenant is over its maximum",
        "starts are counted against the tenant",
        "hemlockstand/fleet/placement.py",
        "if tenant is None:\n            return True",
        "if True:\n            return True",
        SCHEDULER_TESTS,
    ),
    Mutation(
        "Fleet: a cancelled job stops",
        "its runs are stopped when the cancel is followed",
        "hemlockstand/fleet/leader.py",
        "self._orders.stop_runs(job)",
        "pass",
        SCHEDULER_TESTS,
    ),
    Mutation(
        "Fleet: a deposed scheduler stores nothing",
        "each transaction expects the lease row",
        "hemlockstand/fleet/lease.py",
        "expected = (RowExpectation(SCHEDULER_TABLE, LEASE_KEY, self.version),)",
        "expected = ()",
        LEASE_TESTS,
    ),
    Mutation(
        "Fleet: one scheduler at a time",
        "a takeover waits for the whole lease",
        "hemlockstand/fleet/lease.py",
        "return unchanged >= wait",
        "return True",
        LEASE_TESTS,
    ),
    Mutation(
        "Fleet: a refusal is true",
        "an open write is never called refused",
        "hemlockstand/fleet/frontend.py",
        "if not unsure:",
        "if True:",
        FRONTEND_TESTS,
    ),
    Mutation(
        "Fleet: a withdrawn key stops working",
        "an old copy of the configuration serves nothing",
        "hemlockstand/fleet/frontend.py",
        "if self._configuration.fresh:",
        "if True:",
        FRONTEND_TESTS,
    ),
    Mutation(
        "Fleet: steps that last keep their budget",
        "lasting work is stopped only while its step can miss it",
        "hemlockstand/fleet/eviction.py",
        "return away < budget",
        "return True",
        INSTANCE_TESTS,
    ),
    Mutation(
        "Fleet: a wave keeps its maximum",
        "what is down or planned counts against it",
        "hemlockstand/fleet/waves.py",
        "free = wave.maximum - down - len(planned)",
        "free = 100",
        INSTANCE_TESTS,
    ),
    Mutation(
        "Fleet: holders take turns for an instance",
        "the next scheduler leaves recent orders alone",
        "hemlockstand/fleet/instances.py",
        "if self._is_blocked(plan.instance):",
        "if False:",
        INSTANCE_TESTS,
    ),
)
