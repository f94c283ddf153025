"""Safeguards of the fleet daemons against what others write and stores refuse."""

from bench.mutations import Mutation

MALFORMED_TESTS = ("test/test_fleet_malformed_rows.py",)
ENDS_TESTS = ("test/test_fleet_many_ends.py",)
MOVED_TESTS = ("test/test_fleet_moved_queues.py",)
LARGE_TESTS = ("test/test_fleet_large_jobs.py",)

FLEET_LIMIT_MUTATIONS = (
    Mutation(
        "Fleet: an odd entry of another writer ends no scheduler",
        "each error of a decoder counts as an unreadable document",
        "hemlockstand/documents.py",
        "except (RecursionError, UnicodeDecodeError) as error:",
        "except UnicodeDecodeError as error:",
        MALFORMED_TESTS,
    ),
    Mutation(
        "Fleet: an odd entry of another writer stops no scheduler",
        "an entry waits until the configuration names its service",
        "hemlockstand/fleet/executor_directory.py",
        "            if entry.pool in self.state.config.pools:\n"
        "                self._add_executor(entry)",
        "            if True:\n                self._add_executor(entry)",
        MALFORMED_TESTS,
    ),
    Mutation(
        "Fleet: no subtask runs twice while ends are unread",
        "no run counts as lost while an executor may have more ends",
        "hemlockstand/fleet/executors.py",
        "if answer.may_have_more_ends:\n            self._log",
        "if False:\n            self._log",
        ENDS_TESTS,
    ),
    Mutation(
        "Fleet: no subtask runs twice while a takeover reads ends",
        "a pool stays blocked while an executor holds a lease and has unread ends",
        "hemlockstand/fleet/takeover_barrier.py",
        "self._find_pools_with_unread_ends(now)\n            if over",
        "set()\n            if over",
        ENDS_TESTS,
    ),
    Mutation(
        "Fleet: no subtask runs twice after its queue has moved",
        "a step waits for every pool in which it may have been started",
        "hemlockstand/fleet/work.py",
        "return self.inherited and not self.job.pools.isdisjoint(blocked_pools)",
        "return self.inherited and self.job.spec.pool in blocked_pools",
        MOVED_TESTS,
    ),
    Mutation(
        "Fleet: the next scheduler knows where a queue's runs are",
        "a pool is stored with the job before the first start in it",
        "hemlockstand/fleet/placement.py",
        "or pool not in step_run.job.stored_pools",
        "or False",
        MOVED_TESTS,
    ),
    Mutation(
        "Fleet: lasting work is stopped only if it can start again",
        "room is looked for in the pool of the subtask's queue",
        "hemlockstand/fleet/eviction.py",
        "pool = find_pool(subtask.job, config)",
        "pool = subtask.job.spec.pool",
        ("test/test_fleet_eviction.py",),
    ),
    Mutation(
        "Fleet: the largest job stops no other",
        "a job of many subtasks stores sets of bits",
        "hemlockstand/fleet/work.py",
        "return self.offsets[-1] * self.spec.occurrences <= MAX_NAMED_SUBTASKS",
        "return True",
        LARGE_TESTS,
    ),
    Mutation(
        "Fleet: no transaction is over the limits of the store",
        "a batch takes no more changes than fit",
        "hemlockstand/fleet/changes.py",
        "or entries > MAX_TRANSACTION_ENTRIES - LEASE_ENTRIES",
        "or False",
        LARGE_TESTS,
    ),
    Mutation(
        "Fleet: a row that the store refuses takes no lease with it",
        "a refused transaction is divided, and the lease renewed alone",
        "hemlockstand/fleet/commits.py",
        "await self._divide(batch, error)",
        "raise",
        LARGE_TESTS,
    ),
)
