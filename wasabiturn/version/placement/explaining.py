"""Reasons why a task waits, as shown by ``wasabiturn explain``."""

from wasabiturn.version.placement.capacity import fits
from wasabiturn.version.placement.choice import Request, WorkerPool
from wasabiturn.version.placement.interference_cost import (
    is_within_slowdown_limit,
)
from wasabiturn.version.placement.table import PlacementTable

MAX_EXPLAINED_WORKERS = 64


def explain_wait(
    table: PlacementTable,
    request: Request,
    pool: WorkerPool,
) -> str:
    """Return why no worker was chosen.

    Only the first ``MAX_EXPLAINED_WORKERS`` workers are examined.
    """
    if not pool.workers:
        return 'no worker takes starts now'
    if not fits(request.size, pool.largest_free):
        return 'no worker has room'
    with_room = [
        worker
        for worker in pool.workers[:MAX_EXPLAINED_WORKERS]
        if fits(request.size, worker.free)
    ]
    if not with_room:
        return 'no worker has room'
    if any(
        is_within_slowdown_limit(table, request.spec, worker)
        for worker in with_room
    ):
        return 'the room that is left is reserved'
    return 'it would slow the services where there is room'
