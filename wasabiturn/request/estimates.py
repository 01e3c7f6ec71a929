"""Statistics of the service and answer times of one backend server."""

from collections import deque
from typing import final

import attrs

PRIOR_MEAN_SECONDS = 0.05  # assumed before the first sample
MIN_MEAN_SECONDS = 0.0005
SMOOTHING = 0.05  # least weight of a new sample in the mean
WINDOW_SAMPLES = 512
REFRESH_SAMPLES = 32
RECENT_SECONDS = 30.0


@final
@attrs.define
class ServiceTimes:
    """Exponentially smoothed mean and recent percentiles of service times."""

    mean_seconds: float = PRIOR_MEAN_SECONDS
    sample_count: int = 0
    _window: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=WINDOW_SAMPLES),
    )
    _sorted: list[float] = attrs.field(factory=list)
    _sorted_at_count: int = 0

    def observe(self, seconds: float) -> None:
        """Add the service time of one request."""
        self.sample_count += 1
        weight = max(SMOOTHING, 1.0 / self.sample_count)
        self.mean_seconds += weight * (seconds - self.mean_seconds)
        self.mean_seconds = max(self.mean_seconds, MIN_MEAN_SECONDS)
        self._window.append(seconds)

    def percentile(self, fraction: float) -> float:
        """Return the quantile ``fraction`` of the window, zero if empty.

        Once it holds ``REFRESH_SAMPLES``, the window is sorted again only
        after that many new samples.
        """
        if not self._window:
            return 0.0
        is_outdated = (
            self.sample_count - self._sorted_at_count >= REFRESH_SAMPLES
        )
        if is_outdated or len(self._sorted) < REFRESH_SAMPLES:
            self._sorted = sorted(self._window)
            self._sorted_at_count = self.sample_count
        index = int(fraction * len(self._sorted))
        return self._sorted[min(index, len(self._sorted) - 1)]


@final
@attrs.frozen
class _Answer:
    received_at: float
    seconds: float


@final
@attrs.define
class RecentTimes:
    """Answer times of the last ``RECENT_SECONDS``.

    At most ``WINDOW_SAMPLES`` are kept; older ones are dropped first.
    """

    _answers: deque[_Answer] = attrs.field(
        factory=lambda: deque(maxlen=WINDOW_SAMPLES),
    )

    def observe(self, seconds: float, now: float) -> None:
        """Add the answer time of an answer received at ``now``."""
        self._answers.append(_Answer(received_at=now, seconds=seconds))

    def count(self, now: float) -> int:
        """Return the number of recent answers at ``now``."""
        while (
            self._answers
            and self._answers[0].received_at < now - RECENT_SECONDS
        ):
            self._answers.popleft()
        return len(self._answers)

    def percentile(self, fraction: float, now: float) -> float:
        """Return the quantile ``fraction`` of recent times, zero if none."""
        recent = self.count(now)
        if not recent:
            return 0.0
        ordered = sorted(answer.seconds for answer in self._answers)
        return ordered[min(int(fraction * recent), recent - 1)]
