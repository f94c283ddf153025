"""The examples in the doc comments of the coordination parts run as shown."""

import doctest

import pytest

from hemlockstand.coordination import commits, escrow, lease, ledger, requestids


@pytest.mark.parametrize("module", [lease, escrow, commits, ledger, requestids])
def test_doc_comment_example(module):
    """Guards against documentation that no longer matches the code."""
    result = doctest.testmod(module)
    assert result.attempted > 0
    assert result.failed == 0
