"""Limits of this process, for settings that a deployment does not give.

Both functions measure once per process, so that a check of the settings file
while the daemon serves gives the same values and opens no descriptors.
"""

import os
import resource
import socket
from collections.abc import Iterator
from functools import cache
from pathlib import Path

from attrs import frozen

MEGABYTE = 1 << 20
# The largest machine of the platform's pages has 552 MB. Elsewhere the machine's
# memory is not that of one process alone.
MAX_MEMORY_MB = 1024
# Enough for 512 clients. The process's own limit may be above the real one.
MAX_DESCRIPTORS = 1024
CGROUP_FILE = Path("/sys/fs/cgroup/memory.max")


@frozen
class DerivedValue:
    """A value that stands in for a setting, and where it comes from."""

    value: int
    source: str


@cache
def measure_memory_mb() -> DerivedValue:
    """Return the least limit on the memory of this process, in MB."""
    limits = [DerivedValue(MAX_MEMORY_MB, "default"), *_find_memory_limits()]
    return min(limits, key=lambda limit: limit.value)


def _find_memory_limits() -> Iterator[DerivedValue]:
    kinds = {"RLIMIT_AS": resource.RLIMIT_AS, "RLIMIT_DATA": resource.RLIMIT_DATA}
    for name, kind in kinds.items():
        limit = resource.getrlimit(kind)[0]
        if limit != resource.RLIM_INFINITY:
            yield DerivedValue(limit // MEGABYTE, name)
    try:
        yield DerivedValue(int(CGROUP_FILE.read_text()) // MEGABYTE, str(CGROUP_FILE))
    except (OSError, ValueError):
        pass  # there is no such file, or it says "max"
    try:
        pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        yield DerivedValue(pages // MEGABYTE, "memory of the machine")
    except (OSError, ValueError):
        pass


@cache
def measure_descriptors() -> DerivedValue:
    """Return how many descriptors this process may have open.

    Sockets may have a limit below RLIMIT_NOFILE, so some are opened and closed.
    """
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    wanted = MAX_DESCRIPTORS
    if limit != resource.RLIM_INFINITY:
        wanted = min(limit, wanted)
    opened: list[socket.socket] = []
    try:
        while len(opened) < wanted:
            opened.append(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    except OSError:
        return DerivedValue(len(opened), "sockets that could be opened")
    finally:
        for each in opened:
            each.close()
    return DerivedValue(wanted, "default")
