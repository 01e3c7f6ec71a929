"""Which waiting tasks start now, and where.

Answers the load of many short tasks with reserved processors beside wide
steps that take what others leave: jobs with the nearest objective come first,
lasting tasks before all, jobs past any use of their result last.
"""

from collections.abc import Iterator
from typing import final

import attrs

from wasabiturn.batch.book import BatchBook
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.jobs import Job, Part, Task
from wasabiturn.messages.batch import StartRun, Step
from wasabiturn.messages.kinds import BatchTaskState

MAX_STARTS = 200
# A worker that has not been heard for longer gets no work.
HEARD_SECONDS = 1.5
# Share of its declared processors that a lasting task is expected to use.
LASTING_USE = 0.55
# A late result is still of use up to this multiple of the objective.
LATE_FACTOR = 3
# Weight of what a task should stay away from, in the room of a worker.
FOREIGN_FACTOR = 100
_FULL_SHARE = 100


@final
@attrs.define
class Moment:
    """The present, in seconds of the loop and in wall clock milliseconds."""

    now: float
    wall_ms: int


def plan_starts(
    book: BatchBook,
    fleet: Fleet,
    moment: Moment,
) -> Iterator[StartRun]:
    """Yield starts, one at a time.

    The caller applies each before it asks for the next, so that the room it
    takes is charged.
    """
    workers = [
        worker
        for worker in fleet.workers_by_life.values()
        if _takes_work(worker, book, moment.now)
    ]
    if not workers:
        return
    stuck: list[Step] = []
    planned = 0
    for part in _ready_parts(book, moment):
        if any(_is_covered(each, part.step) for each in stuck):
            continue
        for start in _start_part(part, workers, moment):
            planned += 1
            yield start
            if planned >= MAX_STARTS:
                return
        if part.waiting_by_name:
            stuck.append(part.step)


def _takes_work(worker: Worker, book: BatchBook, now: float) -> bool:
    report = worker.report
    return (
        worker.is_known
        and not worker.is_gone
        and not report.leaving
        and not report.refuses
        and report.data_centre not in book.out_data_centres
        and now < worker.heard_at + HEARD_SECONDS
        and now >= worker.avoided_until
    )


def _ready_parts(book: BatchBook, moment: Moment) -> list[Part]:
    jobs = [job for job in book.open_jobs_by_id.values() if job.waiting_tasks]
    jobs.sort(key=lambda job: _urgency(job, moment))
    return [
        part
        for job in jobs
        for part in job.parts_by_key.values()
        if part.waiting_by_name
        and part.due_ms <= moment.wall_ms
        and part.is_ready()
    ]


def _urgency(job: Job, moment: Moment) -> tuple[int, float]:
    accepted_ms = job.accepted.accepted_ms
    objective_ms = job.objective_ms()
    if any(step.lasting for step in job.accepted.declaration.steps):
        return 0, accepted_ms
    if moment.wall_ms > accepted_ms + LATE_FACTOR * objective_ms:
        return 2, accepted_ms
    return 1, accepted_ms + objective_ms


def _is_covered(stuck: Step, step: Step) -> bool:
    """Tell whether ``step`` cannot fit where ``stuck`` did not."""
    if stuck.required_label or stuck.max_per_worker or stuck.gang:
        return False
    return (
        stuck.fills == step.fills
        and step.millicores >= stuck.millicores
        and step.memory_mb >= stuck.memory_mb
        and step.accelerators >= stuck.accelerators
    )


def _start_part(
    part: Part,
    workers: list[Worker],
    moment: Moment,
) -> Iterator[StartRun]:
    if part.step.gang:
        yield from _start_gang(part, workers)
        return
    for task in list(part.waiting_by_name.values()):
        worker = _choose(task, workers, _count_by_worker(part))
        if worker is None:
            return
        yield _start(task, worker, task.run + 1)


def _start(task: Task, worker: Worker, run: int) -> StartRun:
    return StartRun(
        task=task.name,
        run=run,
        worker=worker.name,
        born_ms=worker.born_ms,
    )


