"""Watches that each program of a soak stays within its instance."""

from typing import Any, final

from benchmarks.platform_soak.fleet import Fleet
from benchmarks.soak.programs import Program, measure_folder
from wasabiturn.connection.client_guard import DEFAULT_MAX_FDS
from wasabiturn.utils.ticker import Ticker

LOOK_SECONDS = 0.25
_BYTES_PER_MB = 1_000_000


@final
class LimitsWatch:
    """Looks at memory, descriptors and disks, also of what is restarted."""

    def __init__(self, reactor: Any, fleet: Fleet) -> None:
        """Create the watch; ``start`` begins to look."""
        # The largest use of each, by the name of the program and what it is.
        self.peaks: dict[tuple[str, str], int] = {}
        self._fleet = fleet
        self._ticker = Ticker(self.look, reactor)

    def start(self) -> None:
        """Begin to look."""
        self._ticker.start(LOOK_SECONDS)

    def stop(self) -> None:
        """Look for the last time."""
        self._ticker.stop()
        self.look()

    def look(self) -> None:
        """Record what each program uses now."""
        for name, program in self._fleet.programs_by_name.items():
            self._look_at(name, program)
            folder = self._fleet.sites_by_name[name].data_folder
            if folder is not None:
                used = measure_folder(folder)
                self._record(name, 'disk MB', used // _BYTES_PER_MB)

    def find_excesses(self) -> list[str]:
        """Return what was over the limits of an instance."""
        limits = {
            'memory MB': self._fleet.fleet_size.memory_mb,
            'descriptors': DEFAULT_MAX_FDS,
            'disk MB': self._fleet.fleet_size.disk_mb,
        }
        return [
            f'{name}: {peak} {what}'
            for (name, what), peak in self.peaks.items()
            if peak >= limits[what]
        ]

    def find_largest(self, what: str) -> int:
        """Return the largest use of one kind by any program."""
        return max(
            (peak for (_, kind), peak in self.peaks.items() if kind == what),
            default=0,
        )

    def _look_at(self, name: str, program: Program) -> None:
        if not program.is_running():
            return
        try:
            peak_mb = int(program.read_peak_memory_mb())
            descriptors = program.count_descriptors()
        except (OSError, StopIteration):
            # It has ended since.
            return
        self._record(name, 'memory MB', peak_mb)
        self._record(name, 'descriptors', descriptors)

    def _record(self, name: str, what: str, used: int) -> None:
        key = (name, what)
        self.peaks[key] = max(self.peaks.get(key, 0), used)
