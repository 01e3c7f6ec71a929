"""Simulated deployments, and the disturbances of their workers."""

from typing import final

import attrs


@final
@attrs.frozen
class Deployment:
    """One deployment: 11 workers with 8 slots each."""

    name: str
    data_centres: tuple[str, ...]
    # One-way latencies from a caller to an entry, and from an entry to an agent
    # in the same or another data centre.
    caller_seconds: float
    near_seconds: float = 0.0001
    far_seconds: float = 0.0005
    # Mean service time of a request.
    service_seconds: float = 0.025


@final
@attrs.frozen
class Scenario:
    """Failure or slowdown of some workers during a run."""

    name: str
    lost_workers: int = 0
    slow_workers: int = 0
    # Factor on the service times of slow workers.
    slowdown_factor: float = 1.0
    # When workers fail or slow down, and when slow ones recover.
    start_seconds: float = 0.0
    end_seconds: float = 100.0

    def slowdown(self, number: int, now: float) -> float:
        """Return the factor on the service times of worker ``number``."""
        if (
            number < self.slow_workers
            and self.start_seconds <= now < self.end_seconds
        ):
            return self.slowdown_factor
        return 1.0


DEPLOYMENTS = (
    Deployment('letreria', ('a', 'b', 'c'), caller_seconds=0.001),
    Deployment('neba', ('a', 'b', 'c', 'd'), caller_seconds=0.003),
)
SCENARIOS = (
    Scenario('steady'),
    Scenario('slow worker', slow_workers=1, slowdown_factor=5),
    Scenario('three lost', lost_workers=3, start_seconds=2),
    Scenario(
        'noisy wave',
        slow_workers=4,
        slowdown_factor=2.5,
        start_seconds=2,
        end_seconds=3,
    ),
)
