"""Figures of one worker: tails of lasting jobs, use of filling images."""

from collections.abc import Iterator
from statistics import median_low
from typing import final

import attrs

from wasabiturn.batch.fleet import Allocation, Worker

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
    charges_by_job: dict[str, list[Allocation]] = {}
    for allocation in worker.allocations_by_task.values():
        if allocation.task.step.tail_goal_ms:
            job_id = allocation.task.job.job_id
            charges_by_job.setdefault(job_id, []).append(allocation)
    for job_id, allocations in charges_by_job.items():
        yield LastingGroup(
            job_id=job_id,
            image=allocations[0].task.step.image,
            tails=tuple(_tails(allocations)),
        )


def highest_tail(worker: Worker) -> float:
    """Return the highest usual tail on a worker, in shares of its goal."""
    tails = [group.tail for group in lasting_groups(worker) if group.tails]
    return max(tails, default=0.0)


def present_uses(worker: Worker) -> dict[str, float]:
    """Return what each filling image uses, in shares of the worker."""
    uses: dict[str, float] = {}
    for allocation in worker.allocations_by_task.values():
        if allocation.task.step.fills and allocation.row is not None:
            use = allocation.row.figure / _size(worker)
            image = allocation.task.step.image
            uses[image] = uses.get(image, 0) + use
    return {image: use for image, use in uses.items() if use > MIN_USE}


def full_uses(worker: Worker) -> dict[str, float]:
    """Return what each filling image would use at full pace.

    Where they ask for more than is unused, all get the same part of it.
    """
    wanted = max(worker.fill_millicores, 1)
    part = min(max(worker.unused_millicores(), 0) / wanted, 1)
    uses: dict[str, float] = {}
    for allocation in worker.allocations_by_task.values():
        step = allocation.task.step
        if step.fills:
            use = part * step.millicores / _size(worker)
            uses[step.image] = uses.get(step.image, 0) + use
    return uses


def _tails(allocations: list[Allocation]) -> Iterator[float]:
    for allocation in allocations:
        if allocation.row is not None and allocation.row.figure > 0:
            yield allocation.row.figure / allocation.task.step.tail_goal_ms


def _size(worker: Worker) -> int:
    return max(worker.report.millicores, 1)
