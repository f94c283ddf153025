"""Faults of the soak: their schedule, drawn from a seed, and their effects.

Each fault acts from outside the daemons and ends by itself. It is skipped if
its target is away through another fault.
"""

from collections.abc import Awaitable, Callable, Iterator, Sequence
from random import Random
from typing import TYPE_CHECKING

import trio
from attrs import frozen

from emulator.fleet_executors import ExecutorModel
from hemlockstand.fleet.storage import LEASE_KEY, SCHEDULER_TABLE, read_lease

if TYPE_CHECKING:
    from emulator.soak import Soak, SoakDaemon

STORM_SECONDS = 14.0  # faults of a round begin within this time
FAULTS_PER_SECOND = 0.5
GRACE_SECONDS = 6.0  # between SIGTERM and SIGKILL, as in the settings
# The entry of an executor is removed after this silence.
EXPIRY_SECONDS = 4.5


@frozen
class Fault:
    """A fault of a round.

    It begins ``at`` seconds after the round, for daemons ``after_write``
    directly after the next write to the store. ``position`` selects the
    target; for daemons, ``at_leader`` goes before it. What ``count`` counts
    depends on the kind.
    """

    at: float
    kind: str
    seconds: float
    position: int
    count: int
    at_leader: bool
    after_write: bool

    def __str__(self) -> str:
        target = "leader" if self.at_leader else f"#{self.position}"
        moment = " after a write" if self.after_write else ""
        return (
            f"{self.at:5.1f} s: {self.kind} {target}{moment} for {self.seconds:.1f} s, "
            f"count {self.count}"
        )


Action = Callable[["Soak", Fault], Awaitable[None]]
ExecutorAction = Callable[["Soak", Fault, ExecutorModel], Awaitable[None]]


def draw_rounds(
    random: Random, rounds: int, kinds: Sequence[str] = ()
) -> list[list[Fault]]:
    """Return the faults of each round, of some kinds or of all.

    Some faults begin during the recovery from the one before, with the same
    target.
    """
    kinds = kinds or list(FAULTS)
    return [list(_draw_round(random, kinds)) for _ in range(rounds)]


def _draw_round(random: Random, kinds: Sequence[str]) -> Iterator[Fault]:
    at = random.uniform(0.5, 2.0)
    previous = None
    while at < STORM_SECONDS:
        fault = Fault(
            at,
            random.choice(kinds),
            random.uniform(0.3, 8.0),
            random.randrange(100),
            random.randint(1, 4),
            random.random() < 0.5,
            random.random() < 0.3,
        )
        if previous is not None and random.random() < 0.3:
            begin = previous.at + previous.seconds + random.uniform(0.05, 1.5)
            fault = Fault(
                begin,
                fault.kind,
                fault.seconds,
                previous.position,
                fault.count,
                previous.at_leader,
                False,
            )
        yield fault
        previous = fault
        at += random.expovariate(FAULTS_PER_SECOND)


async def apply_fault(soak: "Soak", fault: Fault) -> None:
    """Wait for a fault's moment and carry it out until it has ended."""
    await trio.sleep(fault.at)
    if fault.after_write:
        with trio.move_on_after(1):
            await soak.platform.store.wait()
    await FAULTS[fault.kind](soak, fault)


def find_leader(soak: "Soak") -> "SoakDaemon | None":
    """Return the daemon that holds the scheduler's lease."""
    row = soak.platform.store.find(SCHEDULER_TABLE, LEASE_KEY)
    lease = None if row is None else read_lease(row)
    return None if lease is None else soak.daemons.get(lease.holder)


def pick_daemon(soak: "Soak", fault: Fault) -> "SoakDaemon":
    """Return the daemon that a fault concerns."""
    daemons = list(soak.daemons.values())
    leader = find_leader(soak) if fault.at_leader else None
    return leader or daemons[fault.position % len(daemons)]


async def kill_daemon(soak: "Soak", fault: Fault) -> None:
    """Kill a daemon and start it again."""
    daemon = pick_daemon(soak, fault)
    soak.checks.note(f"kill {daemon.name}")
    daemon.kill()
    await trio.sleep(fault.seconds / 4)
    daemon.start()


async def kill_all_daemons(soak: "Soak", fault: Fault) -> None:
    """Kill all daemons at the same time and start them again."""
    soak.checks.note("kill all daemons")
    for daemon in soak.daemons.values():
        daemon.kill()
    await trio.sleep(fault.seconds / 8)
    for daemon in soak.daemons.values():
        daemon.start()


async def stop_daemon(soak: "Soak", fault: Fault) -> None:
    """Stop a daemon as the platform does, and start it again."""
    daemon = pick_daemon(soak, fault)
    soak.checks.note(f"stop {daemon.name}")
    daemon.terminate()
    with trio.move_on_after(GRACE_SECONDS):
        while daemon.alive:
            await trio.sleep(0.05)
    daemon.kill()
    soak.checks.note(f"start {daemon.name}")
    daemon.start()


