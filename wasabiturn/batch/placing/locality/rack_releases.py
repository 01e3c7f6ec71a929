"""Forecast of a rack from its runs, their progress and learnt durations."""

from collections.abc import Iterable
from itertools import accumulate

from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.batch.placing.durations import Durations
from wasabiturn.batch.placing.locality.rack_forecast import (
    RackForecast,
    Releases,
)

# A run that has taken longer than expected is expected to go on for this share
# of its time so far.
OVERDUE_SHARE = 0.25


def create_rack_forecast(
    workers: Iterable[Worker],
    durations: Durations,
    slowdown_factor: float,
    now: float,
) -> RackForecast:
    """Return the forecast for the workers of one rack."""
    filling: list[tuple[float, int, int]] = []
    others: list[tuple[float, int, int]] = []
    free_memory_mb = 0
    for worker in workers:
        free_memory_mb += max(worker.report.memory_mb - worker.memory_mb, 0)
        for allocation in worker.allocations_by_task.values():
            step = allocation.task.step
            if step.lasting:
                continue
            remaining = remaining_seconds(
                allocation, worker, durations, slowdown_factor, now
            )
            release = (now + remaining, step.millicores, step.memory_mb)
            filling.append(release)
            if not step.fills:
                others.append(release)
    return RackForecast(
        created_at=now,
        filling=_sum_up(filling),
        others=_sum_up(others),
        free_memory_mb=free_memory_mb,
    )


def remaining_seconds(
    allocation: Allocation,
    worker: Worker,
    durations: Durations,
    slowdown_factor: float,
    now: float,
) -> float:
    """Return for how long a run is expected to go on."""
    part = allocation.task.part
    preferred = part.step.preferred_rack
    total = durations.expect(part)
    if preferred and preferred != worker.report.rack:
        total *= slowdown_factor
    begun_at = allocation.confirmed_at
    if begun_at is None:
        begun_at = allocation.started_at
    elapsed = now - begun_at
    return max(total - elapsed, OVERDUE_SHARE * elapsed)


def _sum_up(releases: list[tuple[float, int, int]]) -> Releases:
    releases.sort()
    return Releases(
        at_seconds=tuple(release[0] for release in releases),
        millicores=tuple(accumulate(release[1] for release in releases)),
        memory_mb=tuple(accumulate(release[2] for release in releases)),
    )
