"""Sizes of the fleets that the demo, the tests and the benchmarks start."""

from attrs import frozen

WORKER_CORES = 16.0
WORKER_MEMORY_MB = 32 * 1024
WORKERS_PER_RACK = 4


@frozen
class FleetShape:
    """The processes and instances of a fleet.

    Each desk has a pool of executors with the desk's name and a pool of
    workers named ``DESK-workers``, both spread over the data centres in turn.
    ``executors`` and ``workers`` are numbers per desk, ``slots`` and
    ``connections`` per executor.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    desks: tuple[str, ...]
    executors: int
    slots: int
    connections: int
    workers: int
    daemons: int
    sheet: str = ""

    def choose_data_centre(self, number: int) -> str:
        """Return the data centre of an instance; numbers begin at 0."""
        return self.data_centres[number % len(self.data_centres)]


SAKDA = FleetShape(
    name="sakda",
    region="thailand",
    data_centres=("bkk-1", "bkk-2", "cnx-1", "cnx-2"),
    desks=("hinge", "clamp", "small-wheel", "frame", "ledger"),
    executors=8,
    slots=8,
    connections=60,
    workers=8,
    daemons=9,
    sheet="sakda.csv",
)

BRIGHTFOLD = FleetShape(
    name="brightfold",
    region="north",
    data_centres=("east", "mid", "west"),
    desks=("pickups", "pricing", "flame-retardant", "tracking", "back-office"),
    executors=6,
    slots=8,
    connections=60,
    workers=6,
    daemons=9,
    sheet="brightfold.csv",
)

SMALL = FleetShape(
    name="small",
    region="test",
    data_centres=("dc1", "dc2"),
    desks=("hinge", "ledger"),
    executors=2,
    slots=4,
    connections=30,
    workers=2,
    daemons=2,
    sheet="small.csv",
)
