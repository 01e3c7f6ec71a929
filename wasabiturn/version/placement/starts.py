"""Starts of waiting tasks: lane by lane, the team with least share first."""

import heapq
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.state import Capacity
from wasabiturn.version.placement.capacity import (
    NOTHING,
    add,
    dominant_share,
    fits,
)
from wasabiturn.version.placement.choice import (
    Choice,
    Places,
    Request,
    assign,
    choose_worker,
    create_request,
)
from wasabiturn.version.placement.explaining import explain_wait
from wasabiturn.version.placement.plan import Plan
from wasabiturn.version.placement.queue import Lane, QueuedOwner
from wasabiturn.version.placement.reservations import keep_room, reserve
from wasabiturn.version.placement.table import PlacementTable
from wasabiturn.version.placement.victims import choose_victims, evict
from wasabiturn.version.placement.waiting import note_waiting

# Owners of one lane that may be found without room in one step.
MAX_BLOCKED_OWNERS = 20
# Room made by evictions is kept this long for the task it was made for.
EVICTION_SECONDS = 10.0


@final
@attrs.define
class Walk:
    """One walk through the queue."""

    table: PlacementTable
    planned: Plan
    places: Places
    now: float
    blocked: int = 0


def start_waiting(
    table: PlacementTable,
    planned: Plan,
    places: Places,
    now: float,
) -> None:
    """Plan the starts of waiting tasks, and evictions for urgent ones."""
    for lane in Lane:
        walk = Walk(table=table, planned=planned, places=places, now=now)
        _walk_lane(walk, lane)


def _walk_lane(walk: Walk, lane: Lane) -> None:
    table = walk.table
    owners_by_team = {
        team: table.queue.owners(lane, team) for team in table.queue.teams(lane)
    }
    shares = [(_share(walk, team), team) for team in owners_by_team]
    heapq.heapify(shares)
    present_by_team: dict[str, QueuedOwner] = {}
    while shares and not _is_over(walk):
        _, team = heapq.heappop(shares)
        owner = present_by_team.get(team) or next(owners_by_team[team], None)
        if owner is None:
            continue
        if _start_one(walk, lane, team, owner):
            present_by_team[team] = owner
        else:
            present_by_team.pop(team, None)
        heapq.heappush(shares, (_share(walk, team), team))


def _is_over(walk: Walk) -> bool:
    return walk.planned.is_full() or walk.blocked >= MAX_BLOCKED_OWNERS


def _start_one(
    walk: Walk,
    lane: Lane,
    team: str,
    owner: QueuedOwner,
) -> bool:
    """Start a task of ``owner``; false when no more of them can start."""
    task = walk.table.queue.first_task(owner)
    if task is None or task in walk.planned.transitions_by_task:
        return False
    spec = walk.table.specs_by_task[task]
    request = create_request(walk.table, task, spec, walk.now)
    if not _is_within_quota(walk.table, team, request.size):
        walk.blocked += 1
        note_waiting(walk.planned, request, f'quota of team {team} is used')
        return False
    choice = choose_worker(walk.table, request, walk.places)
    if choice is not None:
        _start(walk, request, choice)
        return True
    walk.blocked += 1
    if lane is Lane.batch:
        _wait_for_room(walk, request)
    else:
        _make_room_for(walk, owner)
    return False


def _start(walk: Walk, request: Request, choice: Choice) -> None:
    following = assign(request, choice.worker)
    walk.planned.add(request.task, request.spec, following)
    walk.table.put_task(request.task, following)
    walk.planned.record(
        'start',
        chosen=choice.worker.name,
        task=request.task,
        attempt=following.attempt,
        candidates=choice.candidates,
        cost=round(choice.cost, 3),
        cores=request.size.cores,
        waiting=len(walk.table.queue),
    )


def _wait_for_room(walk: Walk, request: Request) -> None:
    table = walk.table
    if len(table.reservations_by_task) < table.settings.reservations:
        reserve(table, request, walk.places, walk.now)
    reason = explain_wait(table, request, walk.places)
    note_waiting(walk.planned, request, reason)


def _make_room_for(walk: Walk, owner: QueuedOwner) -> None:
    """Evict batch tasks for the waiting tasks of an urgent owner."""
    table = walk.table
    for task in list(table.queue.tasks_by_owner.get(owner, ())):
        if task in table.reservations_by_task:
            continue
        spec = table.specs_by_task[task]
        request = create_request(table, task, spec, walk.now)
        if walk.planned.is_full() or not _make_room(walk, request):
            note_waiting(walk.planned, request, 'no worker can make room')
            return


def _make_room(walk: Walk, request: Request) -> bool:
    table = walk.table
    victims = choose_victims(table, request.size, walk.places)
    if victims is None:
        return False
    for task in victims.tasks:
        spec = table.specs_by_task[task]
        following = evict(spec, f'room for {request.task}')
        walk.planned.add(task, spec, following)
    name = victims.worker.name
    period = (walk.now, walk.now + EVICTION_SECONDS)
    keep_room(table, request, name, period)
    kept = walk.places.reserved_by_worker.setdefault(name, [])
    kept.append(request.task)
    walk.planned.record(
        'make room',
        chosen=name,
        task=request.task,
        victims=list(victims.tasks),
        cost=round(victims.cost, 3),
    )
    return True


def _share(walk: Walk, team: str) -> float:
    used = walk.table.usage_by_team.get(team, NOTHING)
    share = dominant_share(used, walk.places.total)
    return share / _weight(walk.table, team)


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
    used = table.usage_by_team.get(team, NOTHING)
    return fits(add(used, size), declared.team_spec.quota)
