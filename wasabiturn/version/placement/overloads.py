"""Evictions from workers whose charges exceed their capacity."""

from wasabiturn.messages.state import Capacity
from wasabiturn.version.placement.capacity import ZERO_CAPACITY, fits
from wasabiturn.version.placement.estimates import eviction_cost
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.victims import evict, is_evictable
from wasabiturn.version.placement.workers import Worker


def plan_overloads(table: PlacementTable, planned: Plan) -> None:
    """Evict batch tasks from workers that are charged beyond capacity.

    The cheapest task goes first. The next one is evicted only after the
    capacity of the previous one is free.
    """
    for name in list(table.learned.workers_with_raised_charge):
        worker = table.get_or_create_worker(name)
        if fits(ZERO_CAPACITY, worker.free):
            table.learned.workers_with_raised_charge.discard(name)
        elif not _is_evicting(table, worker):
            _evict_one(table, planned, worker)


def _is_evicting(table: PlacementTable, worker: Worker) -> bool:
    return any(task in table.evicting_tasks for task in worker.charges_by_task)


def _evict_one(table: PlacementTable, planned: Plan, worker: Worker) -> None:
    costs = {
        task: eviction_cost(table, task, table.specs_by_task[task])
        for task in worker.charges_by_task
        if is_evictable(table.specs_by_task[task])
    }
    if not costs:
        return
    task = min(costs, key=lambda each: (costs[each], each))
    spec = table.specs_by_task[task]
    if planned.add(task, spec, evict(spec, f'{worker.name} is over capacity')):
        planned.record(
            'evict from overloaded worker',
            chosen=task,
            worker=worker.name,
            free=_describe(worker.free),
        )


def _describe(free: Capacity) -> str:
    return f'{free.cores:g} cores, {free.memory_mb} MB'
