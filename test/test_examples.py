"""The examples in the doc comments of the embeddable parts run as written."""

import doctest
from importlib import import_module
from pkgutil import iter_modules

import pytest

import hemlockstand.coordination

MODULES = [
    f"hemlockstand.coordination.{module.name}"
    for module in iter_modules(hemlockstand.coordination.__path__)
] + ["hemlockstand.configuration.changes"]


@pytest.mark.parametrize("name", MODULES)
def test_examples_run(name):
    """Guards against an example that no longer holds."""
    result = doctest.testmod(import_module(name))
    assert result.attempted > 0
    assert result.failed == 0
