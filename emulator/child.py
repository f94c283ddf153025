"""Runs a module in a process that ends with its parent.

``python -m emulator.child MODULE ARGUMENT…`` asks the kernel to kill the
process when its parent dies, then runs the module like ``python -m``. This is
not done between fork and exec: a parent that has used gRPC runs gRPC's fork
handlers there, which crashed children of the test process.
"""

import ctypes
import runpy
import signal
import sys

PR_SET_PDEATHSIG = 1


def main() -> None:
    """Run the module that the command line names."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    module = sys.argv[1]
    del sys.argv[1]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
