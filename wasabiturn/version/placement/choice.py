"""Choice of a worker for one task."""

import attrs

from wasabiturn.messages.kinds import TaskState
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.capacity import dominant_share, fits
from wasabiturn.version.placement.table import PlacementTable, Worker


def choose_worker(
    table: PlacementTable,
    spec: TaskSpec,
    now: float,
) -> Worker | None:
    """Return the worker for the next attempt of a task, if one can hold it."""
    eligible = [
        worker
        for worker in table.workers_by_name.values()
        if _is_eligible(table, worker, spec, now)
    ]
    if not eligible:
        return None
    return min(eligible, key=lambda worker: (_fill(worker), worker.name))


def assign(spec: TaskSpec, worker: Worker) -> TaskSpec:
    """Return ``spec`` with its next attempt assigned to ``worker``."""
    return attrs.evolve(
        spec,
        state=TaskState.assigned,
        attempt=spec.attempt + 1,
        worker=worker.name,
        incarnation=worker.incarnation,
        reason='',
    )


def _is_eligible(
    table: PlacementTable,
    worker: Worker,
    spec: TaskSpec,
    now: float,
) -> bool:
    return (
        fits(spec.size, worker.free)
        and worker.accepts_starts(now)
        and worker.data_centre not in table.out_data_centres
    )


def _fill(worker: Worker) -> float:
    return -dominant_share(worker.free, worker.capacity)
