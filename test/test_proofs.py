"""The copy in which bench.proofs removes a safeguard can run tests."""

import subprocess
import sys

from bench.proofs import copy_tree


def test_copy_has_the_files_that_tests_read_at_import(tmp_path):
    """Guards against proofs in which pytest stops before any test."""
    copy_tree(tmp_path)
    command = [sys.executable, "-m", "pytest", "--collect-only"]
    result = subprocess.run(
        [*command, "-p", "no:cacheprovider", "test/test_kernel.py"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr
