"""Crowds of clients that do not behave, against daemon processes.

The bounds follow from the smallest machine, on which a daemon has 200 MB and
needs about 50 MB when idle. Half of that machine is configured here, so that a
small crowd exceeds its limits.
"""

import json
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import repeat
from pathlib import Path

import httpx
import pytest
import trio
from attrs import frozen

from test.test_fleet_daemon import (
    CONFIG,
    SETTINGS as PLAIN_SETTINGS,
    START_SECONDS,
    open_fleet,
)

CROWD = 240  # a fifth of the connections with which the design page measured
# A third of 100 MB, half the memory of the smallest machine. The rest is for the
# idle daemon and its scheduler.
GROWTH_KB = 32 * 1024
MAX_DESCRIPTORS = 150
BODY_BYTES = 262_144  # the largest that the configuration allows
SETTINGS = f"""{PLAIN_SETTINGS}
[clients]
memory_mb = 100
max_descriptors = {MAX_DESCRIPTORS}
"""
HOLD_SECONDS = 1.2  # time for which a crowd stays
CONNECT_SECONDS = 0.5  # in this time a crowd has sent what it sends first
SAMPLE_SECONDS = 0.05
JOB = {"Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 500}]}
PLACES = {
    "route": (8100, "/quotes/00000000000000c1", "/quotes/"),
    "no route": (8100, "/nothing", "/nothing"),
    "readiness": (8101, "/ready", "/ready"),
    "metrics": (8102, "/metrics", "/metrics"),
}


def make_head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request with the key of a workspace."""
    fixed = (f"{method} {path} HTTP/1.1", "Host: desk.example")
    return "\r\n".join(
        (*fixed, "Authorization: Bearer the-key", *lines, "", "")
    ).encode()


def make_post(path: str, length: int) -> bytes:
    """Return the head of a request with a body."""
    return make_head("POST", path, f"Content-Length: {length}")


Pieces = Iterator[tuple[bytes, float]]  # what is sent, and the pause after it


def send_whole(post: str, _get: str) -> Pieces:
    """Send a body that ends a few bytes early, in one piece."""
    yield make_post(post, BODY_BYTES) + b" " * (BODY_BYTES - 5), 0


def send_small_pieces(post: str, _get: str) -> Pieces:
    """Send such a body in 64 pieces."""
    yield make_post(post, BODY_BYTES), 0
    yield from repeat((b" " * (BODY_BYTES // 64 - 1), 0.01), 64)


def send_chunks(post: str, _get: str) -> Pieces:
    """Send a body in chunks, of legal size but without its end."""
    yield make_head("POST", post, "Transfer-Encoding: chunked"), 0
    yield b"".join(repeat(b"100\r\n" + b" " * 256 + b"\r\n", 1_000)), 0


def send_over_the_limit(post: str, _get: str) -> Pieces:
    """Send as much as is read of a body of 200 MB, up to 4 MB."""
    yield make_post(post, 200_000_000), 0
    yield from repeat((b" " * 65_536, 0), 64)


def send_many_fields(post: str, _get: str) -> Pieces:
    """Send a body of many small objects, whose end all send at once."""
    body = b'{"Steps":[' + b"{}," * 87_000 + b"{}]}"
    yield make_post(post, len(body)) + body[:-1], CONNECT_SECONDS
    yield body[-1:], 0


def send_many_headers(post: str, _get: str) -> Pieces:
    """Send 3,000 short headers, in less than 16,384 bytes, and no body."""
    yield make_head("POST", post, "Content-Length: 9", *repeat("a:b", 3_000)), 0


def send_ahead(_post: str, get: str) -> Pieces:
    """Send 2,000 requests without reading an answer."""
    yield make_head("GET", get) * 2_000, 0


def send_slowly(post: str, _get: str) -> Pieces:
    """Send a head and a body byte by byte."""
    whole = make_post(post, BODY_BYTES) + b" " * BODY_BYTES
    yield from ((whole[at : at + 1], 0.02) for at in range(len(whole)))


def send_and_stop(post: str, _get: str) -> Pieces:
    """Send half of a body, or of a head on every other connection."""
    yield make_post(post, BODY_BYTES) + b" " * (BODY_BYTES // 2), 0


def send_half_a_head(post: str, _get: str) -> Pieces:
    """Send a head without its end."""
    head = make_head("POST", post, "X-Long: " + "a" * 15_000)
    yield head[:-40], 0


@frozen
class Crowd:
    """What the connections of a crowd send, in turn, and whether they read."""

    sends: tuple[Callable[[str, str], Pieces], ...]
    read_pause_seconds: float = 0.0  # 0: reads nothing


CROWDS = {
    "whole bodies": Crowd((send_whole,)),
    "small pieces": Crowd((send_small_pieces,)),
    "chunks": Crowd((send_chunks,)),
    "over the limit": Crowd((send_over_the_limit,)),
    "many fields": Crowd((send_many_fields,)),
    "many headers": Crowd((send_many_headers,)),
    "sent ahead": Crowd((send_ahead,)),
    "slow senders": Crowd((send_slowly,)),
    "slow readers": Crowd((send_ahead,), read_pause_seconds=0.05),
    "stops halfway": Crowd((send_and_stop, send_half_a_head)),
}


@frozen
class Process:
    """What the system shows about a process."""

    number: int

    def read_kb(self, name: str) -> int:
        """Return a figure of memory in KB, for example ``VmHWM``."""
        text = Path(f"/proc/{self.number}/status").read_text()
        (line,) = (line for line in text.splitlines() if line.startswith(f"{name}:"))
        return int(line.split()[1])

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return sum(1 for _ in Path(f"/proc/{self.number}/fd").iterdir())

    def reset_peak(self) -> None:
        """Let the peak memory start again from the present memory."""
        Path(f"/proc/{self.number}/clear_refs").write_text("5")


async def run_client(crowd: Crowd, host: str, place: str, position: int) -> None:
    """Connect, send as the crowd does, then keep the connection open."""
    port, post, get = PLACES[place]
    send = crowd.sends[position % len(crowd.sends)]
    with suppress(OSError, trio.BrokenResourceError):
        stream = await trio.open_tcp_stream(host, port)
        async with stream, trio.open_nursery() as nursery:
            if crowd.read_pause_seconds:
                nursery.start_soon(read_slowly, stream, crowd.read_pause_seconds)
            # The daemon may close the connection at any time.
            with suppress(trio.BrokenResourceError):
                for piece, pause in send(post, get):
                    await stream.send_all(piece)
                    await trio.sleep(pause)
            await trio.sleep_forever()


async def read_slowly(stream: trio.SocketStream, pause: float) -> None:
    """Read byte by byte."""
    with suppress(trio.BrokenResourceError):
        while await stream.receive_some(1):
            await trio.sleep(pause)


async def send_crowd(crowd: Crowd, host: str, place: str, process: Process) -> int:
    """Hold a crowd at a place; return the most descriptors open meanwhile."""
    highest = 0
    with trio.move_on_after(HOLD_SECONDS):
        async with trio.open_nursery() as nursery:
            for position in range(CROWD):
                nursery.start_soon(run_client, crowd, host, place, position)
            while True:
                highest = max(highest, process.count_descriptors())
                await trio.sleep(SAMPLE_SECONDS)
    return highest


async def run_job(fleet, host: str, job: str) -> None:
    """Submit a job, again while it is refused with 503, and wait for its end."""
    with trio.fail_after(START_SECONDS):
        while True:
            reply = await fleet.call(host, "POST", f"/quotes/{job}", json=JOB)
            if reply.status_code == 200:
                break
            assert reply.status_code == 503, reply.text
            await trio.sleep(SAMPLE_SECONDS)
    await fleet.wait_state(host, job, "completed")


async def find_faults(crowd: Crowd, fleet, host: str) -> list[str]:
    """Return what a crowd does to a daemon at each of the places."""
    daemon = fleet.processes[host]
    process = Process(daemon.pid)
    bound_kb = process.read_kb("VmRSS") + GROWTH_KB
    faults = []
    for position, place in enumerate(PLACES):
        process.reset_peak()
        descriptors = await send_crowd(crowd, host, place, process)
        if daemon.poll() is not None:
            return [*faults, f"{place}: the process has ended"]
        try:
            await run_job(fleet, host, f"00000000000000d{position}")
        except (httpx.TransportError, trio.TooSlowError) as error:
            faults.append(f"{place}: a job was not run: {error!r}")
            if daemon.poll() is not None:
                return [*faults, f"{place}: the process has ended"]
        if (peak_kb := process.read_kb("VmHWM")) > bound_kb:
            faults.append(f"{place}: {peak_kb} KB, bound {bound_kb}")
        if descriptors > MAX_DESCRIPTORS:
            faults.append(f"{place}: {descriptors} descriptors")
    return faults


async def test_readiness_answers_during_a_crowd_of_callers(tmp_path):
    """Guards against a balancer that takes a crowded daemon for a dead one."""
    async with open_fleet(tmp_path, settings=SETTINGS) as (fleet, (host,)):
        crowd = CROWDS["whole bodies"]
        async with trio.open_nursery() as nursery:
            for position in range(CROWD):
                nursery.start_soon(run_client, crowd, host, "route", position)
            await trio.sleep(CONNECT_SECONDS)
            for port, path in ((8101, "/ready"), (8102, "/metrics")):
                reply = await fleet.client.get(f"http://{host}:{port}{path}")
                assert reply.status_code == 200
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize("name", CROWDS)
async def test_crowd_stays_within_the_limits(tmp_path, name):
    """Guards against clients that take all memory or all descriptors."""
    async with open_fleet(tmp_path, settings=SETTINGS) as (fleet, (host,)):
        config = {**CONFIG, "ConfigVersion": 4, "Limits": {"MaxBodyBytes": BODY_BYTES}}
        fleet.platform.store.put("op", "config", json.dumps(config).encode())
        assert not await find_faults(CROWDS[name], fleet, host)
