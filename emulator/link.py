"""TCP proxy whose links can be cut, stalled or delayed::

    python -m emulator.link --control_port 6000 \\
        --links NAME=LISTEN_PORT=HOST:PORT,...

``POST /links`` with ``{"names": ["dc1>*"], "mode": "cut"}`` changes the links
whose name matches one of the patterns. ``cut`` closes open connections and
each new one. ``drop`` stalls connections as lost packets do: nothing passes,
and what was sent arrives when the link is up again. ``drop_requests`` and
``drop_answers`` do so in one direction only. ``delay`` delays each chunk by
``delay_seconds``. ``silence`` stalls the open connections for good, while new
ones work.
"""

from fnmatch import fnmatchcase
from functools import partial
from typing import Any, Literal

import msgspec
import trio
from absl import app, flags
from attrs import define, field

from emulator.relay import relay
from emulator.web import WebRequest, WebResponse, refuse, reply, serve_handler


class LinkChange(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /links``."""

    names: list[str]
    mode: Literal[
        "up", "cut", "drop", "drop_requests", "drop_answers", "delay", "silence"
    ]
    delay_seconds: float = 0.0


@define(eq=False)
class Link:
    """A listening port and the target that it is forwarded to."""

    name: str
    port: int
    target_host: str
    target_port: int
    mode: str = "up"
    delay_seconds: float = 0.0
    accepted: int = 0
    passed_bytes: int = 0
    passed_chunks: int = 0
    _silenced: int = 0  # connections up to this number are stalled for good
    _scopes: set[trio.CancelScope] = field(factory=set)
    _changed: trio.Event = field(factory=trio.Event)

    def change(self, mode: str, delay_seconds: float) -> None:
        """Set the mode for open and new connections."""
        if mode == "silence":
            self._silenced = self.accepted
            mode = "up"
        self.mode = mode
        self.delay_seconds = delay_seconds
        self._changed.set()
        self._changed = trio.Event()
        if mode == "cut":
            for scope in self._scopes:
                scope.cancel()

    def show(self) -> dict[str, Any]:
        """Return the mode and the traffic so far, both directions together."""
        return {
            "name": self.name,
            "mode": self.mode,
            "accepted": self.accepted,
            "bytes": self.passed_bytes,
            "chunks": self.passed_chunks,
        }

    async def accept(self, caller: trio.SocketStream) -> None:
        """Forward a caller's connection to the target as the mode allows."""
        if self.mode == "cut":
            await trio.aclose_forcefully(caller)
            return
        self.accepted += 1
        scope = trio.CancelScope()
        self._scopes.add(scope)
        try:
            with scope:
                await self._forward(caller)
        finally:
            self._scopes.discard(scope)
            await trio.aclose_forcefully(caller)

    async def _forward(self, caller: trio.SocketStream) -> None:
        number = self.accepted
        to_target = partial(self._apply_mode, number, ("drop", "drop_requests"))
        to_caller = partial(self._apply_mode, number, ("drop", "drop_answers"))
        await to_target(0)
        try:
            target = await trio.open_tcp_stream(self.target_host, self.target_port)
        except OSError:
            return
        await relay(caller, target, to_target, to_caller)

    async def _apply_mode(self, number: int, stalled: tuple[str, ...], size: int):
        while self.mode in stalled or number <= self._silenced:
            await self._changed.wait()
        if self.mode == "delay":
            await trio.sleep(self.delay_seconds)
        if size:
            self.passed_bytes += size
            self.passed_chunks += 1


@define
class LinkState:
    """All links of this process."""

    links: list[Link]

    async def handle(self, request: WebRequest) -> WebResponse:
        """Answer one request on the control port."""
        match request.method, request.path:
            case "POST", "/links":
                change = request.json(LinkChange)
                names = list(self._apply(change))
                if not names:
                    return refuse(404, f"no link matches {change.names}")
                return reply({"links": names})
            case "GET", "/links":
                return reply({"links": [link.show() for link in self.links]})
        return refuse(404, f"unknown call {request.method} {request.path}")

    def _apply(self, change: LinkChange) -> list[str]:
        chosen = [
            link
            for link in self.links
            if any(fnmatchcase(link.name, pattern) for pattern in change.names)
        ]
        for link in chosen:
            link.change(change.mode, change.delay_seconds)
        return [link.name for link in chosen]


def parse_link(text: str) -> Link:
    """Read ``NAME=LISTEN_PORT=HOST:PORT``; raises ``ValueError``."""
    name, port, target = text.split("=")
    host, _, target_port = target.rpartition(":")
    return Link(name, int(port), host, int(target_port))


async def run_links(state: LinkState, host: str, control_port: int) -> None:
    """Serve until the process ends."""
    async with trio.open_nursery() as nursery:
        control = [f"{host}:{control_port}"]
        nursery.start_soon(serve_handler, state.handle, control)
        for link in state.links:
            listeners = await trio.open_tcp_listeners(link.port, host=host)
            nursery.start_soon(trio.serve_listeners, link.accept, listeners)


def main(arguments: list[str]) -> None:
    """Run the proxy with the flags from the command line."""
    del arguments
    values = flags.FLAGS
    state = LinkState([parse_link(text) for text in values.links])
    trio.run(run_links, state, values.host, values.control_port)


if __name__ == "__main__":
    flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
    flags.DEFINE_integer("control_port", 6000, "Port for POST and GET /links.")
    flags.DEFINE_list("links", [], "NAME=LISTEN_PORT=HOST:PORT, separated by commas.")
    app.run(main)
