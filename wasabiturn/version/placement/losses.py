"""Detection of attempts whose lease expired while their worker is silent."""

import attrs

from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.lifecycle import apply_loss
from wasabiturn.version.placement.periods import (
    TASK_LEASE_SECONDS,
    latest_expiry,
)
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker


def find_lost_attempts(
    table: PlacementTable,
    now: float,
) -> dict[str, TaskSpec]:
    """Return the next spec of each task whose lease has certainly expired."""
    next_by_task = {}
    for worker in table.workers_by_name.values():
        if worker.charges_by_task and not worker.has_recent_heartbeat(now):
            next_by_task.update(_find_lost_on_worker(table, worker, now))
    return next_by_task


def _find_lost_on_worker(
    table: PlacementTable,
    worker: Worker,
    now: float,
) -> dict[str, TaskSpec]:
    next_by_task = {}
    granted = max(
        table.latest_grant_at(worker.name, worker.incarnation),
        *(
            table.latest_grant_at(worker.name, past)
            for past in worker.past_incarnations
        ),
        table.leading_since,
    )
    if now <= latest_expiry(granted, TASK_LEASE_SECONDS):
        return {}
    for task in worker.charges_by_task:
        spec = table.specs_by_task[task]
        checkpoints = table.learned.checkpoints_by_task
        checkpoint = checkpoints.get(task, spec.checkpoint)
        with_checkpoint = attrs.evolve(spec, checkpoint=checkpoint)
        lost = apply_loss(
            with_checkpoint,
            f'lease ended on silent {worker.name}',
        )
        if lost is not None:
            next_by_task[task] = lost
    return next_by_task
