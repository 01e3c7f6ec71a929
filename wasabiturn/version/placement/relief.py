"""Relief of services that batch work slows: throttle first, then evict.

A service suffers while its p99 is over target. Tasks beside it that are known
to slow it are throttled by half after each period of suffering; when all are
at the floor, the cheapest is evicted, within a budget for each minute. They
speed up again after a period of calm.
"""

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.session import ServiceReport
from wasabiturn.version.placement.estimates import eviction_cost
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.victims import evict, is_evictable
from wasabiturn.version.placement.workers import Worker

# Between this share of the target and the target, nothing changes.
CALM_SHARE = 0.8
THROTTLE_STEP = 0.5
FULL_SPEED = 1.0
# Pairs below this coefficient are no cause of suffering.
MIN_CULPRIT_SLOWDOWN = 0.02
BUDGET_SECONDS = 60.0


def observe_service(
    table: PlacementTable,
    worker: Worker,
    report: ServiceReport,
    now: float,
) -> None:
    """Take one report of answer times beside ``worker``."""
    learned = table.learned
    worker.loads_by_service[report.service_name] = report.load
    owner = table.owners_by_name.get((Kind.service, report.service_name))
    if owner is None or owner.service_spec is None or not report.answered:
        return
    target = owner.service_spec.target_p99_ms
    if target <= 0:
        return
    if report.p99_ms > target:
        learned.suffering_since.setdefault(worker.name, now)
        learned.calm_since.pop(worker.name, None)
    elif report.p99_ms < target * CALM_SHARE:
        learned.calm_since.setdefault(worker.name, now)
        learned.suffering_since.pop(worker.name, None)


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
    culprits = _find_culprits(table, worker)
    throttles = table.learned.throttles_by_task
    floor = table.settings.throttle_floor
    slowed = False
    for task in culprits:
        present = throttles.get(task, FULL_SPEED)
        if present > floor:
            throttles[task] = max(present * THROTTLE_STEP, floor)
            table.touched_workers[worker.name] = None
            slowed = True
    if slowed:
        planned.record('throttle', chosen=worker.name, culprits=culprits)
    elif culprits and _take_budget(table, now):
        _evict_cheapest(table, planned, worker, culprits)


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


def _find_culprits(table: PlacementTable, worker: Worker) -> list[str]:
    """Return the batch tasks known to slow a service of ``worker``."""
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
            culprits.append(task)
    return sorted(culprits)


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
    throttles = table.learned.throttles_by_task
    for task in worker.charges_by_task:
        present = throttles.get(task)
        if present is None:
            continue
        faster = present / THROTTLE_STEP
        if faster >= FULL_SPEED:
            throttles.pop(task)
        else:
            throttles[task] = faster
        table.touched_workers[worker.name] = None
        planned.record('speed up', chosen=task, worker=worker.name)
