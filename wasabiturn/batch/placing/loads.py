"""Estimation of the load of lasting jobs from their tail latencies.

Each task is modelled as a server with one queue: its tail latency is the tail
without load, divided by 1 - load, where the load is the share of time in which
the server is busy. Filling tasks beside a lasting one raise its load.
"""

import math
from typing import final

import attrs

# Initial tail without load, as a share of the goal; lower samples reduce it.
INITIAL_UNLOADED_TAIL = 1 / 6
# If this part of a sample is below the unloaded tail, the latter moves towards
# it at this rate; not at once, as figures are noisy and the first one of a
# task may cover next to no requests.
UNLOADED_PART_OF_TAIL = 0.76
UNLOADED_TAIL_RATE = 0.1
# Lower bound of an estimated load, as figures are noisy.
MIN_LOAD = 0.05
INITIAL_LOAD = 0.5
# Expected peak of a job's own load until a higher one is observed.
INITIAL_PEAK = 0.7
# Time constants of the fast and the slow moving average; the trend is their
# difference.
LEVEL_SECONDS = 0.4
SLOW_LEVEL_SECONDS = 1.2
# Time from the middle of a sample until a pace order that follows from it
# takes effect.
FORECAST_SECONDS = 1.0
MIN_SMOOTHING = 0.1
MAX_LOAD = 0.95


@final
@attrs.define
class Load:
    """Load of one lasting job without interference, the same for its tasks.

    ``level`` and ``slow_level`` are a fast and a slow moving average.
    """

    level: float = INITIAL_LOAD
    slow_level: float = INITIAL_LOAD
    peak: float = INITIAL_PEAK
    seen_at: float | None = None

    def update(self, sample: float, weight: float, now: float) -> None:
        """Add a sample with a ``weight`` from 0 to 1."""
        clamped = min(max(sample, MIN_LOAD), MAX_LOAD)
        if self.seen_at is None:
            self.level = clamped
            self.slow_level = clamped
        else:
            elapsed = max(now - self.seen_at, 0)
            level_rate = weight * _smoothing_factor(elapsed, LEVEL_SECONDS)
            slow_rate = weight * _smoothing_factor(elapsed, SLOW_LEVEL_SECONDS)
            self.level += level_rate * (clamped - self.level)
            self.slow_level += slow_rate * (clamped - self.slow_level)
        self.seen_at = now
        self.peak = max(self.peak, self.level)

    def current(self) -> float:
        """Return the load at the newest sample, corrected for the lag."""
        return self._extrapolate(LEVEL_SECONDS)

    def forecast(self) -> float:
        """Return the load expected when an order sent now takes effect."""
        return self._extrapolate(FORECAST_SECONDS)

    def _extrapolate(self, seconds: float) -> float:
        slope = (self.level - self.slow_level) / (
            SLOW_LEVEL_SECONDS - LEVEL_SECONDS
        )
        extrapolated = self.level + slope * seconds
        return min(max(extrapolated, MIN_LOAD), MAX_LOAD)


# Callers choose the names of images.
MAX_IMAGES = 2000


@final
@attrs.define
class UnloadedTails:
    """Tail of each lasting image without load, as a share of its goal."""

    tail_by_image: dict[str, float] = attrs.field(factory=dict)

    def to_load(self, image: str, tail: float) -> float:
        """Update the image's unloaded tail; return the load behind ``tail``."""
        unloaded = self.tail_by_image.get(image, INITIAL_UNLOADED_TAIL)
        lower = min(UNLOADED_PART_OF_TAIL * tail, unloaded)
        unloaded += UNLOADED_TAIL_RATE * (lower - unloaded)
        self.tail_by_image[image] = unloaded
        if len(self.tail_by_image) > MAX_IMAGES:
            # The one that was learnt first.
            self.tail_by_image.pop(next(iter(self.tail_by_image)))
        return max(1 - unloaded / tail, MIN_LOAD)


def _smoothing_factor(elapsed: float, seconds: float) -> float:
    return max(1 - math.exp(-elapsed / seconds), MIN_SMOOTHING)
