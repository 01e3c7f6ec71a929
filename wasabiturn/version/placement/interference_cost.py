"""Expected harm between a task and the neighbours that it would get."""

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker


def expected_harm(
    table: PlacementTable,
    spec: TaskSpec,
    worker: Worker,
) -> float:
    """Return the expected harm to the task and its neighbours.

    Batch tasks lose by the slow-down; services by its square, so that
    slow-down is shared out before one of them misses its target.
    """
    harm = sum(
        _harm_to(table, spec, worker, kind) for kind in worker.counts_by_kind
    )
    suffered = _suffered(table, spec, worker)
    if spec.owner_kind is Kind.service:
        return harm + table.settings.service_weight * suffered**2
    return harm + table.settings.batch_weight * suffered


def may_slow(table: PlacementTable, spec: TaskSpec, worker: Worker) -> bool:
    """Tell whether the services of a worker stay within their target.

    Only batch tasks that are not urgent are held back, and never from a
    worker that holds no batch task.
    """
    if spec.owner_kind is Kind.service or spec.urgent:
        return True
    if not table.settings.interference_weight or not worker.service_kinds:
        return True
    if len(worker.counts_by_kind) == len(worker.service_kinds):
        return True
    model = table.learned.interference
    return all(
        present_slowdown(table, worker, kind)
        + model.slowdown(kind, spec.task_kind)
        <= worker.slowdown_limit
        for kind in worker.service_kinds
    )


def present_slowdown(table: PlacementTable, worker: Worker, kind: str) -> float:
    """Return the expected slow-down of a service of ``worker`` at present."""
    model = table.learned.interference
    return sum(
        count * model.slowdown(kind, other)
        for other, count in worker.counts_by_kind.items()
        if other != kind
    )


def _harm_to(
    table: PlacementTable,
    spec: TaskSpec,
    worker: Worker,
    kind: str,
) -> float:
    settings = table.settings
    count = worker.counts_by_kind[kind]
    caused = table.learned.interference.slowdown(kind, spec.task_kind)
    if kind not in worker.service_kinds:
        return settings.batch_weight * count * caused
    load = worker.loads_by_kind.get(kind, 1)
    present = present_slowdown(table, worker, kind)
    grown = (present + caused) ** 2 - present**2
    return settings.service_weight * count * load * grown


def _suffered(table: PlacementTable, spec: TaskSpec, worker: Worker) -> float:
    model = table.learned.interference
    return sum(
        count
        * worker.loads_by_kind.get(kind, 1)
        * model.slowdown(spec.task_kind, kind)
        for kind, count in worker.counts_by_kind.items()
    )
