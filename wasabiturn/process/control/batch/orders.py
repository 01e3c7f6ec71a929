"""Orders for one worker, from what the leader has committed."""

from wasabiturn.batch.fleet import Allocation, Fleet, Worker
from wasabiturn.batch.jobs import Task
from wasabiturn.batch.sharing import find_pace_updates, target_percent
from wasabiturn.messages.batch import (
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerOrders,
)


def create_orders(
    fleet: Fleet,
    worker: Worker,
    committed: set[tuple[str, int]],
    lease_ms: int,
    now: float,
) -> WorkerOrders:
    """Return all that the worker shall do at ``now``.

    ``committed`` holds the starts, by task and run, that are stored.
    """
    orders = WorkerOrders(
        fence=fleet.fence,
        acknowledged=worker.committed_end,
        lease_ms=lease_ms,
        worker=worker.name,
        born_ms=worker.born_ms,
    )
    if not worker.is_reconciled:
        return orders
    orders.starts = [
        start_order(worker, allocation, now)
        for allocation in worker.allocations_by_task.values()
        if _is_open(allocation)
        and (allocation.task.name, allocation.run) in committed
    ]
    orders.stops = list_stops(worker)
    orders.paces = _list_paces(worker, now)
    return orders


def start_order(
    worker: Worker, allocation: Allocation, now: float
) -> StartOrder:
    """Return the order that starts a run."""
    task = allocation.task
    if task.step.fills:
        allocation.ordered_percent = target_percent(worker, allocation)
        allocation.pace_ordered_at = now
    return StartOrder(
        task=task.name,
        run=allocation.run,
        payload=task.job.accepted.declaration.payload,
        checkpoint=_checkpoint_of(task),
        percent=allocation.ordered_percent,
    )


def list_stops(worker: Worker) -> list[StopOrder]:
    """Return the runs that must not go on."""
    stops = [
        StopOrder(task=task, run=run)
        for task, run in worker.unexpected_runs_by_task.items()
    ]
    stops.extend(
        StopOrder(task=task, run=run)
        for task, run in worker.inherited_runs_by_task.items()
    )
    stops.extend(
        StopOrder(task=allocation.task.name, run=allocation.run)
        for allocation in worker.allocations_by_task.values()
        if allocation.task.job.is_final or allocation.is_stop_requested
    )
    return stops


def _list_paces(worker: Worker, now: float) -> list[PaceOrder]:
    paces: list[PaceOrder] = []
    for allocation in find_pace_updates(worker, now):
        allocation.ordered_percent = target_percent(worker, allocation)
        allocation.pace_ordered_at = now
        paces.append(
            PaceOrder(
                task=allocation.task.name,
                run=allocation.run,
                percent=allocation.ordered_percent,
            ),
        )
    return paces


def _is_open(allocation: Allocation) -> bool:
    return not allocation.is_confirmed and not allocation.task.job.is_final


def _checkpoint_of(task: Task) -> str:
    """Return where a run resumes; all members of a gang resume at one."""
    if not task.step.gang:
        return task.checkpoint
    members = task.part.open_tasks()
    return next((each.checkpoint for each in members if each.checkpoint), '')
