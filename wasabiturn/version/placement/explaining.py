"""Reasons for which a task waits, as ``wasabiturn explain`` shows them."""

from wasabiturn.version.placement.capacity import fits
from wasabiturn.version.placement.choice import Places, Request
from wasabiturn.version.placement.interference_cost import may_slow
from wasabiturn.version.placement.table import PlacementTable

MAX_EXPLAINED_WORKERS = 64


def explain_wait(
    table: PlacementTable,
    request: Request,
    places: Places,
) -> str:
    """Return why no worker was chosen, judged by some of the workers."""
    if not places.workers:
        return 'no worker takes starts now'
    if not fits(request.size, places.largest_free):
        return 'no worker has room'
    with_room = [
        worker
        for worker in places.workers[:MAX_EXPLAINED_WORKERS]
        if fits(request.size, worker.free)
    ]
    if not with_room:
        return 'no worker has room'
    if any(may_slow(table, request.spec, worker) for worker in with_room):
        return 'the room that is left is reserved'
    return 'it would slow the services where there is room'
