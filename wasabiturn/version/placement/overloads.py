"""Workers whose observed use is over their capacity."""

from wasabiturn.messages.state import Capacity
from wasabiturn.version.placement.capacity import NOTHING, fits
from wasabiturn.version.placement.estimates import eviction_cost
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.victims import evict, is_evictable
from wasabiturn.version.placement.workers import Worker


def plan_overloads(table: PlacementTable, planned: Plan) -> None:
    """Evict batch tasks, cheapest first, from workers charged beyond them.

    One task at a time: the next follows once its room is free.
    """
    for name in list(table.learned.recharged_workers):
        worker = table.worker(name)
        if fits(NOTHING, worker.free):
            table.learned.recharged_workers.discard(name)
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
            'relieve overload',
            chosen=task,
            worker=worker.name,
            free=_describe(worker.free),
        )


def _describe(free: Capacity) -> str:
    return f'{free.cores:g} cores, {free.memory_mb} MB'
