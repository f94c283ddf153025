"""A copy of a log only moves forward, in whatever order entries arrive."""

import pytest
import trio
from hypothesis import given, settings, strategies as st

from hemlockstand.coordination.versions import VersionedCopy, VersionGap

KEPT_ENTRIES = 5
versions = st.integers(min_value=1, max_value=12)
offers = st.tuples(st.just("offer"), versions)
replacements = st.tuples(st.just("replace"), versions)


def append(state, entry):
    return (*state, entry)


def make_copy():
    return VersionedCopy(apply=append, state=(), keep=KEPT_ENTRIES)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(st.one_of(offers, offers, replacements), max_size=60))
def test_any_order_equals_log_prefix(steps):
    """Guards against lost, repeated or reverted entries.

    The reference model is the log itself: the state at version V is its first
    V entries, and the version is the highest that the steps so far allow.
    """
    copy = make_copy()
    version = 0
    for step, target in steps:
        if step == "replace":
            assert copy.replace(target, tuple(range(1, target + 1))) == (
                target > version
            )
            version = max(version, target)
        elif target > version + 1:
            with pytest.raises(VersionGap):
                copy.offer(target, target)
        else:
            assert copy.offer(target, target) == (target == version + 1)
            version = max(version, target)
        assert copy.version == version
        assert copy.state == tuple(range(1, version + 1))
        check_entries(copy)


def check_entries(copy):
    for after in range(copy.version + 1):
        entries = copy.entries_after(after)
        if entries is None:
            continue
        assert entries == list(range(after + 1, copy.version + 1))
    assert copy.entries_after(copy.version + 3) == []


def test_entries_are_kept_up_to_the_limit():
    """Guards against entries that are kept without limit or not at all."""
    copy = make_copy()
    for version in range(1, 11):
        copy.offer(version, version)
    assert copy.entries_after(5) == [6, 7, 8, 9, 10]
    assert copy.entries_after(4) is None


def test_failed_entry_leaves_the_state():
    """Guards against a version that advances although its entry failed."""

    def refuse(state, entry):
        raise ValueError(entry)

    copy = VersionedCopy(apply=refuse, state="before")
    with pytest.raises(ValueError):
        copy.offer(1, "broken")
    assert (copy.version, copy.state) == (0, "before")


async def test_waiters_wake_at_their_version(autojump_clock):
    """Guards against a waiter that is not woken if its version is skipped."""
    copy = make_copy()
    woken = []

    async def wait(version):
        await copy.wait(version)
        woken.append(version)

    async with trio.open_nursery() as nursery:
        for version in (1, 3, 4):
            nursery.start_soon(wait, version)
        await trio.sleep(1)
        copy.offer(1, 1)
        await trio.sleep(1)
        assert woken == [1]
        copy.replace(5, (1, 2, 3, 4, 5))
    assert sorted(woken) == [1, 3, 4]
