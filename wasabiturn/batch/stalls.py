"""Filling runs that are slowed so far that they hardly move."""

from wasabiturn.batch.fleet import Allocation, Worker

# A run that is slower than this for so long goes elsewhere, if it can.
STANDSTILL_PERCENT = 20
STANDSTILL_SECONDS = 1.0


def note_halts(worker: Worker, now: float) -> None:
    """Note from when each filling image hardly moves on a worker."""
    worker.stalled_at_by_image = {
        image: worker.stalled_at_by_image.get(image, now)
        for image, percent in worker.percent_by_image.items()
        if percent < STANDSTILL_PERCENT
    }


def find_halted(worker: Worker, now: float) -> list[Allocation]:
    """Return the runs that hardly move and lose little if they are stopped."""
    return [
        allocation
        for allocation in worker.allocations_by_task.values()
        if _is_halted(worker, allocation, now)
    ]


def _is_halted(worker: Worker, allocation: Allocation, now: float) -> bool:
    step = allocation.task.step
    since = worker.stalled_at_by_image.get(step.image)
    if not step.fills or not step.checkpoints or since is None:
        return False
    if allocation.is_stop_requested or allocation.task.job.is_final:
        return False
    return now >= max(since, allocation.started_at) + STANDSTILL_SECONDS
