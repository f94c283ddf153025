"""Draws the main figures over time as SVG files into ``docs/plots``.

``make plots`` writes the shares of two teams in a five-fold peak, the progress
of a maintenance wave, and the spread of a configuration change to all
daemons.
"""

from collections import Counter
from pathlib import Path

import matplotlib

matplotlib.use("svg")

import trio  # noqa: E402
from attrs import define, field  # noqa: E402
from matplotlib import pyplot  # noqa: E402

from bench.maintenance import Scenario, make_pools  # noqa: E402
from bench.requests_overload import (  # noqa: E402
    CALM_SECONDS,
    PEAK_SECONDS,
    SHARES,
    run_peak,
)
from bench.spread import CHANGE_AT_SECONDS, Simulation  # noqa: E402
from hemlockstand.verdict import Answered  # noqa: E402

PLOTS = Path(__file__).parents[1] / "docs" / "plots"
BIN_SECONDS = 0.5
FLEET_SIZES = ((9, 3), (66, 22), (220, 22))  # daemons and data centres


def plot_shares() -> None:
    """Draw each team's fraction of served requests, before and in a peak."""
    ended, _ = run_peak()
    served: dict[int, Counter[str]] = {}
    for end in ended:
        if isinstance(end.verdict, Answered) and end.queue in SHARES:
            served.setdefault(int(end.at / BIN_SECONDS), Counter())[end.queue] += 1
    bins = [n for n in sorted(served) if n * BIN_SECONDS < CALM_SECONDS + PEAK_SECONDS]
    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    total_share = sum(SHARES.values())
    for queue, share in SHARES.items():
        fractions = [served[n][queue] / sum(served[n].values()) for n in bins]
        (line,) = axes.plot([n * BIN_SECONDS for n in bins], fractions, label=queue)
        axes.axhline(share / total_share, linestyle=":", color=line.get_color())
    axes.axvline(CALM_SECONDS, color="grey", linewidth=0.8)
    axes.set(
        xlabel="seconds; the peak begins at the grey line",
        ylabel="part of the requests served",
        ylim=(0, 1),
        title="Shares (dotted) in a five-fold peak, one daemon",
    )
    _save(figure, axes, "shares")


async def _run_wave() -> list[tuple[float, int, int]]:
    pools = make_pools(5, 8, 2)
    scenario = Scenario(pools)
    rounds = scenario.make_rounds()
    await scenario.adopt(rounds)
    wave = await scenario.start_wave()
    began = scenario.now
    points = []
    while len(set(scenario.machines.reboots)) < len(scenario.machines.pools):
        for pool in pools:
            await rounds.step_pool(pool, [wave])
        out_of_service = sum(
            not scenario.machines.is_serving(n) for n in scenario.machines.pools
        )
        minutes = (scenario.now - began) / 60
        points.append((minutes, len(set(scenario.machines.reboots)), out_of_service))
        scenario.now += 5
    return points


def plot_wave() -> None:
    """Draw a wave over five pools of eight with budgets of two."""
    points = trio.run(_run_wave)
    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    minutes = [point[0] for point in points]
    axes.plot(minutes, [point[1] for point in points], label="maintained")
    axes.plot(minutes, [point[2] for point in points], label="out of service")
    axes.axhline(10, linestyle=":", color="grey", label="sum of the budgets")
    axes.set(
        xlabel="minutes (a reboot takes 5)",
        ylabel="instances",
        title="A maintenance wave over 40 instances",
    )
    _save(figure, axes, "wave")


@define(eq=False)
class _RecordingSimulation(Simulation):
    """Records over time which fraction of the daemons knows the change."""

    points: list[tuple[float, float]] = field(factory=list)

    def _record_change(self) -> None:
        Simulation._record_change(self)
        known = sum(daemon.tracker.version == 2 for daemon in self._list_running())
        after = self.clock.now - CHANGE_AT_SECONDS
        self.points.append((after, known / len(self._list_running())))


def plot_change() -> None:
    """Draw the fraction of daemons that know a change, by exchanges alone."""
    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    for daemons, data_centres in FLEET_SIZES:
        simulation = _RecordingSimulation(daemons, data_centres)
        simulation.run()
        points = [point for point in simulation.points if 0 <= point[0] <= 3]
        axes.step(
            [point[0] for point in points],
            [point[1] for point in points],
            where="post",
            label=f"{daemons} daemons",
        )
    axes.set(
        xlabel="seconds after the commit (simulated clock)",
        ylabel="part of the daemons",
        ylim=(0, 1.02),
        title="A change of the configuration, spread by peers alone",
    )
    _save(figure, axes, "change")


def _save(figure: pyplot.Figure, axes: pyplot.Axes, name: str) -> None:
    PLOTS.mkdir(exist_ok=True)
    axes.legend(loc="best")
    figure.tight_layout()
    figure.savefig(PLOTS / f"{name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def main() -> None:
    """Draw all plots."""
    matplotlib.rcParams["svg.hashsalt"] = "hemlockstand"
    plot_shares()
    plot_wave()
    plot_change()


if __name__ == "__main__":
    main()
