"""Randomized fault soak of the real daemons::

    python -m emulator.soak --seed 1 --minutes 1 --daemons 4

It starts daemons on loopback addresses against the project's stand-ins, draws
rounds of faults from the seed, and checks after each round that the fleet has
recovered and all the time that no promise is broken. A failure prints the
schedule and the timeline of the job concerned; ``--replay SEED`` plays the
same schedule again.

Exit codes: 0 if all checks held, 1 if one failed, 128 and the number of the
signal that stopped it otherwise.
"""

import logging
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from pathlib import Path
from random import Random

import httpx
import trio
from absl import app, flags
from attrs import define, field

from emulator.network import Network, reserve_network
from emulator.processes import Child, ChildGroup
from emulator.soak_checks import POLL_SECONDS, RECOVERY_SECONDS, Checks
from emulator.soak_faults import FAULTS, Fault, apply_fault, draw_rounds
from emulator.soak_jobs import CALL_SECONDS, Callers
from emulator.soak_platform import PLATFORM_PORT, QUEUES, SETTINGS, SoakPlatform

ROUNDS_PER_MINUTE = 2
CALM_SECONDS = 5.0  # at the end of a round, with jobs and without faults
LASTING_JOBS = 4
EXECUTORS_PER_QUEUE = 3
MAX_MEMORY_MB = 300  # of a daemon, as on the sites


