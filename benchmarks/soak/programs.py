"""Programs under test, each a separate process."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import IO, final

import attrs

STOP_TIMEOUT_SECONDS = 90
_KIB = 1024


@final
@attrs.define(eq=False)
class Program:
    """A program that can be started again after its process has ended."""

    name: str
    arguments: tuple[str, ...]
    output: Path
    environment: Mapping[str, str] = attrs.field(factory=dict)
    process: subprocess.Popen[bytes] | None = None
    frozen: bool = False

    def start(self) -> None:
        """Start the process; append its output to the file ``output``."""
        with self.output.open('ab') as stream:
            self.process = self._spawn(stream)
        self.frozen = False

    def kill(self) -> None:
        """Kill the process, as a crash would."""
        self._signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None

    def terminate(self) -> None:
        """Request a graceful stop."""
        self._signal(signal.SIGTERM)

    def hang_up(self) -> None:
        """Tell that the settings have changed."""
        self._signal(signal.SIGHUP)

    def wait(self) -> int:
        """Wait for the end after ``terminate``; return the exit status."""
        if self.process is None:
            return 0
        status = self.process.wait(timeout=STOP_TIMEOUT_SECONDS)
        self.process = None
        return status

    def freeze(self) -> None:
        """Suspend the process with ``SIGSTOP``."""
        self._signal(signal.SIGSTOP)
        self.frozen = True

    def thaw(self) -> None:
        """Resume a suspended process."""
        self._signal(signal.SIGCONT)
        self.frozen = False

    def read_peak_memory_mb(self) -> float:
        """Return the largest resident memory since the start.

        Raises:
            OSError: the process has ended.
        """
        text = self._find_process_folder().joinpath('status').read_text('utf-8')
        line = next(line for line in text.splitlines() if 'VmHWM' in line)
        return int(line.split()[1]) / _KIB

    def count_descriptors(self) -> int:
        """Return how many descriptors are open; raises as above."""
        return len(os.listdir(self._find_process_folder() / 'fd'))

    def _find_process_folder(self) -> Path:
        if self.process is None:
            raise ProcessLookupError(f'{self.name} is not running')
        return Path('/proc') / str(self.process.pid)

    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def _spawn(self, stream: IO[bytes]) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, *self.arguments],
            stdin=subprocess.DEVNULL,
            stdout=stream,
            stderr=stream,
            cwd=str(self.output.parent),
            env={
                **os.environ,
                'PYTHONPATH': str(Path.cwd()),
                **self.environment,
            },
        )

    def _signal(self, number: int) -> None:
        if self.is_running() and self.process is not None:
            self.process.send_signal(number)


def create_daemon(command: str, settings: Path) -> Program:
    """Create the program that runs ``wasabiturn COMMAND SETTINGS``."""
    return Program(
        name=settings.stem,
        arguments=('-m', 'wasabiturn', command, str(settings)),
        output=settings.parent / f'{settings.stem}.out',
    )


def create_standin(
    name: str,
    folder: Path,
    module: str,
    options: dict[str, str],
) -> Program:
    """Create the program that runs a stand-in for an external system."""
    words = [word for pair in options.items() for word in pair]
    return Program(
        name=name,
        arguments=('-m', f'wasabiturn.standins.{module}', *words),
        output=folder / f'{name}.out',
    )


def measure_folder(folder: Path) -> int:
    """Return the bytes of the files in a folder, which may go meanwhile."""
    return sum(map(_find_size, folder.iterdir()))


def _find_size(path: Path) -> int:
    try:
        return path.stat().st_size
    except FileNotFoundError:
        return 0
