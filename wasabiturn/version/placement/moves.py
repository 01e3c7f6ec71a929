"""Moves of tasks out of data centres that are out of service.

Batch tasks are checkpointed and evicted within a budget. A service first gets
surplus replicas in other data centres. Its declared replicas are then moved
while the running surplus replicas cover for them, and the surplus is stopped
once all declared replicas run again.
"""

from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import TaskSpec
from wasabiturn.version.placement.lifecycle import HOLDING_STATES
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.victims import evict

# One in this many replicas of a service moves at a time, and at least one.
REPLICAS_PER_MOVE = 10

_MOVABLE = frozenset((TaskState.assigned, TaskState.running))


@final
@attrs.define
class ReplicaSet:
    """Replicas of one service, grouped by what is to be done with them."""

    declared: int
    surplus: dict[str, TaskSpec] = attrs.field(factory=dict)
    to_move: dict[str, TaskSpec] = attrs.field(factory=dict)
    running: int = 0
    running_surplus: int = 0

    def missing(self) -> int:
        """Return how many declared replicas are not running."""
        return self.declared - self.running


def plan_moves(table: PlacementTable, planned: Plan) -> None:
    """Plan evictions from data centres that are out, and surplus replicas."""
    services = _find_services(table)
    for service in sorted(services):
        _move_service(table, planned, service)
    if table.out_data_centres:
        _move_batch_tasks(table, planned)


def _find_services(table: PlacementTable) -> set[str]:
    """Return the services with surplus replicas or replicas to move."""
    services = set(table.surplus_services)
    for worker in table.workers_by_name.values():
        if worker.data_centre not in table.out_data_centres:
            continue
        for task in worker.charges_by_task:
            spec = table.specs_by_task[task]
            if spec.owner_kind is Kind.service:
                services.add(spec.owner)
    return services


def _move_batch_tasks(table: PlacementTable, planned: Plan) -> None:
    budget = table.settings.max_evictions_at_once - len(table.evicting_tasks)
    for task, spec in _find_batch_tasks(table):
        if planned.evictions >= budget or planned.is_full():
            return
        planned.evictions += 1
        data_centre = table.get_or_create_worker(spec.worker).data_centre
        _evict(planned, task, spec, data_centre)


def _find_batch_tasks(table: PlacementTable) -> Iterator[tuple[str, TaskSpec]]:
    """Yield the name and spec of each batch task that is to be moved."""
    for worker in table.workers_by_name.values():
        if worker.data_centre not in table.out_data_centres:
            continue
        for task in worker.charges_by_task:
            spec = table.specs_by_task[task]
            if spec.owner_kind is Kind.job and spec.state in _MOVABLE:
                yield task, spec


def _move_service(table: PlacementTable, planned: Plan, service: str) -> None:
    replicas = _classify_replicas(table, service)
    if not replicas.surplus:
        table.surplus_services.discard(service)
    if not replicas.to_move:
        if replicas.missing() <= 0:
            _stop_surplus(planned, replicas)
        return
    wanted_surplus = max(1, replicas.declared // REPLICAS_PER_MOVE)
    if len(replicas.surplus) < wanted_surplus:
        planned.surplus_services.append(service)
    allowed_moves = replicas.running_surplus - replicas.missing()
    for task, spec in list(replicas.to_move.items())[: max(allowed_moves, 0)]:
        data_centre = table.get_or_create_worker(spec.worker).data_centre
        _evict(planned, task, spec, data_centre)


def _classify_replicas(table: PlacementTable, service: str) -> ReplicaSet:
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
                replicas.to_move[task] = spec
    return replicas


def _is_out(table: PlacementTable, spec: TaskSpec) -> bool:
    if spec.state not in HOLDING_STATES:
        return False
    worker = table.get_or_create_worker(spec.worker)
    return worker.data_centre in table.out_data_centres


def _stop_surplus(planned: Plan, replicas: ReplicaSet) -> None:
    for task, spec in replicas.surplus.items():
        next_state = TaskState.cancelled
        if spec.state in HOLDING_STATES:
            next_state = TaskState.stopping
        if spec.state is not next_state:
            reason = 'surplus of a move that is over'
            changed = attrs.evolve(spec, state=next_state, reason=reason)
            planned.add(task, spec, changed)


def _evict(
    planned: Plan,
    task: str,
    spec: TaskSpec,
    data_centre: str,
) -> None:
    planned.add(task, spec, evict(spec, f'{data_centre} is out'))
    planned.record(
        'evict from data centre',
        chosen=task,
        data_centre=data_centre,
    )