@define(eq=False)
class SoakDaemon:
    """A daemon, whose process is started and signalled by the soak.

    ``signalled`` is set once a signal has been sent that ends the process.
    """

    number: int
    host: str
    settings: Path
    group: ChildGroup
    child: Child | None = None
    signalled: bool = False
    _log_start: int = 0  # size of the log when the process started

    @property
    def name(self) -> str:
        """The name in the settings, in log files and in the lease."""
        return f"d{self.number}"

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.child is not None and self.child.alive

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.alive:
            return
        arguments = ["--fleet", "--settings", str(self.settings)]
        self.child = self.group.start(self.name, "hemlockstand.daemon", arguments)
        self.signalled = False
        self._log_start = self.child.log.stat().st_size

    @property
    def ended_well(self) -> bool:
        """Whether the process ended through a signal, and as it should.

        Before it serves, SIGTERM ends it as it does any program.
        """
        code = self.child.process.returncode
        with self.child.log.open("rb") as log:
            log.seek(self._log_start)
            served = b"is serving" in log.read()
        ended = code in (0, -signal.SIGKILL) or (code == -signal.SIGTERM and not served)
        return self.signalled and ended

    def kill(self) -> None:
        """Kill the process."""
        self.signalled = True
        self.child.kill()

    def terminate(self) -> None:
        """Ask the process to stop gracefully."""
        self.signalled = True
        self.child.terminate()

    def pause(self) -> None:
        """Suspend the process."""
        if self.alive:
            self.child.pause()

    def resume(self) -> None:
        """Continue the process."""
        if self.alive:
            self.child.resume()

    def read_peak_memory_mb(self) -> int:
        """Return the largest resident memory of the process so far."""
        try:
            text = Path(f"/proc/{self.child.process.pid}/status").read_text()
        except OSError:
            return 0
        lines = (line.split() for line in text.splitlines())
        return next((int(line[1]) // 1024 for line in lines if line[0] == "VmHWM:"), 0)


@define(eq=False)
class Soak:
    """A soak with its daemons, stand-ins, callers and checks."""

    seed: int
    rounds: list[list[Fault]]
    network: Network
    group: ChildGroup
    checks: Checks
    daemons: dict[str, SoakDaemon] = field(factory=dict)
    platform: SoakPlatform = field(init=False)
    callers: Callers = field(init=False)
    recoveries: list[float] = field(factory=list)
    faults: Counter[str] = field(factory=Counter)
    stopped_by: int = 0  # number of the signal

    async def run(self, client: httpx.AsyncClient, daemons: int) -> None:
        """Play all rounds, or until a check has failed."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._watch_signals, nursery)
            await self._open(nursery, client, daemons)
            nursery.start_soon(self._play, nursery)
            await self.checks.violated.wait()
            nursery.cancel_scope.cancel()

    async def _watch_signals(
        self, nursery: trio.Nursery, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Stop on SIGINT and SIGTERM, so that the daemons are ended."""
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            task_status.started()
            async for number in signals:
                self.stopped_by = number
                nursery.cancel_scope.cancel()

    async def _open(
        self, nursery: trio.Nursery, client: httpx.AsyncClient, daemons: int
    ) -> None:
        hosts = [self.network.host(4, number + 1) for number in range(daemons)]
        self.callers = Callers(
            hosts, client, Random(f"jobs of {self.seed}"), self.checks.note_answer
        )
        self.platform = SoakPlatform(
            f"{self.network.host(1, 1)}:{PLATFORM_PORT}",
            network=self.network,
            daemons=daemons,
            nursery=nursery,
            describe=self.callers.describe,
            report_start=self.checks.note_start,
        )
        self.checks.platform = self.platform
        self.checks.callers = self.callers
        for pool in QUEUES:
            for _ in range(EXECUTORS_PER_QUEUE):
                await self.platform.open_executor(pool)
        await nursery.start(self.platform.serve)
        for number, host in enumerate(hosts):
            path = self.group.directory / f"d{number}.ini"
            store = self.platform.store_address(number)
            path.write_text(SETTINGS.format(name=f"d{number}", host=host, store=store))
            daemon = SoakDaemon(number, host, path, self.group)
            self.daemons[daemon.name] = daemon
            daemon.start()
        nursery.start_soon(self.checks.watch)
        nursery.start_soon(self._watch_processes)

    async def _play(self, nursery: trio.Nursery) -> None:
        await self._wait_ready()
        async with trio.open_nursery() as callers:
            callers.start_soon(self.callers.run, callers, LASTING_JOBS)
            for number, faults in enumerate(self.rounds, 1):
                self.checks.note(f"round {number}")
                async with trio.open_nursery() as round_nursery:
                    for fault in faults:
                        round_nursery.start_soon(apply_fault, self, fault)
                        self.faults[fault.kind] += 1
                self.checks.note("all faults have ended")
                await self._wait_ready()
                self.recoveries.append(await self.checks.settle())
                await trio.sleep(CALM_SECONDS)
                await self.checks.settle()
            callers.cancel_scope.cancel()
        await self.checks.settle()
        await self.checks.check_final_states(self.callers.hosts)
        for daemon in self.daemons.values():
            memory = daemon.read_peak_memory_mb()
            if memory > MAX_MEMORY_MB:
                self.checks.fail(f"{daemon.name} has used {memory} MB")
        nursery.cancel_scope.cancel()

    async def _wait_ready(self) -> None:
        """Wait until all daemons are ready, which has to be within the bound."""
        give_up_at = trio.current_time() + RECOVERY_SECONDS
        for daemon in self.daemons.values():
            while not await self._is_ready(daemon):
                if trio.current_time() > give_up_at:
                    self.checks.fail(f"{daemon.name} does not become ready")
                    return
                await trio.sleep(POLL_SECONDS)

    async def _is_ready(self, daemon: SoakDaemon) -> bool:
        try:
            reply = await self.callers.client.get(f"http://{daemon.host}:8101/ready")
        except httpx.HTTPError:
            return False
        return reply.status_code == 200

    async def _watch_processes(self) -> None:
        """Check that no process ends by itself, and how it ends on SIGTERM."""
        while True:
            for daemon in self.daemons.values():
                if not daemon.alive and not daemon.ended_well:
                    code = daemon.child.process.returncode
                    tail = daemon.child.read_log_tail()
                    self.checks.fail(f"{daemon.name} has ended with {code}:\n{tail}")
            await trio.sleep(POLL_SECONDS)

    def report(self) -> Iterator[str]:
        """Return the lines of the result."""
        checks = self.checks
        runs = sum(map(len, checks.runs.values()))
        accepted = sum(job.accepted for job in self.callers.jobs.values())
        worst = max(self.recoveries, default=0.0)
        yield (
            f"seed {self.seed}: {sum(self.faults.values())} faults, "
            f"{len(self.callers.jobs)} jobs, {accepted} accepted, {runs} starts, "
            f"{checks.answers} answers, longest recovery {worst:.1f} s, "
            f"{len(checks.violations)} violations"
        )
        for at, text, _ in checks.events:
            if text.startswith("recovered"):
                yield f"  {at:8.3f} {text}"
        if not checks.violations:
            return
        yield "schedule:"
        for number, faults in enumerate(self.rounds, 1):
            for fault in faults:
                yield f"  round {number} {fault}"
        for text, job in checks.violations[:5]:
            yield f"violation: {text}"
            yield from (f"  {line}" for line in checks.show_timeline(job))
        yield f"logs: {self.group.directory}"


async def run_soak(
    seed: int,
    minutes: float,
    daemons: int,
    directory: Path,
    kinds: Sequence[str] = (),
) -> Soak:
    """Play the schedule of a seed, and return the soak with its findings.

    The faults are of some ``kinds``, or of all.
    """
    network = reserve_network()
    group = ChildGroup(directory)
    number = max(1, round(minutes * ROUNDS_PER_MINUTE))
    rounds = draw_rounds(Random(seed), number, kinds)
    soak = Soak(seed, rounds, network, group, Checks())
    limits = httpx.Limits(max_connections=None)
    try:
        async with httpx.AsyncClient(
            trust_env=False, timeout=CALL_SECONDS, limits=limits
        ) as client:
            await soak.run(client, daemons)
    finally:
        group.close()
        network.close()
    return soak


def main(arguments: list[str]) -> None:
    """Run the soak with the flags from the command line."""
    del arguments
    values = flags.FLAGS
    seed = values.seed if values.replay is None else values.replay
    if seed is None:
        seed = Random().randrange(1_000_000)
    directory = Path(values.directory or tempfile.mkdtemp(prefix="hemlock-soak-"))
    # Otherwise each call of the callers would be a line.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    directory.mkdir(parents=True, exist_ok=True)
    print(f"seed {seed}, logs in {directory}", flush=True)
    soak = trio.run(
        run_soak, seed, values.minutes, values.daemons, directory, values.kinds
    )
    print("\n".join(soak.report()))
    if soak.checks.violations:
        sys.exit(1)
    sys.exit(128 + soak.stopped_by if soak.stopped_by else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", None, "Seed of the schedule; random by default.")
    flags.DEFINE_integer("replay", None, "Seed whose schedule is played again.")
    flags.DEFINE_float("minutes", 1.0, "Length; there are two rounds a minute.")
    flags.DEFINE_integer("daemons", 4, "Number of daemons.", 1, 100)
    flags.DEFINE_list("kinds", [], "Kinds of faults, separated by commas; or all.")
    flags.register_validator(
        "kinds",
        lambda kinds: set(kinds) <= FAULTS.keys(),
        f"must be among {', '.join(FAULTS)}",
    )
    flags.DEFINE_string("directory", None, "Directory of logs; a new one by default.")
    app.run(main)
