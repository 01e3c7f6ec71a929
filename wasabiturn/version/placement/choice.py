"""Choice of a worker for one task: feasible candidates, least cost."""

from typing import final

import attrs

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import Capacity, TaskSpec
from wasabiturn.version.placement.capacity import (
    CORES_TOLERANCE,
    NOTHING,
    add,
    dominant_share,
    enlarge,
    fits,
    subtract,
)
from wasabiturn.version.placement.estimates import expected_seconds
from wasabiturn.version.placement.interference_cost import (
    expected_harm,
    may_slow,
)
from wasabiturn.version.placement.lifecycle import HOLDING
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.workers import Worker

MAX_CANDIDATES = 16


@final
@attrs.frozen
class Request:
    """Task to place, with what it is charged and how long it may run."""

    task: str
    spec: TaskSpec
    size: Capacity
    ends_at: float


@final
@attrs.frozen
class Choice:
    """Chosen worker, its cost, and how many candidates came before it."""

    worker: Worker
    cost: float
    candidates: int


@final
@attrs.define
class Places:
    """Workers that may take starts at one moment, walked in rotation."""

    workers: list[Worker]
    total: Capacity = NOTHING
    largest_free: Capacity = NOTHING
    offset: int = 0
    reserved_by_worker: dict[str, list[str]] = attrs.field(factory=dict)


def create_places(table: PlacementTable, now: float) -> Places:
    """List the workers that may take starts at ``now``."""
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
    places = Places(workers=workers)
    for worker in workers:
        places.total = add(places.total, worker.capacity)
        places.largest_free = enlarge(places.largest_free, worker.free)
    for task, reservation in table.reservations_by_task.items():
        tasks = places.reserved_by_worker.setdefault(reservation.worker, [])
        tasks.append(task)
    return places


def create_request(
    table: PlacementTable,
    task: str,
    spec: TaskSpec,
    now: float,
) -> Request:
    """Create the request of a waiting task."""
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
    places: Places,
) -> Choice | None:
    """Return the best of some workers that have room for the request."""
    if not fits(request.size, places.largest_free):
        return None
    replicas = _count_replicas(table, request.spec)
    best: Choice | None = None
    candidates = _find_candidates(table, request, places)
    for compared, worker in enumerate(candidates, start=1):
        cost = _cost(table, request, worker, replicas)
        if best is None or cost < best.cost:
            best = Choice(worker=worker, cost=cost, candidates=compared)
    return best


def assign(request: Request, worker: Worker) -> TaskSpec:
    """Return the task with its next attempt assigned to ``worker``."""
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
    places: Places,
) -> list[Worker]:
    """Return the next workers in rotation that have room."""
    count = len(places.workers)
    found: list[Worker] = []
    for step in range(count):
        worker = places.workers[(places.offset + step) % count]
        if _is_candidate(table, request, worker, places):
            found.append(worker)
        if len(found) >= MAX_CANDIDATES:
            places.offset += step + 1
            break
    return found


def _is_candidate(
    table: PlacementTable,
    request: Request,
    worker: Worker,
    places: Places,
) -> bool:
    return (
        has_room(worker, request.size)
        and worker.starting < table.settings.max_starting_per_worker
        and may_slow(table, request.spec, worker)
        and _is_unreserved(table, request, worker, places)
    )


def has_room(worker: Worker, size: Capacity) -> bool:
    """Tell whether ``size`` fits into what is free on ``worker``."""
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
    places: Places,
) -> bool:
    """Tell whether the request delays no task that has a reservation."""
    free = worker.free
    for task in places.reserved_by_worker.get(worker.name, ()):
        reservation = table.reservations_by_task.get(task)
        if reservation is None or task == request.task:
            continue
        if request.ends_at > reservation.starts_at:
            free = subtract(free, reservation.size)
    return fits(request.size, free)


def _cost(
    table: PlacementTable,
    request: Request,
    worker: Worker,
    replicas: dict[str, int],
) -> float:
    settings = table.settings
    left = subtract(worker.free, request.size)
    fill = dominant_share(left, worker.capacity)
    cost = settings.fit_weight * fill
    if settings.interference_weight:
        harm = expected_harm(table, request.spec, worker)
        cost += settings.interference_weight * harm
    if replicas:
        near = replicas.get(worker.data_centre, 0)
        beside = replicas.get(_rack_key(worker), 0)
        cost += settings.spread_weight * (near + beside)
        cost += settings.spread_weight * replicas.get(worker.name, 0)
    return cost


def _count_replicas(table: PlacementTable, spec: TaskSpec) -> dict[str, int]:
    """Count the held replicas of a service by data centre, rack, worker."""
    counts: dict[str, int] = {}
    if spec.owner_kind is not Kind.service:
        return counts
    for task in table.tasks_by_owner.get((spec.owner_kind, spec.owner), ()):
        replica = table.specs_by_task[task]
        if replica.state in HOLDING:
            worker = table.worker(replica.worker)
            keys = (worker.data_centre, _rack_key(worker), worker.name)
            for key in keys:
                counts[key] = counts.get(key, 0) + 1
    return counts


def _rack_key(worker: Worker) -> str:
    return f'{worker.data_centre}/{worker.rack}'
