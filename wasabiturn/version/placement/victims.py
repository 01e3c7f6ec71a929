"""Choice of batch tasks to evict for a task that cannot wait."""

from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import Capacity, TaskSpec
from wasabiturn.version.placement.capacity import add, fits
from wasabiturn.version.placement.choice import Places
from wasabiturn.version.placement.estimates import eviction_cost
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker


@final
@attrs.frozen
class Victims:
    """Tasks whose eviction makes room on one worker, and their cost."""

    worker: Worker
    tasks: tuple[str, ...]
    cost: float


def choose_victims(
    table: PlacementTable,
    size: Capacity,
    places: Places,
) -> Victims | None:
    """Return the cheapest set of tasks on one worker that makes room."""
    best: Victims | None = None
    for worker in places.workers:
        if worker.name in places.reserved_by_worker:
            continue
        found = _victims_on(table, size, worker)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def evict(spec: TaskSpec, reason: str) -> TaskSpec:
    """Return a held task that is to be checkpointed and stopped."""
    return attrs.evolve(spec, state=TaskState.evicting, reason=reason)


def is_evictable(spec: TaskSpec) -> bool:
    """Tell whether a task is batch work that may be moved for other work."""
    return (
        spec.owner_kind is Kind.job
        and not spec.urgent
        and spec.state in {TaskState.assigned, TaskState.running}
    )


def _victims_on(
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
