"""How long tasks take, learnt from the ends of runs.

Made for callers whose estimates are rough: what tasks of the same step took
tells most; before the first of them ends, the estimate is corrected by how far
those of the queue were off. Seconds are of a run without the slowdown of a
distant rack.
"""

import math
from typing import final

import attrs

from wasabiturn.batch.state.jobs import Part

_MS = 1000
# Steps that ended are not removed one by one.
MAX_STEPS = 2000
MAX_QUEUES = 1000
# Least weight of a new run, so that a queue's mean follows its callers.
MIN_WEIGHT = 0.05


@final
@attrs.define
class _Mean:
    """Running mean of seconds and of logarithms of seconds over estimate."""

    count: int = 0
    seconds: float = 0.0
    log_ratio: float = 0.0

    def add(self, seconds: float, estimate: float) -> None:
        self.count += 1
        weight = max(1 / self.count, MIN_WEIGHT)
        self.seconds += weight * (seconds - self.seconds)
        if estimate > 0:
            log_ratio = math.log(seconds / estimate)
            self.log_ratio += weight * (log_ratio - self.log_ratio)


@final
@attrs.define
class Durations:
    """Learnt durations by step and by queue."""

    _by_step: dict[str, _Mean] = attrs.field(factory=dict)
    _by_queue: dict[str, _Mean] = attrs.field(factory=dict)

    def learn(self, part: Part, seconds: float) -> None:
        """Record for how long a run of ``part`` worked until it was done."""
        if seconds <= 0:
            return
        estimate = part.step.estimate_ms / _MS
        queue = part.job.queue
        _find_mean(self._by_step, part.name, MAX_STEPS).add(seconds, estimate)
        _find_mean(self._by_queue, queue, MAX_QUEUES).add(seconds, estimate)

    def expect(self, part: Part) -> float:
        """Return the expected seconds of a task, 0 if nothing is known."""
        of_step = self._by_step.get(part.name)
        if of_step is not None:
            return of_step.seconds
        estimate = part.step.estimate_ms / _MS
        of_queue = self._by_queue.get(part.job.queue)
        if of_queue is None:
            return estimate
        if estimate > 0:
            return estimate * math.exp(of_queue.log_ratio)
        return of_queue.seconds


def _find_mean(means: dict[str, _Mean], key: str, limit: int) -> _Mean:
    mean = means.get(key)
    if mean is None:
        if len(means) >= limit:
            means.pop(next(iter(means)))
        mean = _Mean()
        means[key] = mean
    return mean
