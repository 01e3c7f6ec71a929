"""Load of lasting jobs, estimated from the tails of their tasks.

A tail grows as the waiting time of a server with one queue does: it is the
tail without load, divided by the share of time that the server has left. Loads
are shares of that time; filling tasks beside a lasting one raise its load.
"""

import math
from typing import final

import attrs

# Tail without load, in shares of the goal, until a tail shows that it is less.
IDLE_TAIL = 1 / 6
# An idle tail sinks towards this part of a tail that is lower, by so much of
# the way: figures are rough, and a first one may cover next to nothing.
IDLE_PART_OF_LOWEST = 0.76
SINKING_RATE = 0.1
# A load that is seen is at least this; figures are rough.
MIN_LOAD = 0.05
FIRST_LOAD = 0.5
# Highest load that a job is expected to reach by itself, until one is seen.
FIRST_PEAK = 0.7
# How fast the level follows samples, and the base that gives the trend.
LEVEL_SECONDS = 0.4
BASE_SECONDS = 1.2
# From the middle of a sample to when an order that answers it has its effect.
AHEAD_SECONDS = 1.0
MIN_RATE = 0.1
MAX_LOAD = 0.95


@final
@attrs.define
class Load:
    """Load of one lasting job without others; all its tasks share it."""

    level: float = FIRST_LOAD
    base: float = FIRST_LOAD
    peak: float = FIRST_PEAK
    seen_at: float | None = None

    def take(self, sample: float, trust: float, now: float) -> None:
        """Follow a sample; ``trust`` in it is from 0 to 1."""
        bounded = min(max(sample, MIN_LOAD), MAX_LOAD)
        if self.seen_at is None:
            self.level = bounded
            self.base = bounded
        else:
            passed = max(now - self.seen_at, 0)
            level_rate = trust * _rate(passed, LEVEL_SECONDS)
            base_rate = trust * _rate(passed, BASE_SECONDS)
            self.level += level_rate * (bounded - self.level)
            self.base += base_rate * (bounded - self.base)
        self.seen_at = now
        self.peak = max(self.peak, self.level)

    def present(self) -> float:
        """Return the load in the newest sample, as far as it is known."""
        return self._ahead(LEVEL_SECONDS)

    def expect(self) -> float:
        """Return the load at which an order of now takes effect."""
        return self._ahead(AHEAD_SECONDS)

    def _ahead(self, seconds: float) -> float:
        slope = (self.level - self.base) / (BASE_SECONDS - LEVEL_SECONDS)
        ahead = self.level + slope * seconds
        return min(max(ahead, MIN_LOAD), MAX_LOAD)


@final
@attrs.define
class IdleTails:
    """Tail of each lasting image without load, in shares of the goal."""

    tail_by_image: dict[str, float] = attrs.field(factory=dict)

    def to_load(self, image: str, tail: float) -> float:
        """Return the load that shows in ``tail``, in shares of the goal."""
        idle = self.tail_by_image.get(image, IDLE_TAIL)
        lower = min(IDLE_PART_OF_LOWEST * tail, idle)
        idle += SINKING_RATE * (lower - idle)
        self.tail_by_image[image] = idle
        return max(1 - idle / tail, MIN_LOAD)


def _rate(passed: float, seconds: float) -> float:
    return max(1 - math.exp(-passed / seconds), MIN_RATE)
