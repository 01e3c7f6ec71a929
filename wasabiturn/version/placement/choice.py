"""Choice of a worker for one task: the feasible one with the least cost."""

from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import Capacity, TaskSpec
from wasabiturn.version.placement.capacity import (
    CORES_TOLERANCE,
    ZERO_CAPACITY,
    add,
    dominant_share,
    elementwise_max,
    fits,
    subtract,
)
from wasabiturn.version.placement.estimates import expected_seconds
from wasabiturn.version.placement.interference_cost import (
    expected_interference_cost,
    is_within_slowdown_limit,
)
from wasabiturn.version.placement.lifecycle import HOLDING_STATES
from wasabiturn.version.placement.suspicion_cost import suspicion_cost
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker

MAX_CANDIDATES = 16


@final
@attrs.frozen
class Request:
    """Task to place, with its charged size and its expected end."""

    task: str
    spec: TaskSpec
    size: Capacity
    ends_at: float


@final
@attrs.frozen
class Choice:
    """Chosen worker, its cost, and its position among the candidates."""

    worker: Worker
    cost: float
    candidates: int


@final
@attrs.define
class WorkerPool:
    """Workers that accept new attempts at one moment.

    A search for candidates begins at ``next_index`` and wraps around.
    """

    workers: list[Worker]
    total: Capacity = ZERO_CAPACITY
    largest_free: Capacity = ZERO_CAPACITY
    next_index: int = 0
    reserved_by_worker: dict[str, list[str]] = attrs.field(factory=dict)


def create_worker_pool(table: PlacementTable, now: float) -> WorkerPool:
    """Create the pool of workers that accept new attempts at ``now``."""
    quarantine = table.learned.quarantine
    limit = table.settings.max_starting_per_worker
    workers = [
        worker
        for worker in table.workers_by_name.values()
        if worker.accepts_starts(now)
        and worker.data_centre not in table.out_data_centres
        and worker.starting < limit
        and quarantine.allows(worker.name, len(worker.charges_by_task), now)
    ]
    pool = WorkerPool(workers=workers)
    for worker in workers:
        pool.total = add(pool.total, worker.capacity)
        pool.largest_free = elementwise_max(pool.largest_free, worker.free)
    for task, reservation in table.reservations_by_task.items():
        tasks = pool.reserved_by_worker.setdefault(reservation.worker, [])
        tasks.append(task)
    return pool


def create_request(
    table: PlacementTable,
    task: str,
    spec: TaskSpec,
    now: float,
) -> Request:
    """Create the placement request of a waiting task."""
    observations = table.learned.observations
    declared = table.declared_size(spec)
    return Request(
        task=task,
        spec=spec,
        size=observations.charged_size(spec.task_kind, declared),
        ends_at=now + expected_seconds(table, spec),
    )


def choose_worker(
    table: PlacementTable,
    request: Request,
    pool: WorkerPool,
) -> Choice | None:
    """Return the cheapest of the candidates with room for the request."""
    if not fits(request.size, pool.largest_free):
        return None
    replicas = _count_replicas(table, request.spec)
    best: Choice | None = None
    candidates = _find_candidates(table, request, pool)
    for position, worker in enumerate(candidates, start=1):
        cost = _placement_cost(table, request, worker, replicas)
        if best is None or cost < best.cost:
            best = Choice(worker=worker, cost=cost, candidates=position)
    return best


def assign(request: Request, worker: Worker) -> TaskSpec:
    """Return the spec with its next attempt assigned to ``worker``."""
    return attrs.evolve(
        request.spec,
        state=TaskState.assigned,
        attempt=request.spec.attempt + 1,
        worker=worker.name,
        incarnation=worker.incarnation,
        size=request.size,
        reason='',
    )


def _find_candidates(
    table: PlacementTable,
    request: Request,
    pool: WorkerPool,
) -> list[Worker]:
    """Return up to ``MAX_CANDIDATES`` feasible workers, in rotation."""
    count = len(pool.workers)
    found: list[Worker] = []
    for step in range(count):
        worker = pool.workers[(pool.next_index + step) % count]
        if _is_candidate(table, request, worker, pool):
            found.append(worker)
        if len(found) >= MAX_CANDIDATES:
            pool.next_index += step + 1
            break
    return found


def _is_candidate(
    table: PlacementTable,
    request: Request,
    worker: Worker,
    pool: WorkerPool,
) -> bool:
    return (
        has_room(worker, request.size)
        and worker.starting < table.settings.max_starting_per_worker
        and is_within_slowdown_limit(table, request.spec, worker)
        and _is_unreserved(table, request, worker, pool)
    )


def has_room(worker: Worker, size: Capacity) -> bool:
    """Return whether the free capacity of ``worker`` can hold ``size``."""
    free = worker.free
    return (
        size.cores <= free.cores + CORES_TOLERANCE
        and size.memory_mb <= free.memory_mb
        and size.accelerators <= free.accelerators
    )


def _is_unreserved(
    table: PlacementTable,
    request: Request,
    worker: Worker,
    pool: WorkerPool,
) -> bool:
    """Return whether the request delays no task with a reservation."""
    free = worker.free
    for task in pool.reserved_by_worker.get(worker.name, ()):
        reservation = table.reservations_by_task.get(task)
        if reservation is None or task == request.task:
            continue
        if request.ends_at > reservation.starts_at:
            free = subtract(free, reservation.size)
    return fits(request.size, free)


def _placement_cost(
    table: PlacementTable,
    request: Request,
    worker: Worker,
    replicas: dict[str, int],
) -> float:
    settings = table.settings
    left = subtract(worker.free, request.size)
    free_share = dominant_share(left, worker.capacity)
    cost = settings.fit_weight * free_share
    if settings.interference_weight:
        interference = expected_interference_cost(table, request.spec, worker)
        cost += settings.interference_weight * interference
    if request.spec.crashed_workers:
        cost += suspicion_cost(request.spec, worker)
    if replicas:
        same_data_centre_count = replicas.get(worker.data_centre, 0)
        same_rack_count = replicas.get(_rack_key(worker), 0)
        cost += settings.spread_weight * (
            same_data_centre_count + same_rack_count
        )
        cost += settings.spread_weight * replicas.get(worker.name, 0)
    return cost


def _count_replicas(table: PlacementTable, spec: TaskSpec) -> dict[str, int]:
    """Count the placed replicas of a service by data centre, rack, worker."""
    counts: dict[str, int] = {}
    if spec.owner_kind is not Kind.service:
        return counts
    for task in table.tasks_by_owner.get((spec.owner_kind, spec.owner), ()):
        replica = table.specs_by_task[task]
        if replica.state in HOLDING_STATES:
            worker = table.get_or_create_worker(replica.worker)
            keys = (worker.data_centre, _rack_key(worker), worker.name)
            for key in keys:
                counts[key] = counts.get(key, 0) + 1
    return counts


def _rack_key(worker: Worker) -> str:
    return f'{worker.data_centre}/{worker.rack}'
