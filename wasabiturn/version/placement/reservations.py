"""Reservations for waiting tasks, around which later tasks are backfilled.

As in "An analysis of space- and time-sharing techniques" (section 3), a later
task may start first only if it does not delay a task with a reservation. The
paper finds that overestimated run times hardly affect the mean wait.
"""

from wasabiturn.version.placement.capacity import add, fits
from wasabiturn.version.placement.choice import Request, WorkerPool
from wasabiturn.version.placement.estimates import expected_end
from wasabiturn.version.placement.table import PlacementTable, Reservation
from wasabiturn.version.placement.workers import Worker

# Reservations are recomputed at this age.
RESERVATION_SECONDS = 5.0


def expire_reservations(table: PlacementTable, now: float) -> None:
    """Drop reservations that expired or whose task no longer waits."""
    for task, reservation in list(table.reservations_by_task.items()):
        is_waiting = task in table.queue.positions_by_task
        if not is_waiting or now > reservation.expires_at:
            table.reservations_by_task.pop(task)


def reserve(
    table: PlacementTable,
    request: Request,
    pool: WorkerPool,
    now: float,
) -> bool:
    """Reserve room for a task where it is expected to start earliest.

    Return whether the task has a reservation.
    """
    if request.task in table.reservations_by_task:
        return True
    starts = {}
    for worker in pool.workers:
        if worker.name not in pool.reserved_by_worker:
            starts_at = _earliest_start(table, request, worker, now)
            if starts_at is not None:
                starts[worker.name] = starts_at
    if not starts:
        return False
    name = min(starts, key=lambda each: (starts[each], each))
    add_reservation(
        table,
        request,
        name,
        (starts[name], now + RESERVATION_SECONDS),
    )
    pool.reserved_by_worker.setdefault(name, []).append(request.task)
    return True


def add_reservation(
    table: PlacementTable,
    request: Request,
    worker: str,
    period: tuple[float, float],
) -> None:
    """Reserve room on ``worker``; ``period`` is its start and its expiry."""
    table.reservations_by_task[request.task] = Reservation(
        worker=worker,
        size=request.size,
        starts_at=period[0],
        expires_at=period[1],
    )


def _earliest_start(
    table: PlacementTable,
    request: Request,
    worker: Worker,
    now: float,
) -> float | None:
    """Return when ``worker`` is expected to have room, if it ever can."""
    free = worker.free
    if fits(request.size, free):
        return now
    if not fits(request.size, worker.capacity):
        return None
    ends = sorted(
        (expected_end(table, task, table.specs_by_task[task], now), task)
        for task in worker.charges_by_task
    )
    for ends_at, task in ends:
        free = add(free, worker.charges_by_task[task])
        if fits(request.size, free):
            return ends_at
    return None
