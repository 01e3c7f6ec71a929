"""Tasks that are bound to the name of one worker.

A new incarnation of a worker has seen no fencing token. Until it lists its
runs, it may carry out an order that an earlier one under its name left
unanswered.
While there may be such an order for a task, the task starts at this name only:
there a new incarnation has lost all newer runs of the task as well. A lasting
task may start elsewhere sooner; see ``early_release.py``.

The replicated state has until when a task is bound, on a clock of its own. A
leader of an earlier version stored only that it is; then a new one binds it for
the whole lifetime of an order.
"""

from collections.abc import Iterator

from wasabiturn.batch.fleet import (
    NEVER,
    UNKNOWN,
    Allocation,
    Fleet,
    Worker,
)
from wasabiturn.batch.orders.early_release import (
    is_lost_under_way,
    may_start_elsewhere,
)
from wasabiturn.batch.placing.candidates import create_start
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.batch.state.jobs import Task
from wasabiturn.messages.batch import StartRun
from wasabiturn.messages.kinds import BatchTaskState
from wasabiturn.messages.limits import ORDER_LIFETIME_SECONDS

# A list in a report may be as old as a worker may take to answer a hold.
LIST_AGE_SECONDS = 1.0


def bind_task(
    fleet: Fleet, task: Task, orders_end_at: float, now: float
) -> None:
    """Bind a task until its orders have expired, and it is released."""
    if orders_end_at == NEVER:
        return
    until = min(orders_end_at, now + ORDER_LIFETIME_SECONDS)
    known_until = fleet.bound_until_by_task.get(task.name, NEVER)
    fleet.bound_until_by_task[task.name] = max(until, known_until)


def bind_ended_task(
    fleet: Fleet, worker: Worker, allocation: Allocation, now: float
) -> None:
    """Bind the task of a run that has ended beside an open order."""
    if not allocation.is_ordered:
        return
    name = allocation.task.name
    bind_task(fleet, allocation.task, allocation.orders_end_at, now)
    fleet.tasks_lost_under_way.discard(name)
    is_bound = name in fleet.bound_until_by_task
    if is_bound and is_lost_under_way(worker, allocation, now):
        fleet.tasks_lost_under_way.add(name)


def restore_bindings(
    fleet: Fleet,
    batch_state: BatchState,
    state_clock: StateClock,
    now: float,
) -> None:
    """Bind the tasks that were bound under an earlier leader."""
    for task in batch_state.tasks_by_name.values():
        if not task.is_bound:
            continue
        until = UNKNOWN
        if task.bound_until_ms:
            until = state_clock.to_loop(task.bound_until_ms, now)
        bind_task(fleet, task, until, now)


def find_held_tasks(
    fleet: Fleet, batch_state: BatchState, now: float
) -> set[str]:
    """Return the bound tasks that start only at the name of their worker now.

    A lasting task stays bound as long as others, for lives yet to come.
    """
    return {
        name
        for name in fleet.bound_until_by_task
        if not _may_start_elsewhere(fleet, batch_state, name, now)
    }


def _may_start_elsewhere(
    fleet: Fleet, batch_state: BatchState, name: str, now: float
) -> bool:
    task = batch_state.tasks_by_name.get(name)
    if task is None or not task.step.lasting:
        return False
    return may_start_elsewhere(fleet, task, now)


def release_tasks(
    fleet: Fleet, batch_state: BatchState, lease_seconds: float, now: float
) -> list[Task]:
    """Release the tasks whose orders have expired; return those that wait.

    A late order may have begun a run just before it expired. The task is kept
    until a list shows that there is none, or the lease of the run has ended.
    """
    expired = [
        name
        for name, until in fleet.bound_until_by_task.items()
        if now >= until
    ]
    released: list[Task] = []
    for name in expired:
        task = batch_state.tasks_by_name.get(name)
        until = fleet.bound_until_by_task[name]
        if task is None:
            fleet.unbind(name)
        elif _is_over(fleet, task, until) or not _may_have_lease(
            fleet, task, until, lease_seconds, now
        ):
            fleet.unbind(name)
            released.append(task)
    return [each for each in released if each.state is BatchTaskState.waiting]


def find_resumed_runs(
    worker: Worker, batch_state: BatchState
) -> Iterator[StartRun]:
    """Yield the runs of bound tasks that a late order began at ``worker``.

    It has listed its runs under its fencing token for the first time, so no
    other order takes effect there.
    """
    for name, run in worker.unexpected_runs_by_task.items():
        task = batch_state.tasks_by_name.get(name)
        if task is None:
            continue
        start = create_start(task, worker, run)
        if _can_resume(task, start):
            yield start


def _can_resume(task: Task, start: StartRun) -> bool:
    if task.state is not BatchTaskState.waiting or task.step.gang:
        return False
    return task.is_resumed_by(start)


def _is_over(fleet: Fleet, task: Task, until: float) -> bool:
    """Return whether no late order has begun a run that goes on.

    Told by the worker that is now where the orders were sent, or by its agent
    if nothing listens there.
    """
    worker = fleet.reporting_by_agent.get(task.agent)
    if worker is None or worker.heard_at < until + LIST_AGE_SECONDS:
        return False
    return worker.report.refuses or _lists_no_run(worker, task, until)


def _lists_no_run(worker: Worker, task: Task, until: float) -> bool:
    """Return whether a list from after the orders expired lacks the task."""
    if not worker.is_reconciled or not worker.report.listed:
        return False
    if worker.heard_at < until + LIST_AGE_SECONDS:
        return False
    return task.name not in worker.unexpected_runs_by_task


def _may_have_lease(
    fleet: Fleet, task: Task, until: float, lease_seconds: float, now: float
) -> bool:
    lease_ends = [
        worker.lease_ends_at
        for worker in fleet.workers_by_incarnation.values()
        if worker.name == task.worker
        and not worker.is_superseded
        and not _lists_no_run(worker, task, until)
    ]
    return now < max([until + lease_seconds, *lease_ends])
