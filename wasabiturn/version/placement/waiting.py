"""Why tasks wait, and which can never run."""

import attrs

from wasabiturn.messages.kinds import TaskState
from wasabiturn.messages.state import Capacity
from wasabiturn.version.placement.capacity import enlarge, fits
from wasabiturn.version.placement.choice import Request
from wasabiturn.version.placement.periods import (
    TASK_LEASE_SECONDS,
    latest_expiry,
)
from wasabiturn.version.placement.plan import MAX_REPORTED, Plan
from wasabiturn.version.placement.queue import QueuedOwner
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker

# Agents that reach a new leader have beaten within this time.
INTRODUCTION_SECONDS = 2.0
MAX_NOTES = 200
MAX_REVIEWED = 64


def note_waiting(planned: Plan, request: Request, reason: str) -> None:
    """Record why a task waits, when that has changed."""
    spec = request.spec
    if spec.reason == reason or planned.is_full(MAX_NOTES):
        return
    planned.add(request.task, spec, attrs.evolve(spec, reason=reason))
    planned.record('wait', chosen='', task=request.task, reason=reason)


def settle_impossible(
    table: PlacementTable,
    planned: Plan,
    now: float,
) -> None:
    """Say at once which waiting tasks no worker can ever hold."""
    workers = _known_workers(table, now)
    if not workers:
        return
    for owner in list(table.queue.tasks_by_owner):
        if not planned.is_full(MAX_REPORTED):
            _settle_owner(table, planned, owner, workers)
    for task in list(table.impossible_tasks)[:MAX_REVIEWED]:
        _review(table, planned, task, workers)


def _settle_owner(
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
        if planned.is_full(MAX_REPORTED):
            return
        present = table.specs_by_task[task]
        following = attrs.evolve(
            present,
            state=TaskState.impossible,
            reason=reason,
        )
        planned.add(task, present, following)
        planned.record('impossible', chosen='', task=task, reason=reason)


def _review(
    table: PlacementTable,
    planned: Plan,
    task: str,
    workers: list[Worker],
) -> None:
    """Queue an impossible task again once a worker can hold it."""
    spec = table.specs_by_task[task]
    if _fits_any(spec.size, workers):
        following = attrs.evolve(spec, state=TaskState.waiting, reason='')
        planned.add(task, spec, following)


def _known_workers(table: PlacementTable, now: float) -> list[Worker]:
    """Return the workers whose capacity is known, once all could beat.

    An unheard worker that holds tasks may yet announce a larger capacity.
    """
    led = now - table.leading_since
    if led < INTRODUCTION_SECONDS:
        return []
    workers = list(table.workers_by_name.values())
    known = [worker for worker in workers if worker.incarnation]
    if len(known) == len(workers) or led > latest_expiry(0, TASK_LEASE_SECONDS):
        return known
    return []


def _fits_any(size: Capacity, workers: list[Worker]) -> bool:
    return any(fits(size, worker.capacity) for worker in workers)


def _explain(size: Capacity, workers: list[Worker]) -> str:
    largest = workers[0].capacity
    for worker in workers:
        largest = enlarge(largest, worker.capacity)
    for field in attrs.fields(Capacity):
        wanted = getattr(size, field.name)
        most = getattr(largest, field.name)
        if wanted > most:
            return f'needs {wanted:g} {field.name}; no worker has over {most:g}'
    return 'no worker has enough of all that it needs at once'
