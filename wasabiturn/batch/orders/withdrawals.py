"""Starts that were chosen before their data centre or worker changed.

The data centre was taken out, or the capacity of the worker has shrunk.
"""

from collections.abc import Iterator

from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.state.jobs import Task

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
            if (
                _awaits_confirmation(allocation)
                and now >= allocation.started_at + CONFIRMATION_SECONDS
            ):
                yield allocation


def find_starts_without_room(worker: Worker) -> Iterator[Allocation]:
    """Yield the starts that take more of a resource than the worker has.

    Those are all that take it: the worker may carry them out in any order, and
    what it is told to stop still takes its share until it has ended.
    """
    if not worker.is_reconciled or worker.has_room(0, 0, 0):
        return
    for allocation in worker.allocations_by_task.values():
        if _awaits_confirmation(allocation) and worker.is_short_for(
            allocation.task.step
        ):
            yield allocation


def list_gang(fleet: Fleet, allocation: Allocation) -> list[Allocation]:
    """Return the runs of a gang that wait for a withdrawn start, and that."""
    task = allocation.task
    if not task.step.gang:
        return [allocation]
    members = [
        _find_allocation(fleet, each)
        for each in task.part.open_tasks()
        if each.run == allocation.run
    ]
    return [each for each in members if each and not each.is_stop_requested]


def _find_allocation(fleet: Fleet, task: Task) -> Allocation | None:
    worker = fleet.worker_of(task)
    return worker.allocations_by_task.get(task.name) if worker else None


def _awaits_confirmation(allocation: Allocation) -> bool:
    return not allocation.is_confirmed and not allocation.is_stop_requested
