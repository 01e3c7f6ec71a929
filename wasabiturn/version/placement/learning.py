"""Learning of sizes, interference and failing workers from reports."""

from collections import deque

from wasabiturn.messages.kinds import TaskState
from wasabiturn.messages.session import Heartbeat, UsageReport
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.capacity import fits
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.relief import observe_service
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import TaskCounts, Worker

HISTORY_SECONDS = 60.0
FULL_SPEED = 1.0
MIN_THROTTLE = 0.01
NO_LIMIT = float('inf')


def learn_from_heartbeat(
    table: PlacementTable,
    worker: Worker,
    heartbeat: Heartbeat,
    now: float,
) -> None:
    """Learn from the usage and service reports of one heartbeat."""
    _record_task_counts(worker.task_counts_history, worker, now)
    if heartbeat.services:
        worker.slowdown_limit = NO_LIMIT
    for service in heartbeat.services:
        observe_service(table, worker, service, now)
    for report in heartbeat.usage:
        spec = table.specs_by_task.get(report.task)
        if spec is not None and spec.worker == worker.name:
            _learn_usage(table, worker, spec, report, now)


def learn_from_outcome(
    table: PlacementTable,
    planned: Plan,
    task: str,
    next_spec: TaskSpec,
    now: float,
) -> None:
    """Learn from the end of an attempt before the end is committed."""
    spec = table.specs_by_task[task]
    quarantine = table.learned.quarantine
    if next_spec.crashed_workers != spec.crashed_workers:
        planned.record(
            'worker crashed under task',
            chosen=next_spec.state.name,
            task=task,
            attempt=spec.attempt,
            crashed_workers=list(next_spec.crashed_workers),
        )
    elif next_spec.state is TaskState.finished:
        quarantine.record_success(spec.worker, spec.owner)
    elif _is_failure(spec, next_spec):
        quarantined = quarantine.record_failure(spec.worker, spec.owner, now)
        if quarantined:
            planned.record('quarantine worker', chosen=spec.worker, task=task)


def _is_failure(spec: TaskSpec, next_spec: TaskSpec) -> bool:
    if next_spec.failures > spec.failures:
        return True
    return (
        spec.state is TaskState.assigned
        and next_spec.state is TaskState.waiting
    )


def _learn_usage(
    table: PlacementTable,
    worker: Worker,
    spec: TaskSpec,
    report: UsageReport,
    now: float,
) -> None:
    learned = table.learned
    _learn_size(table, worker, spec, report)
    sampled_at = now - report.lag_seconds
    counts = _task_counts_at(worker.task_counts_history, sampled_at)
    loads = _neighbour_loads(worker, spec, counts)
    throttle = learned.throttles_by_task.get(report.task, FULL_SPEED)
    progress = report.progress / max(throttle, MIN_THROTTLE)
    learned.interference.learn(spec.task_kind, progress, loads, now)


def _learn_size(
    table: PlacementTable,
    worker: Worker,
    spec: TaskSpec,
    report: UsageReport,
) -> None:
    declared = table.declared_size(spec)
    observations = table.learned.observations
    observations.observe_size(spec.task_kind, declared, report.used)
    charged = worker.charges_by_task.get(report.task)
    size = table.charged_size(spec)
    if charged is not None and not fits(size, charged):
        worker.change_charge(report.task, size)
        table.learned.workers_with_raised_charge.add(worker.name)


def _neighbour_loads(
    worker: Worker,
    spec: TaskSpec,
    counts: dict[str, int],
) -> dict[str, float]:
    """Return the summed load of the neighbours of a task by kind."""
    loads = {kind: float(count) for kind, count in counts.items()}
    loads[spec.task_kind] = loads.get(spec.task_kind, 1) - 1
    for kind, share in worker.loads_by_kind.items():
        loads[kind] = loads.get(kind, 0) * share
    return {name: load for name, load in loads.items() if load > 0}


def _record_task_counts(
    task_counts_history: deque[TaskCounts],
    worker: Worker,
    now: float,
) -> None:
    counts = worker.counts_by_kind
    if task_counts_history and task_counts_history[-1].counts_by_kind == counts:
        return
    task_counts_history.append(TaskCounts(now, dict(counts)))
    while len(task_counts_history) > 1:
        if task_counts_history[1].since > now - HISTORY_SECONDS:
            break
        task_counts_history.popleft()


def _task_counts_at(
    task_counts_history: deque[TaskCounts],
    at: float,
) -> dict[str, int]:
    """Return the task counts by kind as they were at ``at``."""
    for task_counts in reversed(task_counts_history):
        if task_counts.since <= at:
            return task_counts.counts_by_kind
    return {}
