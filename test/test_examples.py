"""The examples in the doc comments run as written."""

import doctest
from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules, walk_packages

import pytest

import hemlockstand
import hemlockstand.coordination

EMBEDDABLE = {
    f"hemlockstand.coordination.{module.name}"
    for module in iter_modules(hemlockstand.coordination.__path__)
}


def list_modules():
    """Return the embeddable modules and all others that have an example."""
    found = set(EMBEDDABLE)
    for module in walk_packages(hemlockstand.__path__, "hemlockstand."):
        path = Path(module.module_finder.path, module.name.rpartition(".")[2])
        source = path.with_suffix(".py")
        if source.exists() and ">>> " in source.read_text(encoding="utf-8"):
            found.add(module.name)
    return sorted(found)


@pytest.mark.parametrize("name", list_modules())
def test_examples_run(name):
    """Guards against an example that no longer holds, or is missing."""
    result = doctest.testmod(import_module(name))
    assert result.attempted > 0
    assert result.failed == 0
