"""Gang scheduling: tasks of a step start together under one run number."""

from collections import Counter
from collections.abc import Iterator

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing.candidates import (
    Candidates,
    create_start,
    may_start_at,
)
from wasabiturn.batch.state.jobs import Part, Task
from wasabiturn.messages.batch import StartRun, Step
from wasabiturn.messages.kinds import BatchTaskState


def start_gang(part: Part, candidates: Candidates) -> Iterator[StartRun]:
    """Yield starts of all members, or none."""
    tasks = part.open_tasks()
    if any(task.state is not BatchTaskState.waiting for task in tasks):
        return
    run = max((task.run for task in tasks), default=0) + 1
    service_name = part.job.accepted.terms.service_name
    workers = [
        worker
        for worker in candidates.workers
        if worker.report.service_name == service_name
    ]
    of_service = attrs.evolve(candidates, workers=workers)
    for task, worker in _place_members(part, tasks, of_service):
        yield create_start(task, worker, run)


def _place_members(
    part: Part,
    tasks: list[Task],
    candidates: Candidates,
) -> list[tuple[Task, Worker]]:
    """Return workers for all members, in one rack if one has room."""
    workers = candidates.workers
    for rack in sorted({worker.report.rack for worker in workers}):
        on_rack = [each for each in workers if each.report.rack == rack]
        placed = fit_all(part.step, tasks, on_rack, candidates)
        if placed:
            return placed
    return fit_all(part.step, tasks, workers, candidates)


def fit_all(
    step: Step,
    tasks: list[Task],
    workers: list[Worker],
    candidates: Candidates,
) -> list[tuple[Task, Worker]]:
    """Return a worker for each task, or nothing if there isn't one for all."""
    bound = [task for task in tasks if task.name in candidates.bound_tasks]
    placed = _place_bound(bound, workers, candidates)
    if len(placed) < len(bound):
        return []
    waiting = [task for task in tasks if task not in bound]
    taken = Counter(worker.name for _, worker in placed)
    limit = step.max_per_worker or len(tasks)
    for worker in workers:
        members = taken[worker.name]
        if members and not _fits(step, worker, members, limit):
            return []
        while waiting and _fits(step, worker, taken[worker.name] + 1, limit):
            placed.append((waiting.pop(), worker))
            taken[worker.name] += 1
    return [] if waiting else placed


def _place_bound(
    tasks: list[Task],
    workers: list[Worker],
    candidates: Candidates,
) -> list[tuple[Task, Worker]]:
    """Return the bound members whose workers are there."""
    return [
        (task, worker)
        for task in tasks
        for worker in workers
        if may_start_at(task, worker, candidates)
    ]


def _fits(step: Step, worker: Worker, members: int, limit: int) -> bool:
    if members > limit:
        return False
    if step.required_label and step.required_label not in worker.report.labels:
        return False
    return worker.has_room_for(step, members)
