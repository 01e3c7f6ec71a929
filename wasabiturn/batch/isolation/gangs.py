"""Placing of gangs with suspects: each suspect gets a worker of its own."""

from collections.abc import Iterator

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.isolation.room import IsolationRoom
from wasabiturn.batch.placing.candidates import (
    Candidates,
    can_take,
    create_start,
    may_start_at,
)
from wasabiturn.batch.placing.gangs import fit_all, start_gang
from wasabiturn.batch.state.jobs import Part, Task
from wasabiturn.messages.batch import StartRun
from wasabiturn.messages.kinds import BatchTaskState

# A gang whose suspects found no workers of their own starts anyhow.
MAX_GANG_WAIT_SECONDS = 3.0


def start_isolated_gang(part: Part, room: IsolationRoom) -> Iterator[StartRun]:
    """Yield starts of all members, or none.

    Each suspect member gets a worker of its own, unless that takes too long.
    """
    members = part.open_tasks()
    if any(each.state is not BatchTaskState.waiting for each in members):
        return
    run = max(each.run for each in members) + 1
    placed = _place_gang(part, members, room)
    waits_since = room.isolation.waits_since_by_gang
    since = waits_since.setdefault(part.name, room.moment.now)
    if placed:
        waits_since.pop(part.name)
        for task, worker in placed:
            yield create_start(task, worker, run)
    elif room.moment.now >= since + MAX_GANG_WAIT_SECONDS:
        workers = [each for each in room.workers if each not in room.isolating]
        free = attrs.evolve(room.candidates, workers=workers)
        yield from start_gang(part, free)


def _place_gang(
    part: Part, members: list[Task], room: IsolationRoom
) -> list[tuple[Task, Worker]]:
    suspects = [each for each in members if each.is_suspect]
    others = [each for each in members if not each.is_suspect]
    free = [worker for worker in room.list_free() if can_take(part, worker, {})]
    if not room.may_isolate(len(suspects)):
        return []
    free.sort(key=room.lost_work)
    isolated = _place_alone(suspects, free, room.candidates)
    if len(isolated) < len(suspects):
        return []
    alone = [worker for _, worker in isolated]
    rest = [
        worker
        for worker in room.workers
        if worker not in alone and worker not in room.isolating
    ]
    placed = fit_all(part.step, others, rest, room.candidates)
    if others and not placed:
        return []
    room.isolating.extend(alone)
    return [*isolated, *placed]


def _place_alone(
    suspects: list[Task], free: list[Worker], candidates: Candidates
) -> list[tuple[Task, Worker]]:
    """Return a worker for each suspect, bound ones first, while there are."""
    left = list(free)
    placed: list[tuple[Task, Worker]] = []
    ordered = sorted(
        suspects, key=lambda task: task.name not in candidates.bound_tasks
    )
    for task in ordered:
        worker = _find_first(task, left, candidates)
        if worker is not None:
            placed.append((task, worker))
            left.remove(worker)
    return placed


def _find_first(
    task: Task, workers: list[Worker], candidates: Candidates
) -> Worker | None:
    for worker in workers:
        if may_start_at(task, worker, candidates):
            return worker
    return None
