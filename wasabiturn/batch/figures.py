"""Figures of one worker: tails of lasting jobs, use of filling images."""

from collections.abc import Iterator
from statistics import median_low
from typing import final

import attrs

from wasabiturn.batch.fleet import Charge, Worker

# Below this use, in shares of the worker, a sample says little of an image.
MIN_USE = 0.005


@final
@attrs.frozen
class LastingGroup:
    """Tasks of one lasting job on one worker."""

    job_id: str
    image: str
    tails: tuple[float, ...]

    @property
    def tail(self) -> float:
        """Return the usual tail, in shares of the goal."""
        return median_low(self.tails)


def lasting_groups(worker: Worker) -> Iterator[LastingGroup]:
    """Yield the lasting jobs on a worker; new ones show no tails yet."""
    charges_by_job: dict[str, list[Charge]] = {}
    for charge in worker.charges_by_task.values():
        if charge.task.step.tail_goal_ms:
            job_id = charge.task.job.job_id
            charges_by_job.setdefault(job_id, []).append(charge)
    for job_id, charges in charges_by_job.items():
        yield LastingGroup(
            job_id=job_id,
            image=charges[0].task.step.image,
            tails=tuple(_tails(charges)),
        )


def highest_tail(worker: Worker) -> float:
    """Return the highest usual tail on a worker, in shares of its goal."""
    tails = [group.tail for group in lasting_groups(worker) if group.tails]
    return max(tails, default=0.0)


def present_uses(worker: Worker) -> dict[str, float]:
    """Return what each filling image uses, in shares of the worker."""
    uses: dict[str, float] = {}
    for charge in worker.charges_by_task.values():
        if charge.task.step.fills and charge.row is not None:
            use = charge.row.figure / _size(worker)
            image = charge.task.step.image
            uses[image] = uses.get(image, 0) + use
    return {image: use for image, use in uses.items() if use > MIN_USE}


def full_uses(worker: Worker) -> dict[str, float]:
    """Return what each filling image would use at full pace.

    Where they ask for more than is unused, all get the same part of it.
    """
    wanted = max(worker.fill_millicores, 1)
    part = min(max(worker.unused_millicores(), 0) / wanted, 1)
    uses: dict[str, float] = {}
    for charge in worker.charges_by_task.values():
        step = charge.task.step
        if step.fills:
            use = part * step.millicores / _size(worker)
            uses[step.image] = uses.get(step.image, 0) + use
    return uses


def _tails(charges: list[Charge]) -> Iterator[float]:
    for charge in charges:
        if charge.row is not None and charge.row.figure > 0:
            yield charge.row.figure / charge.task.step.tail_goal_ms


def _size(worker: Worker) -> int:
    return max(worker.report.millicores, 1)
