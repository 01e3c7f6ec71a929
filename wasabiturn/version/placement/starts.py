"""Starts of waiting tasks by priority class, then by least team share."""

import heapq
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import Capacity
from wasabiturn.version.placement.capacity import (
    ZERO_CAPACITY,
    add,
    dominant_share,
    fits,
)
from wasabiturn.version.placement.choice import (
    Choice,
    Request,
    WorkerPool,
    assign,
    choose_worker,
    create_request,
)
from wasabiturn.version.placement.explaining import explain_wait
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.queue import PriorityClass, QueuedOwner
from wasabiturn.version.placement.reservations import add_reservation, reserve
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.victims import choose_victims, evict
from wasabiturn.version.placement.waiting import record_wait_reason

# Scheduling of a priority class stops once this many of its owners were found
# to lack room or quota.
MAX_BLOCKED_OWNERS = 20
# Room made by evictions is reserved this long for the task that needs it.
EVICTION_RESERVATION_SECONDS = 10.0


@final
@attrs.define
class SchedulingCycle:
    """One pass through the waiting tasks of a priority class."""

    table: PlacementTable
    planned: Plan
    pool: WorkerPool
    now: float
    blocked_owners: int = 0


def start_waiting_tasks(
    table: PlacementTable,
    planned: Plan,
    pool: WorkerPool,
    now: float,
) -> None:
    """Plan starts of waiting tasks, and evictions for urgent ones."""
    for priority in PriorityClass:
        cycle = SchedulingCycle(
            table=table,
            planned=planned,
            pool=pool,
            now=now,
        )
        _schedule_class(cycle, priority)


def _schedule_class(cycle: SchedulingCycle, priority: PriorityClass) -> None:
    table = cycle.table
    owners_by_team = {
        team: table.queue.owners(priority, team)
        for team in table.queue.teams(priority)
    }
    shares = [(_weighted_share(cycle, team), team) for team in owners_by_team]
    heapq.heapify(shares)
    current_by_team: dict[str, QueuedOwner] = {}
    while shares and not _has_reached_limit(cycle):
        _, team = heapq.heappop(shares)
        owner = current_by_team.get(team) or next(owners_by_team[team], None)
        if owner is None:
            continue
        if _start_next_task(cycle, priority, team, owner):
            current_by_team[team] = owner
        else:
            current_by_team.pop(team, None)
        heapq.heappush(shares, (_weighted_share(cycle, team), team))


def _has_reached_limit(cycle: SchedulingCycle) -> bool:
    return cycle.planned.is_full() or cycle.blocked_owners >= MAX_BLOCKED_OWNERS


def _start_next_task(
    cycle: SchedulingCycle,
    priority: PriorityClass,
    team: str,
    owner: QueuedOwner,
) -> bool:
    """Start a task of ``owner``; return whether more of them may start."""
    task = cycle.table.queue.first_task(owner)
    if task is None or task in cycle.planned.transitions_by_task:
        return False
    spec = cycle.table.specs_by_task[task]
    request = create_request(cycle.table, task, spec, cycle.now)
    if not _is_within_quota(cycle.table, team, request.size):
        cycle.blocked_owners += 1
        record_wait_reason(
            cycle.planned,
            request,
            f'quota of team {team} is used',
        )
        return False
    choice = choose_worker(cycle.table, request, cycle.pool)
    if choice is not None:
        _start(cycle, request, choice)
        return True
    cycle.blocked_owners += 1
    if priority is PriorityClass.batch:
        _defer(cycle, request)
    else:
        _preempt_for_owner(cycle, owner)
    return False


def _start(cycle: SchedulingCycle, request: Request, choice: Choice) -> None:
    next_spec = assign(request, choice.worker)
    cycle.planned.add(request.task, request.spec, next_spec)
    cycle.table.put_task(request.task, next_spec)
    cycle.planned.record(
        'start task',
        chosen=choice.worker.name,
        task=request.task,
        attempt=next_spec.attempt,
        candidates=choice.candidates,
        cost=round(choice.cost, 3),
        cores=request.size.cores,
        waiting=len(cycle.table.queue),
    )


def _defer(cycle: SchedulingCycle, request: Request) -> None:
    table = cycle.table
    if len(table.reservations_by_task) < table.settings.reservations:
        reserve(table, request, cycle.pool, cycle.now)
    reason = explain_wait(table, request, cycle.pool)
    record_wait_reason(cycle.planned, request, reason)


def _preempt_for_owner(cycle: SchedulingCycle, owner: QueuedOwner) -> None:
    """Evict batch tasks for the waiting tasks of a service or urgent job."""
    table = cycle.table
    for task in list(table.queue.tasks_by_owner.get(owner, ())):
        if task in table.reservations_by_task:
            continue
        spec = table.specs_by_task[task]
        request = create_request(table, task, spec, cycle.now)
        if cycle.planned.is_full() or not _preempt_for_task(cycle, request):
            record_wait_reason(
                cycle.planned,
                request,
                'no worker can make room',
            )
            return


def _preempt_for_task(cycle: SchedulingCycle, request: Request) -> bool:
    table = cycle.table
    victims = choose_victims(table, request.size, cycle.pool)
    if victims is None:
        return False
    for task in victims.tasks:
        spec = table.specs_by_task[task]
        next_spec = evict(spec, f'room for {request.task}')
        cycle.planned.add(task, spec, next_spec)
    name = victims.worker.name
    period = (cycle.now, cycle.now + EVICTION_RESERVATION_SECONDS)
    add_reservation(table, request, name, period)
    reserved = cycle.pool.reserved_by_worker.setdefault(name, [])
    reserved.append(request.task)
    cycle.planned.record(
        'make room',
        chosen=name,
        task=request.task,
        victims=list(victims.tasks),
        cost=round(victims.cost, 3),
    )
    return True


def _weighted_share(cycle: SchedulingCycle, team: str) -> float:
    used = cycle.table.usage_by_team.get(team, ZERO_CAPACITY)
    share = dominant_share(used, cycle.pool.total)
    return share / _weight(cycle.table, team)


def _weight(table: PlacementTable, team: str) -> float:
    declared = table.owners_by_name.get((Kind.team, team))
    if declared is None or declared.team_spec is None:
        return 1
    return declared.team_spec.weight or 1


def _is_within_quota(
    table: PlacementTable,
    team: str,
    size: Capacity,
) -> bool:
    declared = table.owners_by_name.get((Kind.team, team))
    if declared is None or declared.team_spec is None:
        return True
    used = table.usage_by_team.get(team, ZERO_CAPACITY)
    return fits(add(used, size), declared.team_spec.quota)
