"""Creation of orders for one worker from the committed starts."""

from wasabiturn.batch.fleet import Allocation, Worker
from wasabiturn.batch.orders.offers import needs_offer, record_offers
from wasabiturn.batch.orders.order_limits import (
    may_be_ordered,
    read_agent_limit,
)
from wasabiturn.batch.placing.sharing import find_pace_updates, target_percent
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import (
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerOrders,
)


def create_orders(
    worker: Worker,
    committed_starts: set[tuple[str, int]],
    lease_ms: int,
    now: float,
    is_pushed: bool = False,
) -> WorkerOrders:
    """Return all orders for the worker at ``now``, with the next number.

    ``committed_starts`` has the task and run of each committed start. Planned
    ones, and those not ordered before, are only offered if the orders are
    pushed; see ``wasabiturn/batch/orders/offers.py``.
    """
    worker.order_number += 1
    orders = WorkerOrders(
        fence=worker.fence,
        number=worker.order_number,
        acknowledged=worker.committed_end,
        lease_ms=lease_ms,
        worker=worker.name,
        born_ms=worker.born_ms,
    )
    if not worker.is_reconciled:
        return orders
    awaiting = list(filter(awaits_start, worker.allocations_by_task.values()))
    due = [
        allocation
        for allocation in awaiting
        if (allocation.task.name, allocation.run) in committed_starts
        and may_be_ordered(worker, allocation)
    ]
    if is_pushed:
        planned = [each for each in awaiting if each.is_planned]
        offered = [
            each for each in planned + due if needs_offer(worker, each, now)
        ]
        due = [each for each in due if each not in offered]
        record_offers(worker, offered, now)
        orders.offered = len(offered)
    orders.starts = [create_start_order(worker, each, now) for each in due]
    orders.stops = list_stops(worker)
    orders.paces = _list_paces(worker, now)
    return orders


def create_start_order(
    worker: Worker, allocation: Allocation, now: float
) -> StartOrder:
    """Return the order that starts a run; record it and the pace in it."""
    task = allocation.task
    allocation.is_ordered = True
    if task.step.fills:
        allocation.ordered_percent = target_percent(worker, allocation)
        allocation.pace_ordered_at = now
    return StartOrder(
        task=task.name,
        run=allocation.run,
        payload=task.job.accepted.declaration.payload,
        checkpoint=_checkpoint_of(task),
        percent=allocation.ordered_percent,
        # While its start is not known to be answered, a lasting task is not
        # started elsewhere if the worker is lost.
        reports_at_once=task.is_suspect or task.step.lasting,
        send_until_ms=read_agent_limit(worker, allocation),
    )


def list_stops(worker: Worker) -> list[StopOrder]:
    """Return stops for the runs that must not continue."""
    stops = [
        StopOrder(task=task, run=run)
        for task, run in worker.unexpected_runs_by_task.items()
    ]
    stops.extend(
        StopOrder(task=allocation.task.name, run=allocation.run)
        for allocation in worker.allocations_by_task.values()
        if _is_unwanted(allocation) and not allocation.is_planned
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


def awaits_start(allocation: Allocation) -> bool:
    """Return whether the start of a run is to be ordered."""
    return not allocation.is_confirmed and not _is_unwanted(allocation)


def _is_unwanted(allocation: Allocation) -> bool:
    task = allocation.task
    is_over = task.job.is_final or task.is_completed
    return is_over or allocation.is_stop_requested


def _checkpoint_of(task: Task) -> str:
    """Return the checkpoint that a run resumes from.

    All members of a gang resume from the same checkpoint.
    """
    if not task.step.gang:
        return task.checkpoint
    members = task.part.open_tasks()
    return next((each.checkpoint for each in members if each.checkpoint), '')
