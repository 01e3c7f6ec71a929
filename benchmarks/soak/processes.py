"""Processor time and memory of a process, as the kernel counts them."""

import os
from pathlib import Path
from typing import final

import attrs

BYTES_PER_MB = 1_000_000
USER_TIME_FIELD = 13
SYSTEM_TIME_FIELD = 14


@final
@attrs.frozen
class Usage:
    """Processor seconds since the start, and resident memory."""

    cpu_seconds: float
    memory_mb: float


def read_usage(pid: int) -> Usage:
    """Read the usage of process ``pid`` on Linux."""
    folder = Path('/proc') / str(pid)
    # The name in parentheses may hold spaces.
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    offset = 2
    ticks = int(fields[USER_TIME_FIELD - offset])
    ticks += int(fields[SYSTEM_TIME_FIELD - offset])
    pages = int((folder / 'statm').read_text().split()[1])
    return Usage(
        cpu_seconds=ticks / os.sysconf('SC_CLK_TCK'),
        memory_mb=pages * os.sysconf('SC_PAGE_SIZE') / BYTES_PER_MB,
    )
