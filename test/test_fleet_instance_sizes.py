"""Views of the load call capacities complete only if all are known."""

from types import SimpleNamespace

import attrs
import pytest

from hemlockstand.fleet.job_registry import JobRegistry
from hemlockstand.fleet.load_publisher import LoadPublisher
from hemlockstand.fleet.model import (
    InstanceEntry,
    InstanceState,
    JobSpec,
    Resources,
    Step,
)
from hemlockstand.fleet.plans import InstancePlans
from test.fleet_world import USUAL, make_config

LISTED = InstanceEntry("m-1", "pool", InstanceState.UP, "dc1", (), USUAL, "")
LARGE = Resources(64_000, 262_144)
SETTLED = 60.0  # seconds after which a scheduler knows the usual capacities


def make_executor(name: str, capacity: Resources) -> SimpleNamespace:
    """Return an executor without runs."""
    entry = SimpleNamespace(
        id=name, pool="pool", capacity=capacity, draining=False, data_centre="dc1"
    )
    return SimpleNamespace(
        id=name,
        entry=entry,
        is_in_store=True,
        reserved=False,
        reachable=True,
        runs={},
        used=Resources(),
    )


@pytest.fixture
def publisher():
    """A publisher whose pool lacks room, with one listed instance."""
    config = make_config()
    queue = config.queues[0]
    registry = JobRegistry()
    step = Step(1000, Resources(1000, 512), 1000)
    spec = JobSpec("0" * 16, queue.name, queue.pool, "team", "", (step,))
    job = registry.add(spec, 1, None, 0.0, 0)
    job.objective_seconds = job.deadline = 1e9
    state = SimpleNamespace(
        registry=registry, config=config, executors={}, clock=lambda: 0.0
    )
    plans = InstancePlans(state)
    plans.apply_list([LISTED], 0.0)
    return LoadPublisher(state, plans, frozenset())


def build(publisher: LoadPublisher, now: float = SETTLED):
    """Return the view of a time."""
    return publisher.build(now, int(1000 * now))


def test_known_capacities_are_complete(publisher):
    """Guards against jobs that wait for good because no view is complete."""
    build(publisher, 0.0)
    view = build(publisher)
    assert view.complete
    assert [(kind.capacity, kind.count) for kind in view.kinds] == [(USUAL, 1)]


@pytest.mark.parametrize("capacity", [Resources(16_000, 0), Resources(0, 65_536)])
def test_capacity_that_is_partly_unknown(publisher, capacity):
    """Guards against "larger than any instance" by a memory that is not listed."""
    publisher.plans.apply_list([attrs.evolve(LISTED, capacity=capacity)], 0.0)
    build(publisher, 0.0)
    assert not build(publisher).complete


def test_executor_outside_the_list_that_restarts(publisher):
    """Guards against a wrong "never" while the largest executor is away."""
    executors = publisher.state.executors
    executors["i-9"] = make_executor("i-9", LARGE)
    build(publisher, 0.0)
    del executors["i-9"]
    view = build(publisher)
    assert not view.complete or LARGE in {kind.capacity for kind in view.kinds}
    executors["i-9"] = make_executor("i-9", USUAL)
    view = build(publisher, SETTLED + 1)
    assert LARGE in {kind.capacity for kind in view.kinds}
    del executors["i-9"]
    view = build(publisher, SETTLED + 700)
    assert LARGE not in {kind.capacity for kind in view.kinds}


def test_capacity_that_shrinks_before_the_shortage(publisher):
    """Guards against a wrong "never" by a capacity that is reduced for a while."""
    publisher.plans.apply_list([attrs.evolve(LISTED, executor="i-1")], 0.0)
    executors = publisher.state.executors
    executors["i-1"] = make_executor("i-1", LARGE)
    ready = publisher.state.registry.ready
    waiting = dict(ready)
    ready.clear()
    build(publisher, 0.0)
    ready.update(waiting)
    executors["i-1"] = make_executor("i-1", USUAL)
    assert [kind.capacity for kind in build(publisher).kinds] == [LARGE]


def test_capacities_after_a_takeover(publisher):
    """Guards against a wrong "never" by what a new scheduler sees at first."""
    for now in (0.0, 1.0, 5.0):
        assert not build(publisher, now).complete


def test_instance_whose_entry_cannot_be_read(publisher):
    """Guards against a wrong "never" while one instance is not known at all."""
    build(publisher, 0.0)
    publisher.plans.unreadable = 1
    assert not build(publisher).complete
    publisher.plans.unreadable = 0
    assert build(publisher, SETTLED + 1).complete


def test_instance_that_is_gone_is_forgotten(publisher):
    """Guards against a record of instances that grows with each replacement."""
    for number in range(50):
        listed = attrs.evolve(LISTED, name=f"m-{number}")
        publisher.plans.apply_list([listed], 0.0)
        view = build(publisher, SETTLED + number)
    assert sum(kind.count for kind in view.kinds) <= 1
    assert len(publisher.sizes._sizes) == 1
