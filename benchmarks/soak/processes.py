"""CPU time and memory of a process, as reported by the kernel."""

import os
from pathlib import Path
from typing import final

import attrs

BYTES_PER_MB = 1_000_000
# Fields of /proc/PID/stat, counted from 0.
USER_TIME_FIELD = 13
SYSTEM_TIME_FIELD = 14


@final
@attrs.frozen
class Usage:
    """CPU seconds since the start of a process, and its resident memory."""

    cpu_seconds: float
    memory_mb: float


def read_usage(pid: int) -> Usage:
    """Read the usage of the process ``pid`` from ``/proc`` (Linux only)."""
    folder = Path('/proc') / str(pid)
    # The process name, in parentheses, may contain spaces.
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    first_field = 2
    ticks = int(fields[USER_TIME_FIELD - first_field])
    ticks += int(fields[SYSTEM_TIME_FIELD - first_field])
    pages = int((folder / 'statm').read_text().split()[1])
    return Usage(
        cpu_seconds=ticks / os.sysconf('SC_CLK_TCK'),
        memory_mb=pages * os.sysconf('SC_PAGE_SIZE') / BYTES_PER_MB,
    )
