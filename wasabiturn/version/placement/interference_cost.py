"""Expected interference between a task and the tasks of a worker."""

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker


def expected_interference_cost(
    table: PlacementTable,
    spec: TaskSpec,
    worker: Worker,
) -> float:
    """Return the cost of the slowdown of the task and its neighbours.

    Batch tasks count their slowdown; services count its square, so that
    slowdown is spread over several services before one of them misses its
    target.
    """
    cost = sum(
        _cost_to_neighbours(table, spec, worker, kind)
        for kind in worker.counts_by_kind
    )
    own_slowdown = _slowdown_from_neighbours(table, spec, worker)
    if spec.owner_kind is Kind.service:
        return cost + table.settings.service_weight * own_slowdown**2
    return cost + table.settings.batch_weight * own_slowdown


def is_within_slowdown_limit(
    table: PlacementTable,
    spec: TaskSpec,
    worker: Worker,
) -> bool:
    """Return whether the services of a worker would meet their targets.

    Only non-urgent batch tasks are restricted, and never on a worker that
    holds no batch task yet.
    """
    if spec.owner_kind is Kind.service or spec.urgent:
        return True
    if (
        not table.settings.interference_weight
        or not worker.service_counts_by_kind
    ):
        return True
    if len(worker.counts_by_kind) == len(worker.service_counts_by_kind):
        return True
    model = table.learned.interference
    return all(
        current_slowdown(table, worker, kind)
        + model.slowdown(kind, spec.task_kind)
        <= worker.slowdown_limit
        for kind in worker.service_counts_by_kind
    )


def current_slowdown(table: PlacementTable, worker: Worker, kind: str) -> float:
    """Return the expected slowdown of a service by its current neighbours."""
    model = table.learned.interference
    return sum(
        count * model.slowdown(kind, other)
        for other, count in worker.counts_by_kind.items()
        if other != kind
    )


def _cost_to_neighbours(
    table: PlacementTable,
    spec: TaskSpec,
    worker: Worker,
    kind: str,
) -> float:
    settings = table.settings
    count = worker.counts_by_kind[kind]
    added = table.learned.interference.slowdown(kind, spec.task_kind)
    if kind not in worker.service_counts_by_kind:
        return settings.batch_weight * count * added
    load = worker.loads_by_kind.get(kind, 1)
    current = current_slowdown(table, worker, kind)
    increase = (current + added) ** 2 - current**2
    return settings.service_weight * count * load * increase


def _slowdown_from_neighbours(
    table: PlacementTable,
    spec: TaskSpec,
    worker: Worker,
) -> float:
    model = table.learned.interference
    return sum(
        count
        * worker.loads_by_kind.get(kind, 1)
        * model.slowdown(spec.task_kind, kind)
        for kind, count in worker.counts_by_kind.items()
    )
