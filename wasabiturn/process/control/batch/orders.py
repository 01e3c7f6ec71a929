"""Creation of orders for one worker from the committed starts."""

from wasabiturn.batch.fleet import Charge, Fleet, Worker
from wasabiturn.batch.jobs import Task
from wasabiturn.batch.sharing import list_paces, wanted_percent
from wasabiturn.messages.batch import (
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerOrders,
)


def create_orders(
    fleet: Fleet,
    worker: Worker,
    committed_starts: set[tuple[str, int]],
    lease_ms: int,
    now: float,
) -> WorkerOrders:
    """Return the orders for the worker at ``now``.

    ``committed_starts`` has the task and run of each committed start.
    """
    orders = WorkerOrders(
        fence=fleet.fence,
        acknowledged=worker.stored_end,
        lease_ms=lease_ms,
        worker=worker.name,
        born_ms=worker.born_ms,
    )
    if not worker.is_known:
        return orders
    orders.starts = [
        start_order(worker, charge, now)
        for charge in worker.charges_by_task.values()
        if _is_open(charge)
        and (charge.task.name, charge.run) in committed_starts
    ]
    orders.stops = list_stops(worker)
    orders.paces = _list_paces(worker, now)
    return orders


def start_order(worker: Worker, charge: Charge, now: float) -> StartOrder:
    """Return the order that starts a run, and record the pace in it."""
    task = charge.task
    if task.step.fills:
        charge.paced_percent = wanted_percent(worker, charge)
        charge.paced_at = now
    return StartOrder(
        task=task.name,
        run=charge.run,
        payload=task.job.accepted.declaration.payload,
        checkpoint=_checkpoint_of(task),
        percent=charge.paced_percent,
    )


def list_stops(worker: Worker) -> list[StopOrder]:
    """Return stops for the runs that must not continue."""
    stops = [
        StopOrder(task=task, run=run)
        for task, run in worker.strays_by_task.items()
    ]
    stops.extend(
        StopOrder(task=task, run=run)
        for task, run in worker.inherited_by_task.items()
    )
    stops.extend(
        StopOrder(task=charge.task.name, run=charge.run)
        for charge in worker.charges_by_task.values()
        if charge.task.job.is_final or charge.is_to_stop
    )
    return stops


def _list_paces(worker: Worker, now: float) -> list[PaceOrder]:
    paces: list[PaceOrder] = []
    for charge in list_paces(worker, now):
        charge.paced_percent = wanted_percent(worker, charge)
        charge.paced_at = now
        paces.append(
            PaceOrder(
                task=charge.task.name,
                run=charge.run,
                percent=charge.paced_percent,
            ),
        )
    return paces


def _is_open(charge: Charge) -> bool:
    return not charge.is_confirmed and not charge.task.job.is_final


def _checkpoint_of(task: Task) -> str:
    """Return the checkpoint that a run resumes from.

    All members of a gang resume from the same checkpoint.
    """
    if not task.step.gang:
        return task.checkpoint
    members = task.part.open_tasks()
    return next((each.checkpoint for each in members if each.checkpoint), '')
