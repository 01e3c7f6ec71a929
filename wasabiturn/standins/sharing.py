"""Stand-in for what tasks on one worker do to each other.

A lasting job has a load that swings; the tail of its tasks is that of a server
with one queue. Filling tasks raise the load by a pressure for each pair of
images, times the share of the worker that they use; what a server cannot serve
stays in its queue and shows in the tail until it has drained. Figures are
averages over half a second, and rough.
"""

import math
from collections import deque
from random import Random
from typing import final

import attrs

# How much longer a queue gets, in goals, for each second at double load.
BACKLOG_RATE = 8.0
FULL_LOAD = 0.97
# Parts by which a figure is off, and how often one is far off.
ROUGHNESS = 0.06
OUTLIER_SHARE = 0.01
OUTLIER_FACTOR = 2.5
WINDOW_SECONDS = 0.5


@final
@attrs.frozen
class LastingTraffic:
    """Load of one lasting job over time, without others; seconds."""

    image: str
    mean: float = 0.48
    swing: float = 0.5
    period: float = 20.0
    phase: float = 0.0

    def load(self, now: float) -> float:
        """Return the share of time that its tasks are busy at ``now``."""
        angle = 2 * math.pi * now / self.period + self.phase
        return self.mean * (1 + self.swing * math.sin(angle))


@final
@attrs.define
class StandInTail:
    """Tail of one lasting task, in shares of its goal."""

    traffic: LastingTraffic
    idle_tail: float = 1 / 6
    backlog: float = 0.0
    tail: float = 0.0
    _window: deque[tuple[float, float]] = attrs.field(factory=deque)

    def advance(self, now: float, seconds: float, press: float) -> None:
        """Let time pass under a pressure that raises the load by ``press``."""
        load = self.traffic.load(now) * (1 + press)
        surplus = (load - 1) * seconds * BACKLOG_RATE
        self.backlog = max(self.backlog + surplus, 0.0)
        self.tail = self.idle_tail / (1 - min(load, FULL_LOAD)) + self.backlog
        self._window.append((now, self.tail))
        while self._window[0][0] < now - WINDOW_SECONDS:
            self._window.popleft()

    def figure(self, random: Random) -> float:
        """Return what the worker says of the tail."""
        total = sum(tail for _, tail in self._window)
        mean = total / max(len(self._window), 1)
        rough = mean * random.gauss(1, ROUGHNESS)
        if random.random() < OUTLIER_SHARE:
            rough *= OUTLIER_FACTOR
        return max(rough, 0.0)
