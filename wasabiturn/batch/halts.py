"""Detection of filling runs that are paced so low that they stall."""

from wasabiturn.batch.fleet import Charge, Worker

# A run below this pace for so long is moved, if another worker can take it.
STALLED_BELOW_PERCENT = 20
STALL_SECONDS = 1.0


def update_stalls(worker: Worker, now: float) -> None:
    """Update since when each filling image stalls on a worker."""
    worker.halted_at_by_image = {
        image: worker.halted_at_by_image.get(image, now)
        for image, percent in worker.percent_by_image.items()
        if percent < STALLED_BELOW_PERCENT
    }


def find_stalled(worker: Worker, now: float) -> list[Charge]:
    """Return the stalled runs that lose little work if they are stopped."""
    return [
        charge
        for charge in worker.charges_by_task.values()
        if _is_stalled(worker, charge, now)
    ]


def _is_stalled(worker: Worker, charge: Charge, now: float) -> bool:
    step = charge.task.step
    since = worker.halted_at_by_image.get(step.image)
    if not step.fills or not step.checkpoints or since is None:
        return False
    if charge.is_to_stop or charge.task.job.is_final:
        return False
    return now >= max(since, charge.started_at) + STALL_SECONDS
