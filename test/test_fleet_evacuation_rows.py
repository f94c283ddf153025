"""The operator's evacuations as each daemon reads them, on virtual time."""

from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import pytest
import trio

from emulator.row_store import RowStoreAccess, RowStoreModel, Transaction
from hemlockstand.errors import InvalidInput, SettingsError
from hemlockstand.fleet.configuration import FleetConfigurationService
from hemlockstand.fleet.settings import load_fleet_settings
from hemlockstand.platform.decoding import decode_evacuation
from hemlockstand.platform.rows import RowWrite
from test.fleet_world import make_settings
from test.test_fleet_daemon import SETTINGS
from test.test_fleet_frontend import StubKernel

CONFIG = b'{"ConfigVersion": 1}'


@pytest.fixture
def clock(autojump_clock):
    """Virtual time that jumps to the next event."""
    return autojump_clock


@asynccontextmanager
async def follow_rows(model: RowStoreModel, evacuate_ms: float | None = 5000):
    """Yield a service that follows the operator's rows, and its store client."""
    settings = make_settings("a")
    bounds = attrs.evolve(settings.bounds, config_apply_ms=10_000)
    bounds = attrs.evolve(bounds, evacuate_ms=evacuate_ms)
    rows = RowStoreAccess(model)
    kernel = StubKernel(rows, attrs.evolve(settings, bounds=bounds))
    service = FleetConfigurationService(kernel)
    service._clock = trio.current_time
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.run)
        yield service, rows
        nursery.cancel_scope.cancel()


def make_store(*evacuated: str) -> RowStoreModel:
    """Return a store with a configuration and evacuations."""
    model = RowStoreModel()
    model.put("op", "config", CONFIG)
    for name in evacuated:
        model.put("op", f"evacuate/{name}", b"{}")
    return model


async def test_rows_begin_and_end_evacuations(clock):
    """Guards against an evacuation that is not seen, or outlasts its row."""
    model = make_store("dc1")
    async with follow_rows(model) as (service, _):
        await trio.sleep(1)
        assert service.current.evacuated == {"dc1"}
        model.put("op", "evacuate/dc2", b"not JSON")
        await trio.sleep(1)
        assert service.current.evacuated == {"dc1", "dc2"}
        model.remove("op", "evacuate/dc1")
        model.put("op", "config", b'{"ConfigVersion": 2}')
        await trio.sleep(1)
        assert service.current.evacuated == {"dc2"}
        assert service.current.version == 2


@pytest.mark.parametrize("key", ["evacuate/", "evacuate", "evacuated/dc1"])
async def test_key_without_a_name_changes_nothing(clock, key):
    """Guards against a malformed key that ends what is in force."""
    model = make_store("dc1")
    async with follow_rows(model) as (service, _):
        await trio.sleep(1)
        model.put("op", key, b"{}")
        model.remove("op", key)
        await trio.sleep(1)
        assert service.current.evacuated == {"dc1"}


async def test_row_of_another_part_is_no_evacuation(clock):
    """Guards against rows of other programs that take a data centre away."""
    model = make_store()
    write = RowWrite("op", "evacuate/dc1", b"{}", "other")
    model.apply(Transaction((write,), (), ()))
    async with follow_rows(model) as (service, _):
        await trio.sleep(1)
        model.apply(Transaction((write,), (), ()))
        await trio.sleep(1)
        assert service.current.evacuated == frozenset()


async def test_full_read_replaces_the_set(clock):
    """Guards against an evacuation that stays after its removal was missed."""
    model = make_store("dc1")
    async with follow_rows(model) as (service, rows):
        await trio.sleep(1)
        rows.closed = True
        await trio.sleep(1)
        model.remove("op", "evacuate/dc1")
        model.put("op", "evacuate/dc2", b"{}")
        model.forget_history()
        assert service.current.evacuated == {"dc1"}
        rows.closed = False
        await trio.sleep(2)
        assert service.current.evacuated == {"dc2"}


async def test_full_read_that_is_too_old_ends_nothing(clock):
    """Guards against a lagging store whose rows lack an evacuation in force."""
    model = make_store("dc1")
    async with follow_rows(model) as (service, rows):
        await trio.sleep(1)
        rows.closed = True
        await trio.sleep(1)
        model.put("op", "other", b"{}")
        model.forget_history()
        rows.stale_tables.add("op")
        rows.closed = False
        await trio.sleep(6)
        assert service.current.evacuated == {"dc1"}
        assert not service.fresh
        rows.stale_tables.clear()
        await trio.sleep(1)
        assert service.fresh


@pytest.mark.parametrize(
    ("evacuate_ms", "fresh_seconds"), [(5000, 4), (None, 8), (0, 8), (20_000, 8)]
)
async def test_copy_is_fresh_for_the_shorter_bound(clock, evacuate_ms, fresh_seconds):
    """Guards against starts by a copy that may lack an evacuation."""
    async with follow_rows(make_store(), evacuate_ms) as (service, rows):
        await trio.sleep(1)
        rows.closed = True
        await trio.sleep(1)
        confirmed = service.age_seconds
        await trio.sleep(fresh_seconds - confirmed - 0.1)
        assert service.fresh
        await trio.sleep(0.2)
        assert not service.fresh


def test_name_of_a_data_centre():
    """Guards against a name that is cut, or accepted although it is empty."""
    assert decode_evacuation("evacuate/asia/dc 1") == "asia/dc 1"
    with pytest.raises(InvalidInput, match="evacuate/"):
        decode_evacuation("evacuate/")


def write_settings(directory: Path, line: str) -> Path:
    """Write a settings file that ends with a line of the bounds."""
    path = directory / "a.ini"
    text = SETTINGS.format(name="a", host="127.0.0.1", platform="127.0.0.1:1")
    path.write_text(text + line)
    return path


@pytest.mark.parametrize("value", ["1", "-1", "nan", "long", "1e9"])
def test_bound_that_cannot_be_kept(tmp_path, value):
    """Guards against a daemon that starts, but never a subtask."""
    with pytest.raises(SettingsError, match="evacuate_ms"):
        load_fleet_settings(write_settings(tmp_path, f"evacuate_ms = {value}"))


@pytest.mark.parametrize(
    ("line", "expected"),
    [("", None), ("evacuate_ms =", None), ("evacuate_ms = 5000", 5000)],
)
def test_bound_may_be_empty(tmp_path, line, expected):
    """Guards against a daemon that does not start on a deployment without it."""
    path = write_settings(tmp_path, line)
    assert load_fleet_settings(path).bounds.evacuate_ms == expected
