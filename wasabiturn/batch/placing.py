"""Where a task goes.

Answers the load of lasting tasks beside wide steps that fill what others leave
unused. Lasting tasks of one image share few workers, so that each filling
image finds some that it does not press. A filling task goes beside lasting
ones that it hardly presses even when their load is highest, which leaves the
workers without lasting tasks to images that press; then to these workers; then
where the lasting tasks can bear it for now.
"""

from collections import Counter
from collections.abc import Iterable
from typing import final

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.forecast import Outlook, create_outlook
from wasabiturn.batch.interference import Interference
from wasabiturn.batch.jobs import Part, Task
from wasabiturn.batch.state import BatchState
from wasabiturn.messages.kinds import BatchTaskState

# A worker that has not been heard for longer gets no work.
HEARD_SECONDS = 2.5
# Weight of what a task should stay away from, in the room of a worker.
FOREIGN_FACTOR = 100
NOWHERE = float('-inf')
# A filling task does not go where its pace would be a lower share of its full.
MIN_PACE = 0.9
# Places for filling tasks by their kind; the unused part of a worker, from 0
# to 1, decides among those of one kind.
_GOOD_PLACE = 2
_FREE_PLACE = 1


@final
@attrs.define
class Places:
    """Workers that take work now.

    ``takes_any`` is set for a job that has run nothing for too long: it goes
    where it has room, however that suits.
    """

    workers: list[Worker]
    known: Interference
    now: float
    takes_any: bool = False
    _outlooks_by_name: dict[str, Outlook] = attrs.field(factory=dict)

    def outlook(self, worker: Worker) -> Outlook:
        """Return what the lasting tasks of a worker can bear."""
        found = self._outlooks_by_name.get(worker.name)
        if found is None:
            found = create_outlook(worker, self.known, self.now)
            self._outlooks_by_name[worker.name] = found
        return found

    def note_start(self, worker: Worker) -> None:
        """Note that a worker has been given a task."""
        self._outlooks_by_name.pop(worker.name, None)


def find_places(
    workers: Iterable[Worker],
    batch_state: BatchState,
    known: Interference,
    now: float,
) -> Places:
    """Return the workers that take work at ``now``."""
    taking = [
        worker for worker in workers if _takes_work(worker, batch_state, now)
    ]
    return Places(workers=taking, known=known, now=now)


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
    return worker.unused_millicores() - worker.fill_millicores


def _takes_work(worker: Worker, batch_state: BatchState, now: float) -> bool:
    report = worker.report
    if not worker.is_reconciled or worker.is_gone:
        return False
    if report.leaving or report.refuses:
        return False
    if worker.unexpected_runs_by_task or worker.inherited_runs_by_task:
        # Runs that are to be stopped take room that nothing is charged for.
        return False
    if report.data_centre in batch_state.out_data_centres:
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
        score = _score_lasting(task, worker, places)
    else:
        score = float(size - worker.millicores)
        score -= 0 if worker.lasting_millicores else size
    if task.failures and task.worker == worker.name:
        score -= FOREIGN_FACTOR * size
    if step.preferred_rack and step.preferred_rack == worker.report.rack:
        score += size
    return score


def _score_lasting(task: Task, worker: Worker, places: Places) -> float:
    """Prefer workers whose lasting tasks the same images press."""
    likeness = sum(
        count * places.known.likeness(task.step.image, image, places.now)
        for image, count in worker.lasting_by_image.items()
    )
    score = float(worker.lasting_millicores - worker.fill_millicores)
    return score + likeness * worker.report.millicores


def _score_filling(task: Task, worker: Worker, places: Places) -> float:
    step = task.step
    size = worker.report.millicores
    left = leftover_millicores(worker)
    use = step.millicores / size
    outlook = places.outlook(worker)
    pace = outlook.expected_pace(step.image, use)
    if places.takes_any:
        return left / size + pace
    if left < step.millicores and worker.fill_millicores:
        return NOWHERE
    if pace < MIN_PACE:
        return NOWHERE
    if outlook.is_free:
        return _FREE_PLACE + left / size
    if outlook.is_always_good(step.image, use):
        return _GOOD_PLACE + left / size
    return pace * left / size
