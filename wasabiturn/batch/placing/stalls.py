"""Detection of filling runs that are paced so low that they stall."""

from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.messages.batch import Step

# A run below this pace for so long is moved, if another worker can take it.
STALLED_BELOW_PERCENT = 20
STALL_SECONDS = 1.0


def update_stalls(worker: Worker, now: float) -> None:
    """Update since when each filling image stalls on a worker."""
    worker.stalled_at_by_image = {
        image: worker.stalled_at_by_image.get(image, now)
        for image, percent in worker.percent_by_image.items()
        if percent < STALLED_BELOW_PERCENT
    }


def find_stalled(worker: Worker, now: float) -> list[Allocation]:
    """Return the stalled runs that lose little work if they are stopped."""
    if not worker.stalled_at_by_image:
        return []
    return [
        allocation
        for allocation in worker.allocations_by_task.values()
        if _is_stalled(worker, allocation, now)
    ]


def _is_stalled(worker: Worker, allocation: Allocation, now: float) -> bool:
    step = allocation.task.step
    since = worker.stalled_at_by_image.get(step.image)
    if since is None or not may_move(step):
        return False
    if allocation.is_stop_requested or allocation.task.job.is_final:
        return False
    return now >= max(since, allocation.started_at) + STALL_SECONDS


def may_move(step: Step) -> bool:
    """Return whether a task may go on elsewhere, with little work lost.

    A member of a gang would leave the others alone.
    """
    return step.fills and step.checkpoints and not step.gang
