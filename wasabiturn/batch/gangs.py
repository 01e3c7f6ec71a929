"""Gang scheduling: tasks of a step start together under one run number."""

from collections.abc import Iterator

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.jobs import Part, Task
from wasabiturn.batch.placing import Candidates
from wasabiturn.messages.batch import StartRun, Step
from wasabiturn.messages.kinds import BatchTaskState


def start_gang(part: Part, candidates: Candidates) -> Iterator[StartRun]:
    """Yield starts of all members, or none."""
    tasks = part.open_tasks()
    if any(task.state is not BatchTaskState.waiting for task in tasks):
        return
    run = max((task.run for task in tasks), default=0) + 1
    for task, worker in _place_members(part, tasks, candidates.workers):
        yield StartRun(
            task=task.name,
            run=run,
            worker=worker.name,
            born_ms=worker.born_ms,
            agent=worker.agent,
        )


def _place_members(
    part: Part,
    tasks: list[Task],
    workers: list[Worker],
) -> list[tuple[Task, Worker]]:
    """Return workers for all members, in one rack if one has room."""
    for rack in sorted({worker.report.rack for worker in workers}):
        on_rack = [each for each in workers if each.report.rack == rack]
        placed = fit_all(part.step, tasks, on_rack)
        if placed:
            return placed
    return fit_all(part.step, tasks, workers)


def fit_all(
    step: Step,
    tasks: list[Task],
    workers: list[Worker],
) -> list[tuple[Task, Worker]]:
    """Return a worker for each task, or nothing if there isn't one for all."""
    placed: list[tuple[Task, Worker]] = []
    waiting = list(tasks)
    limit = step.max_per_worker or len(tasks)
    for worker in workers:
        taken = 0
        while waiting and taken < limit and _fits(step, worker, taken + 1):
            placed.append((waiting.pop(), worker))
            taken += 1
    return [] if waiting else placed


def _fits(step: Step, worker: Worker, members: int) -> bool:
    if step.required_label and step.required_label not in worker.report.labels:
        return False
    millicores = 0 if step.fills else step.millicores * members
    memory_mb = step.memory_mb * members
    return worker.has_room(millicores, memory_mb, step.accelerators * members)
