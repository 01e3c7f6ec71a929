"""Moves out of data centres that are out of service.

Batch tasks are checkpointed and evicted within a budget. A service first gets
a surplus replica elsewhere; then its replicas move one after another, and the
surplus ends once all of them run.
"""

from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.lifecycle import HOLDING
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.victims import evict

# Replicas of one service that move at a time: one in so many, at least one.
REPLICAS_PER_MOVE = 10

_MOVABLE = frozenset((TaskState.assigned, TaskState.running))


@final
@attrs.define
class ReplicaSet:
    """Replicas of one service, by what is to be done with them."""

    declared: int
    surplus: dict[str, TaskSpec] = attrs.field(factory=dict)
    leaving: dict[str, TaskSpec] = attrs.field(factory=dict)
    running: int = 0
    running_surplus: int = 0

    def missing(self) -> int:
        """Return how many declared replicas do not run."""
        return self.declared - self.running


def plan_moves(table: PlacementTable, planned: Plan) -> None:
    """Plan evictions from data centres that are out, and surplus replicas."""
    services = _find_services(table)
    for service in sorted(services):
        _move_service(table, planned, service)
    if table.out_data_centres:
        _move_batch(table, planned)


def _find_services(table: PlacementTable) -> set[str]:
    """Return the services with a replica that is out, or with surplus."""
    services = set(table.surplus_services)
    for worker in table.workers_by_name.values():
        if worker.data_centre not in table.out_data_centres:
            continue
        for task in worker.charges_by_task:
            spec = table.specs_by_task[task]
            if spec.owner_kind is Kind.service:
                services.add(spec.owner)
    return services


def _move_batch(table: PlacementTable, planned: Plan) -> None:
    budget = table.settings.max_evictions_at_once - len(table.evicting_tasks)
    for task, spec in _find_batch(table):
        if planned.evictions >= budget or planned.is_full():
            return
        planned.evictions += 1
        data_centre = table.worker(spec.worker).data_centre
        _evict(planned, task, spec, data_centre)


def _find_batch(table: PlacementTable) -> Iterator[tuple[str, TaskSpec]]:
    """Yield the batch tasks that are to leave, with their state."""
    for worker in table.workers_by_name.values():
        if worker.data_centre not in table.out_data_centres:
            continue
        for task in worker.charges_by_task:
            spec = table.specs_by_task[task]
            if spec.owner_kind is Kind.job and spec.state in _MOVABLE:
                yield task, spec


def _move_service(table: PlacementTable, planned: Plan, service: str) -> None:
    replicas = _sort_replicas(table, service)
    if not replicas.surplus:
        table.surplus_services.discard(service)
    if not replicas.leaving:
        if replicas.missing() <= 0:
            _end_surplus(planned, replicas)
        return
    wanted = max(1, replicas.declared // REPLICAS_PER_MOVE)
    if len(replicas.surplus) < wanted:
        planned.surplus_services.append(service)
    moves = replicas.running_surplus - replicas.missing()
    for task, spec in list(replicas.leaving.items())[: max(moves, 0)]:
        data_centre = table.worker(spec.worker).data_centre
        _evict(planned, task, spec, data_centre)


def _sort_replicas(table: PlacementTable, service: str) -> ReplicaSet:
    owner = table.owners_by_name.get((Kind.service, service))
    declared = 0
    if owner is not None and owner.service_spec is not None:
        declared = owner.service_spec.replicas
    replicas = ReplicaSet(declared=declared)
    for task in sorted(table.tasks_by_owner.get((Kind.service, service), ())):
        spec = table.specs_by_task[task]
        is_running = spec.state is TaskState.running
        is_out = _is_out(table, spec)
        if spec.number >= declared:
            replicas.surplus[task] = spec
            replicas.running_surplus += is_running and not is_out
        else:
            replicas.running += is_running
            if is_out and spec.state in _MOVABLE:
                replicas.leaving[task] = spec
    return replicas


def _is_out(table: PlacementTable, spec: TaskSpec) -> bool:
    if spec.state not in HOLDING:
        return False
    worker = table.worker(spec.worker)
    return worker.data_centre in table.out_data_centres


def _end_surplus(planned: Plan, replicas: ReplicaSet) -> None:
    for task, spec in replicas.surplus.items():
        following = TaskState.cancelled
        if spec.state in HOLDING:
            following = TaskState.stopping
        if spec.state is not following:
            reason = 'surplus of a move that is over'
            changed = attrs.evolve(spec, state=following, reason=reason)
            planned.add(task, spec, changed)


def _evict(
    planned: Plan,
    task: str,
    spec: TaskSpec,
    data_centre: str,
) -> None:
    planned.add(task, spec, evict(spec, f'{data_centre} is out'))
    planned.record('move out', chosen=task, data_centre=data_centre)
