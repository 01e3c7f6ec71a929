"""When capacity of a rack is expected to become free.

An estimate that adds up the capacity of the whole rack and ignores fragments,
since whoever uses it limits what a wrong estimate costs.
"""

from bisect import bisect_left, bisect_right
from math import inf
from typing import final

import attrs

from wasabiturn.messages.batch import Step

# Runs end meanwhile; whether a place is free is looked up, not forecast.
RACK_FORECAST_SECONDS = 0.25


@final
@attrs.frozen
class Releases:
    """Capacity that is released, as sums up to each time."""

    at_seconds: tuple[float, ...]
    millicores: tuple[int, ...]
    memory_mb: tuple[int, ...]


@final
@attrs.frozen
class RackForecast:
    """Releases on one rack, for filling tasks and for all others."""

    created_at: float
    filling: Releases
    others: Releases
    free_memory_mb: int

    def count_places(
        self,
        step: Step,
        until: float,
        claimed: tuple[int, int],
    ) -> int:
        """Return how many tasks find a place before ``until``.

        ``claimed`` is the CPU and memory that earlier waiting tasks take.
        """
        releases = self.filling if step.fills else self.others
        number = bisect_right(releases.at_seconds, until)
        if not number:
            return 0
        millicores = releases.millicores[number - 1] - claimed[0]
        memory_mb = releases.memory_mb[number - 1] - claimed[1]
        return max(
            min(
                millicores // max(step.millicores, 1),
                (self.free_memory_mb + memory_mb) // max(step.memory_mb, 1),
            ),
            0,
        )

    def first_place_at(self, step: Step, claimed: tuple[int, int]) -> float:
        """Return when the next task finds a place, ``inf`` if unknown."""
        releases = self.filling if step.fills else self.others
        memory_mb = claimed[1] + step.memory_mb - self.free_memory_mb
        number = max(
            bisect_left(releases.millicores, claimed[0] + step.millicores),
            bisect_left(releases.memory_mb, memory_mb),
        )
        at_seconds = releases.at_seconds
        return at_seconds[number] if number < len(at_seconds) else inf
