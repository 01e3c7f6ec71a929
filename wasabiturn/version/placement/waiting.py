"""Recording of why tasks wait, and detection of those that can never run."""

import attrs

from wasabiturn.messages.kinds import TaskState
from wasabiturn.messages.state import Capacity
from wasabiturn.version.placement.capacity import elementwise_max, fits
from wasabiturn.version.placement.choice import Request
from wasabiturn.version.placement.periods import (
    TASK_LEASE_SECONDS,
    latest_expiry,
)
from wasabiturn.version.placement.plan import MAX_REPORT_TRANSITIONS, Plan
from wasabiturn.version.placement.queue import QueuedOwner
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker

# Agents that can reach a new leader have sent a heartbeat within this time.
AGENT_CONTACT_SECONDS = 2.0
# Wait reasons are left out of plans that have this many transitions.
MAX_WAIT_REASONS = 200
MAX_REVIEWED_TASKS = 64


def record_wait_reason(planned: Plan, request: Request, reason: str) -> None:
    """Store why a task waits, if the reason has changed."""
    spec = request.spec
    if spec.reason == reason or planned.is_full(MAX_WAIT_REASONS):
        return
    planned.add(request.task, spec, attrs.evolve(spec, reason=reason))
    planned.record('task waits', chosen='', task=request.task, reason=reason)


def mark_impossible(
    table: PlacementTable,
    planned: Plan,
    now: float,
) -> None:
    """Mark the waiting tasks that no known worker can ever hold.

    Tasks marked earlier are requeued once a worker can hold them.
    """
    workers = _known_workers(table, now)
    if not workers:
        return
    for owner in list(table.queue.tasks_by_owner):
        if not planned.is_full(MAX_REPORT_TRANSITIONS):
            _mark_owner_impossible(table, planned, owner, workers)
    for task in list(table.impossible_tasks)[:MAX_REVIEWED_TASKS]:
        _requeue_if_possible(table, planned, task, workers)


def _mark_owner_impossible(
    table: PlacementTable,
    planned: Plan,
    owner: QueuedOwner,
    workers: list[Worker],
) -> None:
    first = table.queue.first_task(owner)
    if first is None:
        return
    size = table.specs_by_task[first].size
    declared = table.owners_by_name.get((owner.kind, owner.name))
    if declared is not None:
        spec = declared.job_spec or declared.service_spec
        size = spec.size if spec else size
    if _fits_any(size, workers):
        return
    reason = _explain(size, workers)
    for task in list(table.queue.tasks_by_owner[owner]):
        if planned.is_full(MAX_REPORT_TRANSITIONS):
            return
        current = table.specs_by_task[task]
        next_spec = attrs.evolve(
            current,
            state=TaskState.impossible,
            reason=reason,
        )
        planned.add(task, current, next_spec)
        planned.record(
            'task is impossible',
            chosen='',
            task=task,
            reason=reason,
        )


def _requeue_if_possible(
    table: PlacementTable,
    planned: Plan,
    task: str,
    workers: list[Worker],
) -> None:
    """Requeue an impossible task once a worker can hold it."""
    spec = table.specs_by_task[task]
    if _fits_any(spec.size, workers):
        next_spec = attrs.evolve(spec, state=TaskState.waiting, reason='')
        planned.add(task, spec, next_spec)


def _known_workers(table: PlacementTable, now: float) -> list[Worker]:
    """Return the workers with known capacity, or none if it is too early.

    Agents need time to reach a new leader, and a worker that holds tasks but
    has sent no heartbeat yet may announce a larger capacity.
    """
    leading_seconds = now - table.leading_since
    if leading_seconds < AGENT_CONTACT_SECONDS:
        return []
    workers = list(table.workers_by_name.values())
    known = [worker for worker in workers if worker.incarnation]
    if len(known) == len(workers) or leading_seconds > latest_expiry(
        0,
        TASK_LEASE_SECONDS,
    ):
        return known
    return []


def _fits_any(size: Capacity, workers: list[Worker]) -> bool:
    return any(fits(size, worker.capacity) for worker in workers)


def _explain(size: Capacity, workers: list[Worker]) -> str:
    largest = workers[0].capacity
    for worker in workers:
        largest = elementwise_max(largest, worker.capacity)
    for field in attrs.fields(Capacity):
        wanted = getattr(size, field.name)
        most = getattr(largest, field.name)
        if wanted > most:
            return f'needs {wanted:g} {field.name}; no worker has over {most:g}'
    return 'no worker has enough of all that it needs at once'
