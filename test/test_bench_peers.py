"""The peers benchmark starts and stops the daemon that it measures."""

import pytest
import trio

from bench import peers
from bench.peers import MEASURED_DAEMON, SECRET, BenchPlatform, run_measured
from hemlockstand.kernel import Kernel
from hemlockstand.peers.service import PeersService
from hemlockstand.platform import service as platform_service
from hemlockstand.settings import load_settings


@pytest.fixture
def settings(tmp_path, monkeypatch):
    """Return the settings of the measured daemon, on the benchmark's platform."""
    path = tmp_path / "hemlockd.ini"
    path.write_text(
        f"[daemon]\nname = {MEASURED_DAEMON}\nregion = central\n"
        "data_centre = dc00\ndata_centres = dc00\n"
        "[listen]\npeer_port = 0\n[platform]\nurl = http://127.0.0.1:9\n"
        f"[peers]\nsecret = {SECRET}\n[operators]\ntoken = {SECRET}\n"
    )
    platform = BenchPlatform()
    monkeypatch.setattr(platform_service, "HttpPlatform", lambda url, timeout: platform)
    return path


async def test_measured_daemon_starts_on_the_benchmark_platform(settings, nursery):
    """Guards against a stand-in that lacks what a started service reads.

    The measured daemon then ended at its start, and the group had no figures.
    """
    kernel = Kernel(load_settings(settings), ("peers",))
    await nursery.start(kernel.serve)
    polled = kernel.find("platform", platform_service.PlatformService).polled
    assert (await polled.read("absent", max_age=1.0)).version == 0


async def test_measured_daemon_stops_its_server(settings, monkeypatch, capsys):
    """Guards against a benchmark that hangs when a daemon stops slowly.

    The daemon was cancelled half a second after it was told to stop, and the
    thread of a server that was not shut down kept its process alive.
    """
    stopped = []
    stop = PeersService.stop

    async def stop_slowly(service: PeersService) -> None:
        await trio.sleep(1.0)
        await stop(service)
        stopped.append(service)

    monkeypatch.setattr(PeersService, "stop", stop_slowly)
    monkeypatch.setattr(peers, "WARM_UP_SECONDS", 0.1)
    monkeypatch.setattr(peers, "WINDOW_SECONDS", 0.1)
    await run_measured("sparse", settings)
    assert stopped
    assert "cpu_percent" in capsys.readouterr().out
