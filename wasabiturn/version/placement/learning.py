"""What heartbeats and outcomes teach: sizes, pairs, bad workers."""

from collections import deque

from wasabiturn.messages.kinds import TaskState
from wasabiturn.messages.session import Heartbeat, UsageReport
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.capacity import fits
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.relief import observe_service
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Neighbourhood, Worker

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
    """Take usage and service reports of one heartbeat."""
    _note_neighbourhood(worker.neighbourhoods, worker, now)
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
    following: TaskSpec,
    now: float,
) -> None:
    """Take the end of an attempt that is about to be committed."""
    spec = table.specs_by_task[task]
    quarantine = table.learned.quarantine
    if following.state is TaskState.finished:
        quarantine.record_success(spec.worker, spec.owner)
    elif _is_failure(spec, following):
        quarantined = quarantine.record_failure(spec.worker, spec.owner, now)
        if quarantined:
            planned.record('quarantine', chosen=spec.worker, task=task)


def _is_failure(spec: TaskSpec, following: TaskSpec) -> bool:
    if following.failures > spec.failures:
        return True
    return (
        spec.state is TaskState.assigned
        and following.state is TaskState.waiting
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
    counts = _find_counts(worker.neighbourhoods, sampled_at)
    loads = _loads(worker, spec, counts)
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
        worker.recharge(report.task, size)
        table.learned.recharged_workers.add(worker.name)


def _loads(
    worker: Worker,
    spec: TaskSpec,
    counts: dict[str, int],
) -> dict[str, float]:
    """Return the load of the neighbours of a task by kind."""
    loads = {kind: float(count) for kind, count in counts.items()}
    loads[spec.task_kind] = loads.get(spec.task_kind, 1) - 1
    for kind, share in worker.loads_by_kind.items():
        loads[kind] = loads.get(kind, 0) * share
    return {name: load for name, load in loads.items() if load > 0}


def _note_neighbourhood(
    neighbourhoods: deque[Neighbourhood],
    worker: Worker,
    now: float,
) -> None:
    counts = worker.counts_by_kind
    if neighbourhoods and neighbourhoods[-1].counts_by_kind == counts:
        return
    neighbourhoods.append(Neighbourhood(now, dict(counts)))
    while len(neighbourhoods) > 1:
        if neighbourhoods[1].since > now - HISTORY_SECONDS:
            break
        neighbourhoods.popleft()


def _find_counts(
    neighbourhoods: deque[Neighbourhood],
    at: float,
) -> dict[str, int]:
    """Return the counts by kind that were in force at ``at``."""
    for neighbourhood in reversed(neighbourhoods):
        if neighbourhood.since <= at:
            return neighbourhood.counts_by_kind
    return {}
