"""Where a task goes.

Answers the load of lasting tasks beside wide steps that fill what others leave
unused: filling tasks disturb lasting ones, so lasting tasks share few workers,
short tasks go beside them, and filling tasks have the other workers to
themselves. Only where no worker is free of lasting tasks do they mix.
"""

from collections.abc import Iterable
from typing import final

import attrs

from wasabiturn.batch.book import BatchBook
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.jobs import Part, Task
from wasabiturn.messages.kinds import BatchTaskState

# A worker that has not been heard for longer gets no work.
HEARD_SECONDS = 2.5
# Share of its declared processors that a lasting task is expected to use.
LASTING_USE = 0.55
# Weight of what a task should stay away from, in the room of a worker.
FOREIGN_FACTOR = 100
_FULL_SHARE = 100


@final
@attrs.define
class Places:
    """Workers that take work now."""

    workers: list[Worker]
    is_mixed: bool


def find_places(
    workers: Iterable[Worker],
    book: BatchBook,
    now: float,
) -> Places:
    """Return the workers that take work at ``now``."""
    taking = [worker for worker in workers if _takes_work(worker, book, now)]
    is_mixed = all(worker.lasting_millicores for worker in taking)
    return Places(workers=taking, is_mixed=is_mixed)


def choose_worker(task: Task, places: Places) -> Worker | None:
    """Return the worker that suits ``task`` best, if one has room."""
    taken_by_worker = _count_by_worker(task.part)
    best: Worker | None = None
    best_score = float('-inf')
    for worker in places.workers:
        if not _may_take(task, worker, taken_by_worker):
            continue
        score = _score(task, worker, places)
        if score > best_score:
            best = worker
            best_score = score
    return best


def leftover_millicores(worker: Worker) -> float:
    """Return what filling tasks may still take without slowing each other."""
    used = float(worker.fill_millicores)
    used += worker.millicores
    used -= (1 - LASTING_USE) * worker.lasting_millicores
    left = worker.report.millicores - used
    return left * worker.fill_percent / _FULL_SHARE


def _takes_work(worker: Worker, book: BatchBook, now: float) -> bool:
    report = worker.report
    if not worker.is_known or worker.is_gone:
        return False
    if report.leaving or report.refuses:
        return False
    if worker.strays_by_task or worker.inherited_by_task:
        # Runs that are to be stopped take room that nothing is charged for.
        return False
    if report.data_centre in book.out_data_centres:
        return False
    return worker.avoided_until <= now < worker.heard_at + HEARD_SECONDS


def _count_by_worker(part: Part) -> dict[str, int]:
    count_by_worker: dict[str, int] = {}
    if part.step.max_per_worker:
        for task in part.job.tasks_by_name.values():
            if task.part is part and task.state is BatchTaskState.active:
                count = count_by_worker.get(task.worker, 0)
                count_by_worker[task.worker] = count + 1
    return count_by_worker


def _may_take(
    task: Task,
    worker: Worker,
    taken_by_worker: dict[str, int],
) -> bool:
    step = task.step
    report = worker.report
    if report.service_name != task.job.accepted.terms.service_name:
        return False
    if step.required_label and step.required_label not in report.labels:
        return False
    limit = step.max_per_worker
    if limit and taken_by_worker.get(worker.name, 0) >= limit:
        return False
    millicores = 0 if step.fills else step.millicores
    return worker.has_room(millicores, step.memory_mb, step.accelerators)


def _score(task: Task, worker: Worker, places: Places) -> float:
    """Return how well a worker suits; minus infinity where it must not go."""
    step = task.step
    size = worker.report.millicores
    if step.fills:
        score = _score_filling(task, worker, places)
    elif step.lasting:
        score = float(worker.lasting_millicores - worker.fill_millicores)
    else:
        score = float(size - worker.millicores)
        score -= 0 if worker.lasting_millicores else size
    if task.failures and task.worker == worker.name:
        score -= FOREIGN_FACTOR * size
    if step.preferred_rack and step.preferred_rack == worker.report.rack:
        score += size
    return score


def _score_filling(task: Task, worker: Worker, places: Places) -> float:
    left = leftover_millicores(worker)
    if left < task.step.millicores and worker.fill_millicores:
        return float('-inf')
    if worker.lasting_millicores and not places.is_mixed:
        return float('-inf')
    return left