async def pause_daemon(soak: "Soak", fault: Fault) -> None:
    """Pause a daemon's process."""
    daemon = pick_daemon(soak, fault)
    soak.checks.note(f"pause {daemon.name}")
    daemon.pause()
    await trio.sleep(fault.seconds / 2)
    daemon.resume()
    soak.checks.note(f"resume {daemon.name}")


async def close_store(soak: "Soak", fault: Fault) -> None:
    """Close the store to one daemon."""
    daemon = pick_daemon(soak, fault)
    await _close_doors(soak, [daemon.number], fault.seconds)


async def stop_store(soak: "Soak", fault: Fault) -> None:
    """Close the store to all daemons."""
    await _close_doors(soak, list(range(len(soak.daemons))), fault.seconds)


async def _close_doors(soak: "Soak", numbers: list[int], seconds: float) -> None:
    soak.checks.note(f"close the store to {numbers} for {seconds:.1f} s")
    for number in numbers:
        soak.platform.doors[number].closed = True
    await trio.sleep(seconds)
    for number in numbers:
        soak.platform.doors[number].closed = False


async def break_store(soak: "Soak", fault: Fault) -> None:
    """Let the store break down for each daemon during its next write."""
    soak.checks.note(f"break the store at the next writes for {fault.seconds:.1f} s")
    for door in soak.platform.doors:
        door.breaks = True
    await trio.sleep(fault.seconds)
    for door in soak.platform.doors:
        door.breaks = door.closed = False


async def slow_store(soak: "Soak", fault: Fault) -> None:
    """Slow down the store for all daemons."""
    delay = 0.08 * fault.count
    soak.checks.note(f"slow down the store by {delay:.2f} s for {fault.seconds:.1f} s")
    for door in soak.platform.doors:
        door.delay_seconds = delay
    await trio.sleep(fault.seconds)
    for door in soak.platform.doors:
        door.delay_seconds = 0.0


async def lose_store_answers(soak: "Soak", fault: Fault) -> None:
    """Leave some writes of a daemon without an answer."""
    daemon = pick_daemon(soak, fault)
    soak.checks.note(f"lose {fault.count} answers of the store to {daemon.name}")
    soak.platform.doors[daemon.number].lost_answers += fault.count
    await trio.sleep(fault.seconds)
    soak.platform.doors[daemon.number].lost_answers = 0


async def forget_history(soak: "Soak", fault: Fault) -> None:
    """Drop the store's history of changes."""
    soak.checks.note("drop the store's history")
    soak.platform.store.forget_history()


def make_link_fault(mode: str) -> Action:
    """Return a fault of a daemon's links, to the store or to some executors."""

    async def change_links(soak: "Soak", fault: Fault) -> None:
        daemon = pick_daemon(soak, fault)
        if fault.count <= 2:
            links = [soak.platform.store_links[daemon.number]]
        else:
            links = [
                links[daemon.number]
                for executor, links in soak.platform.executor_links.items()
                if not soak.platform.executors[executor].unresponsive
            ][fault.position % 2 :: fault.count - 2]
        names = ", ".join(link.name for link in links)
        soak.checks.note(f"{mode} links {names} for {fault.seconds:.1f} s")
        for link in links:
            link.change(mode, 0.1 * fault.count)
        if mode != "silence":
            await trio.sleep(fault.seconds if fault.position % 3 else 0)
        for link in links:
            soak.platform.restore_link(link)

    return change_links


async def crash_executor(soak: "Soak", fault: Fault, model: ExecutorModel) -> None:
    """Crash an executor; it comes back under the same id or a new one."""
    same = fault.count <= 2
    soak.checks.note(
        f"crash {model.id} for {fault.seconds:.1f} s, then "
        f"{'the same' if same else 'a new'} id"
    )
    _disconnect(soak, model)
    await _stay_away(soak, fault, model)
    if not same:
        await _replace(soak, model)
        return
    model.restart()
    _return(soak, model)


async def restart_executor(soak: "Soak", fault: Fault, model: ExecutorModel) -> None:
    """Restart an executor under its id at once."""
    soak.checks.note(f"restart {model.id}")
    _disconnect(soak, model)
    model.restart()
    model.unresponsive = False
    soak.platform.set_executor_links(model.id, "up")
    await trio.sleep(fault.seconds / 8)
    soak.platform.register(model)


async def restart_before_cut(soak: "Soak", fault: Fault) -> None:
    """Restart two executors unnoticed, and cut them off soon after."""
    models = find_present(soak)
    random = Random(fault.seconds)
    async with trio.open_nursery() as nursery:
        for model in random.sample(models, min(2, len(models))):
            nursery.start_soon(_restart_before_cut, soak, model, random)


