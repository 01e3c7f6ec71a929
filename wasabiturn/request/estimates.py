"""Estimates of the service time of one backend server."""

from collections import deque
from typing import final

import attrs

PRIOR_MEAN_SECONDS = 0.05
MIN_MEAN_SECONDS = 0.0005
SMOOTHING = 0.05
WINDOW_SAMPLES = 512
REFRESH_SAMPLES = 32
RECENT_SECONDS = 30.0


@final
@attrs.define
class ServiceTimes:
    """Recent service times: smoothed mean, and percentiles of a window."""

    mean_seconds: float = PRIOR_MEAN_SECONDS
    observed: int = 0
    _window: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=WINDOW_SAMPLES),
    )
    _sorted: list[float] = attrs.field(factory=list)
    _sorted_at: int = 0

    def observe(self, seconds: float) -> None:
        """Add the service time of one request."""
        self.observed += 1
        weight = max(SMOOTHING, 1.0 / self.observed)
        self.mean_seconds += weight * (seconds - self.mean_seconds)
        self.mean_seconds = max(self.mean_seconds, MIN_MEAN_SECONDS)
        self._window.append(seconds)

    def percentile(self, share: float) -> float:
        """Return the service time that ``share`` of the window stays within.

        Zero without samples. The order of the window is worked out again
        after every ``REFRESH_SAMPLES`` samples.
        """
        if not self._window:
            return 0.0
        is_old = self.observed - self._sorted_at >= REFRESH_SAMPLES
        if is_old or len(self._sorted) < REFRESH_SAMPLES:
            self._sorted = sorted(self._window)
            self._sorted_at = self.observed
        position = int(share * len(self._sorted))
        return self._sorted[min(position, len(self._sorted) - 1)]


@final
@attrs.frozen
class _Answer:
    at: float
    seconds: float


@final
@attrs.define
class RecentTimes:
    """Answer times of the last ``RECENT_SECONDS``, the newest of them."""

    _answers: deque[_Answer] = attrs.field(
        factory=lambda: deque(maxlen=WINDOW_SAMPLES),
    )

    def observe(self, seconds: float, now: float) -> None:
        """Add an answer that came at ``now``."""
        self._answers.append(_Answer(at=now, seconds=seconds))

    def count(self, now: float) -> int:
        """Return how many answers are recent at ``now``."""
        while self._answers and self._answers[0].at < now - RECENT_SECONDS:
            self._answers.popleft()
        return len(self._answers)

    def percentile(self, share: float, now: float) -> float:
        """Return what ``share`` of the recent answers stay within, or zero."""
        recent = self.count(now)
        if not recent:
            return 0.0
        ordered = sorted(answer.seconds for answer in self._answers)
        return ordered[min(int(share * recent), recent - 1)]
