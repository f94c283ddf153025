"""Executors that start again unnoticed and are cut off soon after."""

import trio

from emulator.fleet_executors import ExecutorModel, SubtaskBehaviour
from test.fleet_world import SMALL, make_step, open_world


async def test_ends_of_a_new_lifetime_are_not_acknowledged_unread(
    autojump_clock, monkeypatch
):
    """Guards against another run after an end that nobody has read.

    The acknowledgement of earlier ends gets no answer as the executor starts
    again. A run that the new lifetime has ended meanwhile has one of their numbers.
    """
    handle_hold = ExecutorModel.handle_hold

    def crash_at_acknowledgement(model, due_ms, fence, acked) -> None:
        if acked and not model.silences:
            model.fall_silent()
            model.crash()
        handle_hold(model, due_ms, fence, acked)

    monkeypatch.setattr(ExecutorModel, "handle_hold", crash_at_acknowledgement)
    work = SubtaskBehaviour(0.3, size=SMALL)
    async with open_world() as world:
        model = world.add_executor()
        world.start_daemon("a")
        await trio.sleep(2)
        world.submit(make_step(5, seconds=0.3), work=work)
        await world.wait_for(lambda: model.silent, 5)
        await trio.sleep(0.3)
        model.restart()
        model.answer_again()
        model.report_start = lambda model, record: model.fall_silent()
        job = world.submit(make_step(seconds=0.3), work=work)
        await world.wait_for(lambda: world.count_runs(job) == 1, 1)
        model.report_start = lambda model, record: None
        await trio.sleep(0.5)
        model.answer_again()
        await trio.sleep(1)
        world.register_executor(model)
        await world.wait_for(lambda: world.state(job) == "completed", 20)
        world.check_runs()
