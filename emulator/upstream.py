"""Stand-in for upstreams; one process hosts several executors::

    python -m emulator.upstream --ports 7001,7002 --names hinge-1,hinge-2

Each executor has a port of its own. ``POST /behaviour`` on the port of an
executor changes its behaviour. ``GET /record`` on any port returns the runs
of all executors of the process, ``GET /record?executor=NAME`` those of one
executor, and ``GET /record?runs=0`` only the counts.
"""

import random
from functools import partial

import attrs
import trio
from absl import app, flags
from attrs import define

from emulator.executors import Behaviour, Executor, ServiceTimes
from emulator.web import WebRequest, WebResponse, refuse, reply, serve_handler

RUN_PREFIX = "/run/"


@define
class UpstreamState:
    """The executors of this process, by port."""

    executors: dict[int, Executor]

    async def handle(self, executor: Executor, request: WebRequest) -> WebResponse:
        """Answer one request to an executor."""
        path = request.path
        if path.startswith(RUN_PREFIX) and request.method == "POST":
            return await executor.run(path.removeprefix(RUN_PREFIX), request)
        match request.method, path:
            case "GET", "/health":
                return executor.show_health()
            case "GET", "/record":
                return self._show_record(request.query())
            case "POST", "/behaviour":
                executor.update_behaviour(request.json(Behaviour))
                return reply({})
        return refuse(404, f"unknown call {request.method} {path}")

    async def serve_executor(self, host: str, port: int) -> None:
        """Serve one executor; a reboot closes its port for a while."""
        executor = self.executors[port]
        handler = partial(self.handle, executor)
        while True:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_handler, handler, [f"{host}:{port}"])
                await executor.rebooting.wait()
                nursery.cancel_scope.cancel()
            await trio.sleep(executor.reboot_seconds)
            executor.rebooting = trio.Event()
            executor.leaving = False

    def _show_record(self, query: dict[str, str]) -> WebResponse:
        wanted = query.get("executor")
        executors = [
            executor
            for executor in self.executors.values()
            if wanted in (None, executor.name)
        ]
        record = {"executors": [entry.show_record() for entry in executors]}
        if query.get("runs") != "0":
            record["runs"] = [
                attrs.asdict(run) for entry in executors for run in entry.runs
            ]
        return reply(record)


def make_executors(
    ports: list[int],
    names: list[str],
    slots: int,
    connections: int,
    service_seconds: float,
    spread: float,
    seed: int,
) -> dict[int, Executor]:
    """Return executors by port, each with its own seeded service times."""
    return {
        port: Executor(
            name,
            slots,
            connections,
            ServiceTimes(service_seconds, spread, random.Random(f"{seed} {name}")),
        )
        for port, name in zip(ports, names, strict=True)
    }


async def run_upstream(host: str, executors: dict[int, Executor]) -> None:
    """Serve all executors until the process ends."""
    state = UpstreamState(executors)
    async with trio.open_nursery() as nursery:
        for port in executors:
            nursery.start_soon(state.serve_executor, host, port)


def main(arguments: list[str]) -> None:
    """Run the stand-in with the flags from the command line."""
    del arguments
    values = flags.FLAGS
    ports = [int(port) for port in values.ports]
    names = values.names or [f"executor-{port}" for port in ports]
    executors = make_executors(
        ports,
        names,
        values.slots,
        values.connections,
        values.service_ms / 1000,
        values.spread,
        values.seed,
    )
    trio.run(run_upstream, values.host, executors)


if __name__ == "__main__":
    flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
    flags.DEFINE_list(
        "ports", ["7001"], "Ports, one per executor, separated by commas."
    )
    flags.DEFINE_list("names", [], "Names of the executors, in the same order.")
    flags.DEFINE_integer("slots", 8, "Requests that one executor runs at once.")
    flags.DEFINE_integer(
        "connections", 60, "Most requests, running and waiting, of one executor."
    )
    flags.DEFINE_float("service_ms", 20.0, "Mean service time in milliseconds.")
    flags.DEFINE_float(
        "spread", 0.3, "Half width of the service times, relative to the mean."
    )
    flags.DEFINE_integer("seed", 1, "Seed of the service times.")
    app.run(main)
