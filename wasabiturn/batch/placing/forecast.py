"""Forecast of how much filling work the lasting tasks on a worker allow.

Used to choose a worker: a filling task stays for some seconds, in which the
loads of the lasting jobs beside it rise and fall.
"""

from collections.abc import Callable
from typing import final

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing.interference import Interference
from wasabiturn.batch.placing.sharing import compute_budget
from wasabiturn.batch.placing.worker_metrics import (
    full_pace_uses,
    group_lasting_tasks,
)

# Loads change within seconds; other workers' samples change them meanwhile.
FORECAST_LIFETIME_SECONDS = 0.2


@final
@attrs.frozen
class LastingForecast:
    """Forecast for one lasting job on a worker; rises are relative."""

    image: str
    # Rise of its load by the present filling tasks at full pace.
    load_rise: float
    # How far its load may rise while a filling task runs, and at its peak.
    budget: float
    peak_budget: float


@final
@attrs.frozen
class InterferenceForecast:
    """Forecasts for the lasting jobs on a worker.

    ``pressure`` is called with a lasting and a filling image.
    """

    jobs: tuple[LastingForecast, ...]
    pressure: Callable[[str, str], float]

    @property
    def has_no_lasting_jobs(self) -> bool:
        """Return whether no lasting job with a goal runs on the worker."""
        return not self.jobs

    def expected_pace(self, filling: str, use: float) -> float:
        """Return the pace of a filling task as a share of its full pace.

        ``use`` is the CPU that it would take, as a share of the worker.
        """
        return min(
            (
                job.budget / max(self._load_rise(job, filling, use), job.budget)
                for job in self.jobs
                if job.budget > 0 or self._load_rise(job, filling, use) > 0
            ),
            default=1.0,
        )

    def has_full_pace_at_peak(self, filling: str, use: float) -> bool:
        """Return whether a filling task has full pace even at peak loads."""
        return all(
            self._load_rise(job, filling, use) <= job.peak_budget
            for job in self.jobs
        )

    def _load_rise(
        self,
        job: LastingForecast,
        filling: str,
        use: float,
    ) -> float:
        return job.load_rise + self.pressure(job.image, filling) * use


@final
@attrs.frozen
class _KeptForecast:
    forecast: InterferenceForecast
    created_at: float
    sampled_at: float
    charges: int
    # Uses are shares of it.
    worker_millicores: int


@final
@attrs.define
class Forecasts:
    """Forecasts for workers, kept until the worker changes or for a while.

    Made for hundreds of workers with a full queue, where each end of a run
    leads to a new plan.
    """

    interference: Interference
    _kept_by_incarnation: dict[tuple[str, int], _KeptForecast] = attrs.field(
        factory=dict
    )

    def drop_outdated(self, now: float) -> None:
        """Drop what is no longer valid, as of workers that have left."""
        oldest = now - FORECAST_LIFETIME_SECONDS
        self._kept_by_incarnation = {
            incarnation: kept
            for incarnation, kept in self._kept_by_incarnation.items()
            if kept.created_at > oldest
        }

    def find(self, worker: Worker, now: float) -> InterferenceForecast:
        """Return the forecast for a worker with its present tasks."""
        incarnation = (worker.name, worker.born_ms)
        kept = self._kept_by_incarnation.get(incarnation)
        if kept is None or not _is_valid(kept, worker, now):
            kept = _KeptForecast(
                forecast=create_forecast(worker, self.interference, now),
                created_at=now,
                sampled_at=worker.sampled_at,
                charges=worker.charges,
                worker_millicores=worker.report.millicores,
            )
            self._kept_by_incarnation[incarnation] = kept
        return kept.forecast


def _is_valid(kept: _KeptForecast, worker: Worker, now: float) -> bool:
    return (
        kept.charges == worker.charges
        and kept.worker_millicores == worker.report.millicores
        and kept.sampled_at == worker.sampled_at
        and now < kept.created_at + FORECAST_LIFETIME_SECONDS
    )


def create_forecast(
    worker: Worker,
    interference: Interference,
    now: float,
) -> InterferenceForecast:
    """Return the forecast for a worker with its present tasks."""
    uses = full_pace_uses(worker)
    jobs: list[LastingForecast] = []
    for group in group_lasting_tasks(worker):
        load = interference.load(group.job_id)
        expected = load.forecast()
        peak = max(load.peak, expected)
        jobs.append(
            LastingForecast(
                image=group.image,
                load_rise=interference.load_rise(group.image, uses, now),
                budget=compute_budget((expected + peak) / 2),
                peak_budget=compute_budget(peak),
            ),
        )
    return InterferenceForecast(
        jobs=tuple(jobs),
        pressure=lambda lasting, filling: interference.pressure(
            lasting, filling, now
        ),
    )
