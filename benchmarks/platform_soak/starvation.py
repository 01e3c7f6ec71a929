"""Times in which the machine didn't let a program run.

On a busy machine a program may stand still for seconds without a fault. The
kernel counts how long a process has waited for a processor; a wait shows once
the process runs again.
"""

from pathlib import Path
from typing import Any, final

import attrs

from benchmarks.platform_soak.fleet import Fleet
from benchmarks.platform_soak.journal import STARVED, FaultEvent, Journal
from wasabiturn.utils.ticker import Ticker

SAMPLE_SECONDS = 0.5
# A wait of this length within a sample is taken for a fault of the machine.
MAX_WAIT_SECONDS = 0.25
# Field of /proc/PID/schedstat, counted from 0: nanoseconds of waiting.
_WAIT_FIELD = 1
_NANOSECONDS = 1e9


@final
@attrs.define(eq=False)
class StarvationWatch:
    """Adds a fault for each time in which a program waited for a processor."""

    reactor: Any
    fleet: Fleet
    journal: Journal
    _sampled_at: float = 0
    _wait_by_pid: dict[int, float] = attrs.field(factory=dict)

    def start(self) -> None:
        """Sample until the end of the process."""
        self._sampled_at = self.journal.now()
        Ticker(self._sample, self.reactor).start(SAMPLE_SECONDS)

    def _sample(self) -> None:
        now = self.journal.now()
        # Callers stood still as well, if this process did.
        own_wait = now - self._sampled_at - SAMPLE_SECONDS
        for name in self.fleet.programs_by_name:
            wait = max(self._measure_wait(name), own_wait)
            if wait > MAX_WAIT_SECONDS:
                begins_at = min(self._sampled_at, now - wait)
                self.journal.add_fault(
                    FaultEvent(begins_at, STARVED, name, now - begins_at)
                )
        self._sampled_at = now

    def _measure_wait(self, name: str) -> float:
        """Return by how much the wait of a program has grown, in seconds."""
        process = self.fleet.programs_by_name[name].process
        if process is None:
            return 0
        wait = _read_wait(process.pid)
        before = self._wait_by_pid.get(process.pid, wait)
        self._wait_by_pid[process.pid] = wait
        return wait - before


def _read_wait(pid: int) -> float:
    """Return how long a process has waited; 0 if it has ended."""
    try:
        text = Path(f'/proc/{pid}/schedstat').read_text(encoding='utf-8')
    except OSError:
        return 0
    return int(text.split()[_WAIT_FIELD]) / _NANOSECONDS
