"""What the lasting tasks on a worker can bear of filling ones.

Answers the choice of a place: a filling task stays for some seconds, in which
the loads of the lasting jobs beside it rise and fall.
"""

from collections.abc import Callable
from typing import final

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.interference import Interference
from wasabiturn.batch.sharing import find_budget
from wasabiturn.batch.worker_metrics import full_uses, lasting_groups


@final
@attrs.frozen
class LastingOutlook:
    """One lasting job on a worker.

    ``press`` is that of all that fills beside it at full pace; the budgets are
    how far its load may rise while a task is there, and at its peak.
    """

    image: str
    press: float
    budget: float
    peak_budget: float


@final
@attrs.frozen
class Outlook:
    """Lasting jobs on a worker.

    ``pressure`` returns the one of a filling image on a lasting one.
    """

    jobs: tuple[LastingOutlook, ...]
    pressure: Callable[[str, str], float]

    @property
    def is_free(self) -> bool:
        """Tell whether no lasting task can be disturbed."""
        return not self.jobs

    def expected_pace(self, filling: str, use: float) -> float:
        """Return the share of its full pace that a filling task would have.

        ``use`` is what it would add, in shares of the worker.
        """
        return min(
            (
                job.budget / max(self._press(job, filling, use), job.budget)
                for job in self.jobs
                if job.budget > 0 or self._press(job, filling, use) > 0
            ),
            default=1.0,
        )

    def is_always_good(self, filling: str, use: float) -> bool:
        """Tell whether it would have full pace at the peaks of all loads."""
        return all(
            self._press(job, filling, use) <= job.peak_budget
            for job in self.jobs
        )

    def _press(self, job: LastingOutlook, filling: str, use: float) -> float:
        return job.press + self.pressure(job.image, filling) * use


def create_outlook(worker: Worker, known: Interference, now: float) -> Outlook:
    """Return the outlook of a worker with all that it runs."""
    uses = full_uses(worker)
    jobs: list[LastingOutlook] = []
    for group in lasting_groups(worker):
        load = known.load(group.job_id)
        soon = load.expect()
        peak = max(load.peak, soon)
        jobs.append(
            LastingOutlook(
                image=group.image,
                press=known.press(group.image, uses, now),
                budget=find_budget((soon + peak) / 2),
                peak_budget=find_budget(peak),
            ),
        )
    return Outlook(
        jobs=tuple(jobs),
        pressure=lambda lasting, filling: known.pressure(lasting, filling, now),
    )
