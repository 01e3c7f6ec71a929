"""Starts that were ordered in a data centre before it was taken out."""

from collections.abc import Iterator

from wasabiturn.batch.fleet import Allocation, Fleet

# A start that is not confirmed after this time waits for its worker.
CONFIRMATION_SECONDS = 2.0


def find_withdrawn_starts(
    fleet: Fleet, out_data_centres: set[str], now: float
) -> Iterator[Allocation]:
    """Yield the starts that must not be sent to their workers any more."""
    if not out_data_centres:
        return
    for worker in fleet.workers_by_incarnation.values():
        if worker.report.data_centre not in out_data_centres:
            continue
        for allocation in worker.allocations_by_task.values():
            if _awaits_confirmation(allocation, now):
                yield allocation


def _awaits_confirmation(allocation: Allocation, now: float) -> bool:
    if allocation.is_confirmed or allocation.is_stop_requested:
        return False
    return now >= allocation.started_at + CONFIRMATION_SECONDS