async def _restart_before_cut(
    soak: "Soak", model: ExecutorModel, random: Random
) -> None:
    """Restart an executor under its id, and cut it off after its report.

    Connections stay open meanwhile, and what is sent on them is held up.
    """
    soak.checks.note(f"restart {model.id} silently")
    model.unresponsive = True
    soak.platform.set_executor_links(model.id, "drop")
    model.crash()
    await trio.sleep(random.uniform(0.3, 1.0))
    model.restart()
    soak.platform.set_executor_links(model.id, "up")
    await trio.sleep(random.uniform(0.0, 1.4))
    soak.platform.register(model)
    await trio.sleep(random.uniform(0.2, 2.0))
    soak.checks.note(f"cut off {model.id}")
    soak.platform.set_executor_links(model.id, "drop")
    await trio.sleep(random.uniform(3.0, 9.0))
    soak.checks.note(f"{model.id} is back")
    _return(soak, model)


def _disconnect(soak: "Soak", model: ExecutorModel) -> None:
    model.unresponsive = True
    soak.platform.set_executor_links(model.id, "cut")
    model.crash()


async def _stay_away(soak: "Soak", fault: Fault, model: ExecutorModel) -> None:
    """Wait for the end of a fault; the entry of the executor may expire."""
    with trio.move_on_after(fault.seconds):
        await trio.sleep(EXPIRY_SECONDS)
        soak.platform.store.remove("servers", model.id)
        await trio.sleep_forever()


def _return(soak: "Soak", model: ExecutorModel) -> None:
    model.unresponsive = False
    soak.platform.set_executor_links(model.id, "up")
    soak.platform.register(model)


async def _replace(soak: "Soak", model: ExecutorModel) -> None:
    soak.platform.executors.pop(model.id)
    soak.platform.executor_links.pop(model.id)
    soak.platform.store.remove("servers", model.id)
    new = await soak.platform.open_executor(model.pool)
    soak.checks.note(f"{new.id} replaces {model.id}")


async def silence_executor(soak: "Soak", fault: Fault, model: ExecutorModel) -> None:
    """Silence an executor, which comes back in the same lifetime."""
    soak.checks.note(f"silence {model.id} for {fault.seconds:.1f} s")
    model.unresponsive = True
    soak.platform.set_executor_links(model.id, "drop")
    await _stay_away(soak, fault, model)
    _return(soak, model)


async def drain_executor(soak: "Soak", fault: Fault, model: ExecutorModel) -> None:
    """Let an executor report that it drains, leave and be replaced."""
    soak.checks.note(f"drain {model.id}")
    model.draining = True
    soak.platform.register(model)
    await trio.sleep(2 + fault.seconds / 2)
    _disconnect(soak, model)
    await _replace(soak, model)


def make_order_fault(attribute: str) -> ExecutorAction:
    """Return a fault of some start orders, which the attribute counts."""

    async def disturb_orders(soak: "Soak", fault: Fault, model: ExecutorModel) -> None:
        soak.checks.note(f"{fault.count} {attribute} on {model.id}")
        setattr(model, attribute, fault.count)
        await trio.sleep(fault.seconds)
        setattr(model, attribute, 0)
        model.execute_late_orders()

    return disturb_orders


def find_present(soak: "Soak") -> list[ExecutorModel]:
    """Return the executors that no fault concerns."""
    return [
        model
        for model in soak.platform.executors.values()
        if not model.unresponsive and not model.draining
    ]


def on_executor(action: ExecutorAction) -> Action:
    """Return a fault that acts on one executor, unless all are away."""

    async def act(soak: "Soak", fault: Fault) -> None:
        models = find_present(soak)
        if models:
            await action(soak, fault, models[fault.position % len(models)])

    return act


FAULTS: dict[str, Action] = {
    "kill": kill_daemon,
    "kill_all": kill_all_daemons,
    "stop": stop_daemon,
    "pause": pause_daemon,
    "close_store": close_store,
    "stop_store": stop_store,
    "break_store": break_store,
    "slow_store": slow_store,
    "lose_store_answers": lose_store_answers,
    "forget_history": forget_history,
    "cut": make_link_fault("cut"),
    "drop": make_link_fault("drop"),
    "drop_requests": make_link_fault("drop_requests"),
    "drop_answers": make_link_fault("drop_answers"),
    "delay": make_link_fault("delay"),
    "silence": make_link_fault("silence"),
    "crash_executor": on_executor(crash_executor),
    "restart_executor": on_executor(restart_executor),
    "restart_before_cut": restart_before_cut,
    "silence_executor": on_executor(silence_executor),
    "drain_executor": on_executor(drain_executor),
    "lose_start_answers": on_executor(make_order_fault("lost_answers")),
    "delay_starts": on_executor(make_order_fault("late_orders")),
    "refuse_starts": on_executor(make_order_fault("unhealthy_orders")),
}
