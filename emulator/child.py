"""Run a module in a process that ends when its parent does.

``python -m emulator.child MODULE ARGUMENT…`` asks the kernel to kill the
process when its parent dies, then runs the module like ``python -m``. If the
parent, ``PARENT_PID`` in the environment, is already dead, it exits at once. A
``preexec_fn``, which runs between fork and exec, is not used for this: in a
parent that has used gRPC, gRPC's fork handlers run there too, and they
crashed children of the test process.
"""

import ctypes
import os
import runpy
import signal
import sys

PR_SET_PDEATHSIG = 1
PARENT_PID = "PARENT_PID"


def main() -> None:
    """Run the module that is the first argument of the command line."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    parent = os.environ.get(PARENT_PID, "")
    if parent and int(parent) != os.getppid():
        sys.exit("the parent has ended before this process could follow it")
    module = sys.argv[1]
    del sys.argv[1]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
