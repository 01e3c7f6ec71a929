"""Reservations of waiting tasks, behind which others are backfilled.

After "An analysis of space- and time-sharing techniques" (section 3): a later
task may start first only if it does not delay one with a reservation. The
paper finds the mean wait insensitive to overestimated run times.
"""

from wasabiturn.version.placement.capacity import add, fits
from wasabiturn.version.placement.choice import Places, Request
from wasabiturn.version.placement.estimates import expected_end
from wasabiturn.version.placement.table import PlacementTable, Reservation
from wasabiturn.version.placement.workers import Worker

# A reservation is computed anew once it is this old, in seconds.
RESERVATION_SECONDS = 5.0


def expire_reservations(table: PlacementTable, now: float) -> None:
    """Drop reservations that are old or whose task waits no longer."""
    for task, reservation in list(table.reservations_by_task.items()):
        waits = task in table.queue.places_by_task
        if not waits or now > reservation.until:
            table.reservations_by_task.pop(task)


def reserve(
    table: PlacementTable,
    request: Request,
    places: Places,
    now: float,
) -> bool:
    """Reserve room for a task where it is expected to start first."""
    if request.task in table.reservations_by_task:
        return True
    starts = {}
    for worker in places.workers:
        if worker.name not in places.reserved_by_worker:
            starts_at = _first_room(table, request, worker, now)
            if starts_at is not None:
                starts[worker.name] = starts_at
    if not starts:
        return False
    name = min(starts, key=lambda each: (starts[each], each))
    keep_room(table, request, name, (starts[name], now + RESERVATION_SECONDS))
    places.reserved_by_worker.setdefault(name, []).append(request.task)
    return True


def keep_room(
    table: PlacementTable,
    request: Request,
    worker: str,
    period: tuple[float, float],
) -> None:
    """Keep room on ``worker`` for a task; the period is start and expiry."""
    table.reservations_by_task[request.task] = Reservation(
        worker=worker,
        size=request.size,
        starts_at=period[0],
        until=period[1],
    )


def _first_room(
    table: PlacementTable,
    request: Request,
    worker: Worker,
    now: float,
) -> float | None:
    """Return when enough tasks of ``worker`` are expected to have ended."""
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
