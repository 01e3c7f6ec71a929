"""Choice of batch tasks to evict for a service or an urgent task."""

from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import Capacity, TaskSpec
from wasabiturn.version.placement.capacity import add, fits
from wasabiturn.version.placement.choice import WorkerPool
from wasabiturn.version.placement.estimates import eviction_cost
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker


@final
@attrs.frozen
class Victims:
    """Tasks whose eviction makes room on one worker, and its cost."""

    worker: Worker
    tasks: tuple[str, ...]
    cost: float


def choose_victims(
    table: PlacementTable,
    size: Capacity,
    pool: WorkerPool,
) -> Victims | None:
    """Return the tasks of one worker that make room at the least cost."""
    best: Victims | None = None
    for worker in pool.workers:
        if worker.name in pool.reserved_by_worker:
            continue
        found = _find_victims_on(table, size, worker)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def evict(spec: TaskSpec, reason: str) -> TaskSpec:
    """Return ``spec`` marked to be checkpointed and stopped."""
    return attrs.evolve(spec, state=TaskState.evicting, reason=reason)


def is_evictable(spec: TaskSpec) -> bool:
    """Return whether a task may be evicted in favour of other tasks."""
    return (
        spec.owner_kind is Kind.job
        and not spec.urgent
        and spec.state in {TaskState.assigned, TaskState.running}
    )


def _find_victims_on(
    table: PlacementTable,
    size: Capacity,
    worker: Worker,
) -> Victims | None:
    if not fits(size, worker.capacity):
        return None
    costs = {
        task: eviction_cost(table, task, table.specs_by_task[task])
        for task in worker.charges_by_task
        if is_evictable(table.specs_by_task[task])
    }
    free = worker.free
    chosen = []
    by_cost = sorted(costs, key=lambda each: (costs[each], each))
    for task in by_cost:
        free = add(free, worker.charges_by_task[task])
        chosen.append(task)
        if fits(size, free):
            return Victims(
                worker=worker,
                tasks=tuple(chosen),
                cost=sum(costs[task] for task in chosen),
            )
    return None
