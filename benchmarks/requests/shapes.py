"""Shapes of the deployments, and what disturbs them."""

from typing import final

import attrs


@final
@attrs.frozen
class Shape:
    """One deployment: 11 workers of 8 slots; one-way latencies."""

    name: str
    data_centres: tuple[str, ...]
    caller_seconds: float
    near_seconds: float = 0.0001
    far_seconds: float = 0.0005
    service_seconds: float = 0.025


@final
@attrs.frozen
class Scenario:
    """What happens to the workers; times in seconds."""

    name: str
    lost: int = 0
    slow: int = 0
    factor: float = 1.0
    starts: float = 0.0
    ends: float = 100.0

    def slowdown(self, number: int, now: float) -> float:
        """Return the factor on service times of a worker."""
        if number < self.slow and self.starts <= now < self.ends:
            return self.factor
        return 1.0


SHAPES = (
    Shape('letreria', ('a', 'b', 'c'), caller_seconds=0.001),
    Shape('neba', ('a', 'b', 'c', 'd'), caller_seconds=0.003),
)
SCENARIOS = (
    Scenario('steady'),
    Scenario('slow worker', slow=1, factor=5),
    Scenario('three lost', lost=3, starts=2),
    Scenario('noisy wave', slow=4, factor=2.5, starts=2, ends=3),
)
