"""Where a task goes.

Answers the load of lasting tasks beside wide steps that fill what others leave
unused: filling tasks disturb lasting ones, so lasting tasks share few workers,
short tasks go beside them, and filling tasks have the other workers to
themselves. Where these are full, a filling task goes where its image is
expected to press the lasting ones least; lasting tasks of one image share a
worker, so that each filling image finds some that it does not press.
"""

from collections import Counter
from collections.abc import Iterable
from typing import final

import attrs

from wasabiturn.batch.book import BatchBook
from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.interference import PARTS_OF_WORKER, Interference
from wasabiturn.batch.jobs import Part, Task
from wasabiturn.messages.kinds import BatchTaskState

# A worker that has not been heard for longer gets no work.
HEARD_SECONDS = 2.5
# Share of its declared processors that a lasting task is expected to use.
LASTING_USE = 0.55
# Weight of what a task should stay away from, in the room of a worker.
FOREIGN_FACTOR = 100
# A filling task goes where tails are expected to stay below this share.
MAX_EXPECTED_TAIL = 0.65
# Where its image is slowed below this, a filling task does not go.
MIN_PACE = 50
NOWHERE = float('-inf')
_FULL_SHARE = 100


@final
@attrs.define
class Places:
    """Workers that take work now.

    ``takes_any`` is set for a job that has run nothing for too long: it goes
    where it has room, however that suits.
    """

    workers: list[Worker]
    known: Interference
    takes_any: bool = False


def find_places(
    workers: Iterable[Worker],
    book: BatchBook,
    known: Interference,
    now: float,
) -> Places:
    """Return the workers that take work at ``now``."""
    taking = [worker for worker in workers if _takes_work(worker, book, now)]
    return Places(workers=taking, known=known)


def choose_worker(task: Task, places: Places) -> Worker | None:
    """Return the worker that suits ``task`` best, if one has room."""
    taken_by_worker = _count_by_worker(task.part)
    best: Worker | None = None
    best_score = NOWHERE
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
    return worker.report.millicores - used


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
    if not part.step.max_per_worker:
        return {}
    return Counter(
        task.worker
        for task in part.open_tasks()
        if task.state is BatchTaskState.active
    )


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
    """Return how well a worker suits, or ``NOWHERE``."""
    step = task.step
    size = worker.report.millicores
    if step.fills:
        score = _score_filling(task, worker, places)
    elif step.lasting:
        score = _score_lasting(task, worker)
    else:
        score = float(size - worker.millicores)
        score -= 0 if worker.lasting_millicores else size
    if task.failures and task.worker == worker.name:
        score -= FOREIGN_FACTOR * size
    if step.preferred_rack and step.preferred_rack == worker.report.rack:
        score += size
    return score


def _score_lasting(task: Task, worker: Worker) -> float:
    """Prefer workers with the same image, then those with lasting tasks."""
    same = worker.lasting_by_image.get(task.step.image, 0)
    score = float(worker.lasting_millicores - worker.fill_millicores)
    return score + same * worker.report.millicores


def _score_filling(task: Task, worker: Worker, places: Places) -> float:
    step = task.step
    left = leftover_millicores(worker)
    use = step.millicores * PARTS_OF_WORKER / worker.report.millicores
    expected = places.known.predict(worker, step.image, use)
    if places.takes_any:
        return left - expected * worker.report.millicores
    if left < step.millicores and worker.fill_millicores:
        return NOWHERE
    if not worker.lasting_millicores:
        return left + FOREIGN_FACTOR * worker.report.millicores
    if worker.percent_by_image.get(step.image, _FULL_SHARE) < MIN_PACE:
        return NOWHERE
    if expected > MAX_EXPECTED_TAIL:
        return NOWHERE
    return left * (1 - expected)
