"""Relief of services that batch tasks slow down: throttle, then evict.

When the p99 of a service has been over its limit for ``suffering_seconds``,
batch tasks on the same worker are throttled by as much as the excess needs,
starting with those that slow the service most per core. When all of them are
at the throttle floor, the cheapest is evicted, within a budget per minute.
When the p99 has been well below the limit for ``recovery_seconds``, the tasks
speed up again by as much as the limit allows.
"""

from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.session import ServiceReport
from wasabiturn.version.placement.estimates import eviction_cost
from wasabiturn.version.placement.interference_cost import current_slowdown
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.victims import evict, is_evictable
from wasabiturn.version.placement.workers import Worker

# A worker recovers below this share of the p99 limit and is over target above
# the limit; in between, it keeps its state.
SPEED_UP_BELOW_SHARE = 0.8
MIN_CORES = 0.1
MIN_P99_MS = 0.1
FULL_SPEED = 1.0
# Pairs with a smaller coefficient do not count as interfering.
MIN_INTERFERING_SLOWDOWN = 0.02
EVICTION_BUDGET_SECONDS = 60.0


@final
@attrs.frozen(order=True)
class InterferingTask:
    """Task that slows a service, ordered by slowdown per core."""

    slowdown_per_core: float
    task: str
    slowdown: float


def observe_service(
    table: PlacementTable,
    worker: Worker,
    report: ServiceReport,
    now: float,
) -> None:
    """Update the state of ``worker`` from a report of its service's p99."""
    learned = table.learned
    owner = table.owners_by_name.get((Kind.service, report.service_name))
    if owner is None or owner.service_spec is None:
        return
    worker.loads_by_kind[owner.service_spec.task_kind] = report.load
    if not report.answered:
        _record_idle(table, worker, now)
        return
    target = owner.service_spec.target_p99_ms
    if target <= 0:
        return
    p99_limit_ms = target * table.settings.target_share
    excess = (report.p99_ms - p99_limit_ms) / max(report.p99_ms, p99_limit_ms)
    learned.excess_by_worker[worker.name] = excess
    current = current_slowdown(table, worker, owner.service_spec.task_kind)
    allowed = (1 + current) * p99_limit_ms / max(report.p99_ms, MIN_P99_MS) - 1
    worker.slowdown_limit = min(worker.slowdown_limit, max(allowed, 0))
    if report.p99_ms > p99_limit_ms:
        learned.over_target_since.setdefault(worker.name, now)
        learned.recovered_since.pop(worker.name, None)
    elif report.p99_ms < p99_limit_ms * SPEED_UP_BELOW_SHARE:
        learned.recovered_since.setdefault(worker.name, now)
        learned.over_target_since.pop(worker.name, None)


def _record_idle(table: PlacementTable, worker: Worker, now: float) -> None:
    """Treat a service without recent answers as recovered."""
    table.learned.excess_by_worker[worker.name] = 0
    table.learned.over_target_since.pop(worker.name, None)
    table.learned.recovered_since.setdefault(worker.name, now)


def plan_relief(table: PlacementTable, planned: Plan, now: float) -> None:
    """Throttle or evict tasks beside slow services; undo after recovery."""
    learned = table.learned
    settings = table.settings
    for name, since in list(learned.over_target_since.items()):
        if now - since >= settings.suffering_seconds:
            learned.over_target_since[name] = now
            _relieve(table, planned, table.get_or_create_worker(name), now)
    for worker_name, recovered_since in list(learned.recovered_since.items()):
        if now - recovered_since >= settings.recovery_seconds:
            learned.recovered_since[worker_name] = now
            _speed_up_tasks(
                table,
                planned,
                table.get_or_create_worker(worker_name),
            )


def _relieve(
    table: PlacementTable,
    planned: Plan,
    worker: Worker,
    now: float,
) -> None:
    """Throttle tasks by as much as the excess needs.

    If none can be throttled further, evict the cheapest.
    """
    learned = table.learned
    excess = learned.excess_by_worker.get(worker.name, 0)
    floor = table.settings.throttle_floor
    interfering_tasks = find_interfering_tasks(table, worker)
    slowed = []
    for interfering in interfering_tasks:
        current = learned.throttles_by_task.get(interfering.task, FULL_SPEED)
        if excess <= 0 or current <= floor:
            continue
        throttle = max(current - excess / interfering.slowdown, floor)
        excess -= (current - throttle) * interfering.slowdown
        learned.throttles_by_task[interfering.task] = throttle
        slowed.append(interfering.task)
    if slowed:
        table.workers_to_notify[worker.name] = None
        planned.record('throttle tasks', chosen=worker.name, culprits=slowed)
    elif interfering_tasks and _use_eviction_budget(table, now):
        tasks = [candidate.task for candidate in interfering_tasks]
        _evict_cheapest(table, planned, worker, tasks)


def _evict_cheapest(
    table: PlacementTable,
    planned: Plan,
    worker: Worker,
    interfering_tasks: list[str],
) -> None:
    specs = {task: table.specs_by_task[task] for task in interfering_tasks}
    task = min(
        interfering_tasks,
        key=lambda each: (eviction_cost(table, each, specs[each]), each),
    )
    planned.add(task, specs[task], evict(specs[task], 'slows a service'))
    planned.record('evict to relieve service', chosen=task, worker=worker.name)


def find_interfering_tasks(
    table: PlacementTable,
    worker: Worker,
) -> list[InterferingTask]:
    """Return the batch tasks that slow a service, worst per core first."""
    model = table.learned.interference
    interfering_tasks = []
    for task in worker.charges_by_task:
        spec = table.specs_by_task[task]
        if not is_evictable(spec) or spec.state is not TaskState.running:
            continue
        slowdown = max(
            (
                model.slowdown(kind, spec.task_kind)
                for kind in worker.service_counts_by_kind
            ),
            default=0,
        )
        if slowdown >= MIN_INTERFERING_SLOWDOWN:
            cores = max(spec.size.cores, MIN_CORES)
            interfering_tasks.append(
                InterferingTask(slowdown / cores, task, slowdown),
            )
    return sorted(interfering_tasks, reverse=True)


def _use_eviction_budget(table: PlacementTable, now: float) -> bool:
    learned = table.learned
    learned.eviction_times = [
        at
        for at in learned.eviction_times
        if now - at < EVICTION_BUDGET_SECONDS
    ]
    if len(learned.eviction_times) >= table.settings.evictions_per_minute:
        return False
    learned.eviction_times.append(now)
    return True


def _speed_up_tasks(
    table: PlacementTable,
    planned: Plan,
    worker: Worker,
) -> None:
    """Speed up throttled tasks as the limit allows, least harmful first."""
    learned = table.learned
    throttles = learned.throttles_by_task
    allowance = -learned.excess_by_worker.get(worker.name, 0)
    for throttled in reversed(find_interfering_tasks(table, worker)):
        current = throttles.get(throttled.task, FULL_SPEED)
        if current >= FULL_SPEED or allowance <= 0:
            continue
        faster = min(current + allowance / throttled.slowdown, FULL_SPEED)
        allowance -= (faster - current) * throttled.slowdown
        throttles[throttled.task] = faster
        table.workers_to_notify[worker.name] = None
        planned.record(
            'speed up task',
            chosen=throttled.task,
            worker=worker.name,
        )
