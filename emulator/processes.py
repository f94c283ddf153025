"""Child processes with log files; each is signalled by its own process id."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from attrs import define, field

from emulator.child import PARENT_PID

LOG_TAIL_LINES = 30


@define
class Child:
    """A process that this program has started."""

    name: str
    process: subprocess.Popen
    log: Path

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def terminate(self) -> None:
        """Send SIGTERM, which asks the process to stop gracefully."""
        if self.alive:
            self.process.terminate()

    def kill(self) -> None:
        """Send SIGKILL, which also ends a paused process, and wait."""
        if self.alive:
            self.process.kill()
        self.process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process with SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    def wait(self, seconds: float) -> int:
        """Wait for the end of the process and return its exit code.

        Raises ``subprocess.TimeoutExpired``.
        """
        return self.process.wait(seconds)

    def read_log_tail(self) -> str:
        """Return the last ``LOG_TAIL_LINES`` lines of the log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])


@define
class ChildGroup:
    """The processes of a fleet, whose logs are in ``directory``."""

    directory: Path
    children: dict[str, Child] = field(factory=dict)

    def start(self, name: str, module: str, arguments: Sequence[str]) -> Child:
        """Start ``python -m MODULE``, whose output goes to ``NAME.log``."""
        log = self.directory / f"{name}.log"
        with log.open("ab") as stream:
            process = subprocess.Popen(
                [sys.executable, "-m", "emulator.child", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=subprocess.STDOUT,
                env=os.environ
                | {"PYTHONUNBUFFERED": "1", PARENT_PID: str(os.getpid())},
            )
        child = Child(name, process, log)
        self.children[name] = child
        return child

    def close(self) -> None:
        """Kill all processes, so that none outlives the directory."""
        for child in self.children.values():
            if child.alive:
                child.process.kill()
        for child in self.children.values():
            child.process.wait()
