"""Relief of services that batch work slows: throttle first, then evict.

A service suffers while its p99 is over target. After each period of suffering
the tasks beside it that slow it most for each core are throttled by as much
as the excess needs; when all are at the floor, the cheapest is evicted, within
a budget for each minute. After a period of calm they speed up again, by as
much as the target allows.
"""

from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.session import ServiceReport
from wasabiturn.version.placement.estimates import eviction_cost
from wasabiturn.version.placement.interference_cost import present_slowdown
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.victims import evict, is_evictable
from wasabiturn.version.placement.workers import Worker

# Between this share of what is aimed at and all of it, nothing changes.
CALM_SHARE = 0.8
MIN_CORES = 0.1
MIN_P99_MS = 0.1
FULL_SPEED = 1.0
# Pairs below this coefficient are no cause of suffering.
MIN_CULPRIT_SLOWDOWN = 0.02
BUDGET_SECONDS = 60.0


@final
@attrs.frozen(order=True)
class Culprit:
    """Task that slows a service, ordered by slow-down per core."""

    slowdown_per_core: float
    task: str
    slowdown: float


def observe_service(
    table: PlacementTable,
    worker: Worker,
    report: ServiceReport,
    now: float,
) -> None:
    """Take one report of answer times beside ``worker``."""
    learned = table.learned
    owner = table.owners_by_name.get((Kind.service, report.service_name))
    if owner is None or owner.service_spec is None:
        return
    worker.loads_by_kind[owner.service_spec.task_kind] = report.load
    if not report.answered:
        _note_idle(table, worker, now)
        return
    target = owner.service_spec.target_p99_ms
    if target <= 0:
        return
    aim = target * table.settings.target_share
    excess = (report.p99_ms - aim) / max(report.p99_ms, aim)
    learned.excess_by_worker[worker.name] = excess
    present = present_slowdown(table, worker, owner.service_spec.task_kind)
    allowed = (1 + present) * aim / max(report.p99_ms, MIN_P99_MS) - 1
    worker.slowdown_limit = min(worker.slowdown_limit, max(allowed, 0))
    if report.p99_ms > aim:
        learned.suffering_since.setdefault(worker.name, now)
        learned.calm_since.pop(worker.name, None)
    elif report.p99_ms < aim * CALM_SHARE:
        learned.calm_since.setdefault(worker.name, now)
        learned.suffering_since.pop(worker.name, None)


def _note_idle(table: PlacementTable, worker: Worker, now: float) -> None:
    """Take it that a service without recent answers suffers from nothing."""
    table.learned.excess_by_worker[worker.name] = 0
    table.learned.suffering_since.pop(worker.name, None)
    table.learned.calm_since.setdefault(worker.name, now)


def plan_relief(table: PlacementTable, planned: Plan, now: float) -> None:
    """Throttle or evict beside suffering services; undo when it is calm."""
    learned = table.learned
    settings = table.settings
    for name, since in list(learned.suffering_since.items()):
        if now - since >= settings.suffering_seconds:
            learned.suffering_since[name] = now
            _relieve(table, planned, table.worker(name), now)
    for calm, calm_since in list(learned.calm_since.items()):
        if now - calm_since >= settings.recovery_seconds:
            learned.calm_since[calm] = now
            _speed_up(table, planned, table.worker(calm))


def _relieve(
    table: PlacementTable,
    planned: Plan,
    worker: Worker,
    now: float,
) -> None:
    """Throttle as many culprits as the excess needs; evict if none is left."""
    learned = table.learned
    excess = learned.excess_by_worker.get(worker.name, 0)
    floor = table.settings.throttle_floor
    culprits = find_culprits(table, worker)
    slowed = []
    for culprit in culprits:
        present = learned.throttles_by_task.get(culprit.task, FULL_SPEED)
        if excess <= 0 or present <= floor:
            continue
        throttle = max(present - excess / culprit.slowdown, floor)
        excess -= (present - throttle) * culprit.slowdown
        learned.throttles_by_task[culprit.task] = throttle
        slowed.append(culprit.task)
    if slowed:
        table.workers_to_notify[worker.name] = None
        planned.record('throttle', chosen=worker.name, culprits=slowed)
    elif culprits and _take_budget(table, now):
        tasks = [candidate.task for candidate in culprits]
        _evict_cheapest(table, planned, worker, tasks)


def _evict_cheapest(
    table: PlacementTable,
    planned: Plan,
    worker: Worker,
    culprits: list[str],
) -> None:
    specs = {task: table.specs_by_task[task] for task in culprits}
    task = min(
        culprits,
        key=lambda each: (eviction_cost(table, each, specs[each]), each),
    )
    planned.add(task, specs[task], evict(specs[task], 'slows a service'))
    planned.record('relieve', chosen=task, worker=worker.name)


def find_culprits(
    table: PlacementTable,
    worker: Worker,
) -> list[Culprit]:
    """Return the batch tasks known to slow a service, worst per core first."""
    model = table.learned.interference
    culprits = []
    for task in worker.charges_by_task:
        spec = table.specs_by_task[task]
        if not is_evictable(spec) or spec.state is not TaskState.running:
            continue
        slowdown = max(
            (
                model.slowdown(kind, spec.task_kind)
                for kind in worker.service_kinds
            ),
            default=0,
        )
        if slowdown >= MIN_CULPRIT_SLOWDOWN:
            cores = max(spec.size.cores, MIN_CORES)
            culprits.append(Culprit(slowdown / cores, task, slowdown))
    return sorted(culprits, reverse=True)


def _take_budget(table: PlacementTable, now: float) -> bool:
    learned = table.learned
    learned.eviction_times = [
        at for at in learned.eviction_times if now - at < BUDGET_SECONDS
    ]
    if len(learned.eviction_times) >= table.settings.evictions_per_minute:
        return False
    learned.eviction_times.append(now)
    return True


def _speed_up(table: PlacementTable, planned: Plan, worker: Worker) -> None:
    """Speed up the least harmful throttled task, if the target allows it."""
    learned = table.learned
    throttles = learned.throttles_by_task
    room = -learned.excess_by_worker.get(worker.name, 0)
    for slowest in reversed(find_culprits(table, worker)):
        present = throttles.get(slowest.task, FULL_SPEED)
        if present >= FULL_SPEED or room <= 0:
            continue
        faster = min(present + room / slowest.slowdown, FULL_SPEED)
        room -= (faster - present) * slowest.slowdown
        throttles[slowest.task] = faster
        table.workers_to_notify[worker.name] = None
        planned.record('speed up', chosen=slowest.task, worker=worker.name)
