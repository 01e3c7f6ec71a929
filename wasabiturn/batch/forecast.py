"""Forecast of how much filling work the lasting tasks on a worker allow.

Used to choose a worker: a filling task stays for some seconds, in which the
loads of the lasting jobs beside it rise and fall.
"""

from collections.abc import Callable
from typing import final

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.interference import Interference
from wasabiturn.batch.sharing import compute_budget
from wasabiturn.batch.worker_metrics import full_pace_uses, group_lasting_tasks


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