def _start_gang(part: Part, workers: list[Worker]) -> Iterator[StartRun]:
    """Start all members under one run number, or none."""
    tasks = [
        task for task in part.job.tasks_by_name.values() if task.part is part
    ]
    if any(task.state is not BatchTaskState.waiting for task in tasks):
        return
    placed = _place_gang(part, tasks, workers)
    run = max(task.run for task in tasks) + 1
    checkpoint = next(
        (task.checkpoint for task in tasks if task.checkpoint), ''
    )
    for task, worker in placed:
        task.checkpoint = checkpoint
        yield _start(task, worker, run)


def _place_gang(
    part: Part,
    tasks: list[Task],
    workers: list[Worker],
) -> list[tuple[Task, Worker]]:
    """Find room for all members, on one rack if that has it."""
    racks = sorted({worker.report.rack for worker in workers})
    for rack in racks:
        on_rack = [each for each in workers if each.report.rack == rack]
        placed = _fit_all(part.step, tasks, on_rack)
        if placed:
            return placed
    return _fit_all(part.step, tasks, workers)


def _fit_all(
    step: Step,
    tasks: list[Task],
    workers: list[Worker],
) -> list[tuple[Task, Worker]]:
    placed: list[tuple[Task, Worker]] = []
    waiting = list(tasks)
    for worker in workers:
        limit = step.max_per_worker or len(tasks)
        taken = 0
        while waiting and taken < limit and _fits_more(step, worker, taken):
            placed.append((waiting.pop(), worker))
            taken += 1
    return [] if waiting else placed


def _fits_more(step: Step, worker: Worker, taken: int) -> bool:
    if step.required_label and step.required_label not in worker.report.labels:
        return False
    times = taken + 1
    millicores = 0 if step.fills else step.millicores * times
    memory_mb = step.memory_mb * times
    return worker.has_room(millicores, memory_mb, step.accelerators * times)


def _count_by_worker(part: Part) -> dict[str, int]:
    count_by_worker: dict[str, int] = {}
    if part.step.max_per_worker:
        for task in part.job.tasks_by_name.values():
            if task.part is part and task.state is BatchTaskState.active:
                count = count_by_worker.get(task.worker, 0)
                count_by_worker[task.worker] = count + 1
    return count_by_worker


def _choose(
    task: Task,
    workers: list[Worker],
    count_by_worker: dict[str, int],
) -> Worker | None:
    best: Worker | None = None
    best_score = float('-inf')
    for worker in workers:
        if not _may_take(task, worker, count_by_worker):
            continue
        score = _score(task, worker)
        if score is not None and score > best_score:
            best = worker
            best_score = score
    return best


def _may_take(
    task: Task,
    worker: Worker,
    count_by_worker: dict[str, int],
) -> bool:
    step = task.step
    report = worker.report
    if report.service_name != task.job.accepted.terms.service_name:
        return False
    if step.required_label and step.required_label not in report.labels:
        return False
    limit = step.max_per_worker
    if limit and count_by_worker.get(worker.name, 0) >= limit:
        return False
    millicores = 0 if step.fills else step.millicores
    return worker.has_room(millicores, step.memory_mb, step.accelerators)


def _score(task: Task, worker: Worker) -> float | None:
    """Return how well a worker suits a task; ``None`` where it must not go.

    Filling tasks disturb lasting ones, so lasting tasks share few workers, short
    tasks go beside them, and filling tasks have the other workers to
    themselves while there is room on these.
    """
    step = task.step
    size = worker.report.millicores
    if step.fills:
        suits = leftover_millicores(worker)
        if suits < step.millicores and worker.fill_millicores:
            return None
        suits -= FOREIGN_FACTOR * worker.lasting_millicores
    elif step.lasting:
        suits = float(worker.lasting_millicores - worker.fill_millicores)
    else:
        suits = float(size - worker.millicores)
        suits -= size if not worker.lasting_millicores else 0
    if task.failures and task.worker == worker.name:
        suits -= FOREIGN_FACTOR * size
    if step.preferred_rack and step.preferred_rack == worker.report.rack:
        suits += size
    return suits


def leftover_millicores(worker: Worker) -> float:
    """Return what filling tasks may still take without slowing each other."""
    used = float(worker.fill_millicores)
    for charge in worker.charges_by_task.values():
        step = charge.task.step
        if not step.fills:
            share = LASTING_USE if step.lasting else 1.0
            used += share * step.millicores
    left = worker.report.millicores - used
    return left * worker.fill_percent / _FULL_SHARE
