"""Metrics of one worker: tail latencies and CPU use of filling images.

A worker reports one figure for each run: the tail latency in milliseconds of
a lasting task, or the millicores that a filling task uses.
"""

from collections.abc import Iterator
from statistics import median_low
from typing import final

import attrs

from wasabiturn.batch.fleet import Allocation, Worker

# A sample with a lower use (share of the worker) tells little of an image.
MIN_USE = 0.005


@final
@attrs.frozen
class LastingGroup:
    """Tasks of one lasting job on one worker.

    ``tails`` are their tail latencies as shares of the goal.
    """

    job_id: str
    image: str
    tails: tuple[float, ...]

    @property
    def tail(self) -> float:
        """Return the median tail latency as a share of the goal."""
        return median_low(self.tails)


def group_lasting_tasks(worker: Worker) -> Iterator[LastingGroup]:
    """Yield the lasting jobs on a worker that have a goal.

    A job whose tasks have not reported yet has no tails.
    """
    for job_id, runs_by_task in worker.goal_runs_by_job.items():
        allocations = list(runs_by_task.values())
        yield LastingGroup(
            job_id=job_id,
            image=allocations[0].task.step.image,
            tails=tuple(_tails(allocations)),
        )


def highest_tail(worker: Worker) -> float:
    """Return the highest median tail on a worker as a share of its goal."""
    tails = [group.tail for group in group_lasting_tasks(worker) if group.tails]
    return max(tails, default=0.0)


def current_uses(worker: Worker) -> dict[str, float]:
    """Return the CPU use of each filling image as a share of the worker."""
    uses: dict[str, float] = {}
    for allocation in worker.allocations_by_task.values():
        if allocation.task.step.fills and allocation.row is not None:
            use = allocation.row.figure / _worker_millicores(worker)
            image = allocation.task.step.image
            uses[image] = uses.get(image, 0) + use
    return {image: use for image, use in uses.items() if use > MIN_USE}


def full_pace_uses(worker: Worker) -> dict[str, float]:
    """Return the CPU use of each filling image at full pace.

    If their tasks declare more than is unused, each gets the same share of
    what it declares.
    """
    wanted = max(worker.filling_millicores, 1)
    granted_share = min(max(worker.unused_millicores(), 0) / wanted, 1)
    uses: dict[str, float] = {}
    for allocation in worker.allocations_by_task.values():
        step = allocation.task.step
        if step.fills:
            use = granted_share * step.millicores / _worker_millicores(worker)
            uses[step.image] = uses.get(step.image, 0) + use
    return uses


def _tails(allocations: list[Allocation]) -> Iterator[float]:
    for allocation in allocations:
        if allocation.row is not None and allocation.row.figure > 0:
            yield allocation.row.figure / allocation.task.step.tail_goal_ms


def _worker_millicores(worker: Worker) -> int:
    return max(worker.report.millicores, 1)
