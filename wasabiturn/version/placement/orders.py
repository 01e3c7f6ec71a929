"""Orders to an agent, derived from the committed state of its tasks."""

from collections.abc import Collection

from wasabiturn.messages.kinds import Kind, OrderAction, TaskState
from wasabiturn.messages.session import Order
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.heartbeats import has_start_permit_expired
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker

FULL_SPEED = 1.0

_actions_by_state = {
    TaskState.assigned: OrderAction.start,
    TaskState.running: OrderAction.hold,
    TaskState.evicting: OrderAction.evict,
    TaskState.stopping: OrderAction.stop,
}


def list_orders(
    table: PlacementTable,
    worker: Worker,
    proposed_tasks: Collection[str],
    now: float,
) -> list[Order]:
    """Return an order for each attempt that the worker should hold.

    ``proposed_tasks`` have a change that is not committed yet. They are not
    started: the change may be their assignment or take it back.
    """
    orders = []
    for task in worker.charges_by_task:
        if task in table.specs_by_task:
            action = _choose_action(table, worker, task, now)
            if action is OrderAction.start and task in proposed_tasks:
                action = OrderAction.hold
            orders.append(_create_order(table, task, action))
    return orders


def may_start(table: PlacementTable, worker: Worker) -> bool:
    """Return whether the agent may start attempts under these orders."""
    is_out = worker.data_centre in table.out_data_centres
    return worker.reconciled and not worker.leaving and not is_out


def _choose_action(
    table: PlacementTable,
    worker: Worker,
    task: str,
    now: float,
) -> OrderAction:
    spec = table.specs_by_task[task]
    if spec.incarnation != worker.incarnation:
        return _action_for_earlier_incarnation(table, spec, now)
    return _actions_by_state[spec.state]


def _create_order(
    table: PlacementTable,
    task: str,
    action: OrderAction,
) -> Order:
    spec = table.specs_by_task[task]
    if action is OrderAction.start:
        return _create_start_order(table, task, spec)
    return Order(
        task=task,
        attempt=spec.attempt,
        action=action,
        spec=spec if action is OrderAction.evict else None,
        throttle=table.learned.throttles_by_task.get(task, FULL_SPEED),
    )


def _action_for_earlier_incarnation(
    table: PlacementTable,
    spec: TaskSpec,
    now: float,
) -> OrderAction:
    if has_start_permit_expired(table, spec, now):
        return OrderAction.adopt
    return OrderAction.hold


def _create_start_order(
    table: PlacementTable,
    task: str,
    spec: TaskSpec,
) -> Order:
    command = ''
    run_seconds = float(0)
    owner = table.owners_by_name.get((spec.owner_kind, spec.owner))
    if owner is not None and owner.job_spec is not None:
        command = owner.job_spec.command
        run_seconds = owner.job_spec.run_seconds
    elif owner is not None and owner.service_spec is not None:
        command = owner.service_spec.command
    return Order(
        task=task,
        attempt=spec.attempt,
        action=OrderAction.start,
        spec=spec,
        command=command,
        throttle=FULL_SPEED,
        run_seconds=run_seconds if spec.owner_kind is Kind.job else 0,
    )
