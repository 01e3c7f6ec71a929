"""Model of the interference between the tasks on one worker.

The load of a long-running job (``lasting``) follows a sine curve, and the tail
latency of its tasks is that of a server with one queue. Tasks that fill free
capacity (``fills``) raise this load by the share of the worker that they use,
times a pressure for each pair of images. Load beyond the capacity of the server
stays in its queue and adds to the tail latency until it has drained. Reported
figures are averages over ``AVERAGING_WINDOW_SECONDS``, with noise.
"""

import math
from collections import deque
from random import Random
from typing import final

import attrs

# Growth of the queue, in tail latency goals for each second at double load.
BACKLOG_GOALS_PER_SECOND = 8.0
# Bounds the tail latency without a backlog, which would be infinite at 1.
MAX_STEADY_LOAD = 0.97
# Relative noise of a reported figure, and how often and far one is an outlier.
NOISE_STANDARD_DEVIATION = 0.06
OUTLIER_SHARE = 0.01
OUTLIER_FACTOR = 2.5
AVERAGING_WINDOW_SECONDS = 0.5


@final
@attrs.frozen
class LoadCurve:
    """Load of one long-running job over time, without interference."""

    image: str
    mean_load: float = 0.48
    # Relative to the mean load.
    amplitude: float = 0.5
    period_seconds: float = 20.0
    # In radians.
    phase: float = 0.0

    def load(self, now: float) -> float:
        """Return the share of time for which its tasks are busy at ``now``."""
        angle = 2 * math.pi * now / self.period_seconds + self.phase
        return self.mean_load * (1 + self.amplitude * math.sin(angle))


@final
@attrs.define
class TailLatencyModel:
    """Tail latency of one long-running task, relative to its goal."""

    traffic: LoadCurve
    # Tail latency at no load, relative to the goal.
    idle_tail: float = 1 / 6
    backlog: float = 0.0
    tail: float = 0.0
    _window: deque[tuple[float, float]] = attrs.field(factory=deque)

    def advance(self, now: float, seconds: float, load_increase: float) -> None:
        """Advance by ``seconds`` to ``now``.

        ``load_increase`` is the relative increase of the load by other tasks.
        """
        load = self.traffic.load(now) * (1 + load_increase)
        surplus = (load - 1) * seconds * BACKLOG_GOALS_PER_SECOND
        self.backlog = max(self.backlog + surplus, 0.0)
        self.tail = (
            self.idle_tail / (1 - min(load, MAX_STEADY_LOAD)) + self.backlog
        )
        self._window.append((now, self.tail))
        while self._window[0][0] < now - AVERAGING_WINDOW_SECONDS:
            self._window.popleft()

    def figure(self, random: Random) -> float:
        """Return the tail latency that the worker reports."""
        total = sum(tail for _, tail in self._window)
        mean = total / max(len(self._window), 1)
        noisy = mean * random.gauss(1, NOISE_STANDARD_DEVIATION)
        if random.random() < OUTLIER_SHARE:
            noisy *= OUTLIER_FACTOR
        return max(noisy, 0.0)
