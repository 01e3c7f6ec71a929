"""Choice of a worker for a task.

Made for lasting tasks beside wide filling steps. Lasting tasks of one image
are packed on few workers, so that each filling image finds workers where it
does not interfere. A filling task goes first to workers whose lasting tasks
keep their goals beside it even at peak load, which leaves workers without
lasting tasks to the images that interfere; then to workers without lasting
tasks; then to workers whose lasting tasks allow it for now.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from typing import final

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing.acceptance import accepts_work, is_fresh
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Part, Task
from wasabiturn.messages.batch import StartRun, Step
from wasabiturn.messages.kinds import BatchTaskState

# Score penalty of a silent worker, as a multiple of its size.
SILENCE_PENALTY = 10
# Score penalty of the last worker of a task that has failed before, as a
# multiple of the worker's size.
FAILED_WORKER_PENALTY = 100
UNSUITABLE = float('-inf')
# A filling task avoids workers where it would have a lower share of full pace.
MIN_PACE = 0.9
# Score tiers of workers for filling tasks. Within a tier the unused share of a
# worker, from 0 to 1, decides.
_SAFE_AT_PEAK_TIER = 2
_NO_LASTING_TIER = 1


@final
@attrs.define
class Candidates:
    """Workers that accept work now.

    ``accepts_any_worker`` is set for a job that has run nothing for too long:
    its filling tasks then go to any worker with room, whatever their pace.
    """

    workers: list[Worker]
    forecasts: Forecasts
    now: float
    accepts_any_worker: bool = False
    # Names of the tasks that start only where they were last.
    bound_tasks: Collection[str] = ()
    # Names of the tasks that wait for a rack; see ``locality/``.
    held_tasks: Collection[str] = ()
    # Names of the workers.
    names: Collection[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Collect the names once for all tasks."""
        self.names = {worker.name for worker in self.workers}


def find_candidates(
    workers: Iterable[Worker],
    batch_state: BatchState,
    forecasts: Forecasts,
    now: float,
    bound_tasks: Collection[str] = (),
) -> Candidates:
    """Return the workers that accept any work at ``now``."""
    accepting = [
        worker
        for worker in workers
        if accepts_work(worker, batch_state, now)
        and worker.avoided_until <= now
    ]
    return Candidates(
        workers=accepting,
        forecasts=forecasts,
        now=now,
        bound_tasks=bound_tasks,
    )


def may_start_at(task: Task, worker: Worker, candidates: Candidates) -> bool:
    """Return whether no open order keeps a task from a worker.

    A task that failed does not return at once to the worker that it is bound
    to, where it could use up its attempts, nor does one under which that has
    crashed.
    """
    if task.name not in candidates.bound_tasks:
        return True
    return task.worker == worker.name and not task.avoids_its_worker


def may_start(task: Task, candidates: Candidates) -> bool:
    """Return whether neither an open order nor a rack keeps a task back."""
    if task.name in candidates.held_tasks:
        return False
    if task.name not in candidates.bound_tasks:
        return True
    return task.worker in candidates.names and not task.avoids_its_worker


def create_start(task: Task, worker: Worker, run: int) -> StartRun:
    """Return the change that starts a run of a task on a worker."""
    return StartRun(
        task=task.name,
        run=run,
        worker=worker.name,
        born_ms=worker.born_ms,
        agent=worker.agent,
    )


def choose_worker(task: Task, candidates: Candidates) -> Worker | None:
    """Return the worker with the best score for ``task``, if any has room."""
    counts = count_by_worker(task.part)
    best: Worker | None = None
    best_score = UNSUITABLE
    for worker in candidates.workers:
        if not may_start_at(task, worker, candidates):
            continue
        score = score_worker(task.part, worker, candidates, counts)
        score = penalize_failure(score, task, worker)
        if score > best_score:
            best = worker
            best_score = score
    return best


def score_worker(
    part: Part,
    worker: Worker,
    candidates: Candidates,
    counts: dict[str, int],
) -> float:
    """Return the score of a worker, ``UNSUITABLE`` if it cannot take a task.

    ``counts`` has the active tasks of the part by worker, if they are limited.
    """
    if not can_take(part, worker, counts):
        return UNSUITABLE
    step = part.step
    size = worker.report.millicores
    if step.fills:
        score = _score_filling(step, worker, candidates)
    elif step.lasting:
        score = _score_lasting(step, worker, candidates)
    else:
        score = float(size - worker.millicores)
        score -= 0 if worker.lasting_millicores else size
    if step.preferred_rack and step.preferred_rack == worker.report.rack:
        score += size
    if not is_fresh(worker, candidates.now):
        score -= SILENCE_PENALTY * size
    return score


def penalize_failure(score: float, task: Task, worker: Worker) -> float:
    """Return the score lowered if ``task`` failed and was on ``worker``."""
    if task.failures and task.worker == worker.name:
        return score - FAILED_WORKER_PENALTY * worker.report.millicores
    return score


def count_by_worker(part: Part) -> dict[str, int]:
    """Return the active tasks of a part by worker, if they are limited."""
    if not part.step.max_per_worker:
        return {}
    return Counter(
        task.worker
        for task in part.open_tasks()
        if task.state is BatchTaskState.active
    )


def leftover_millicores(worker: Worker) -> float:
    """Return the CPU for more filling tasks before they slow each other."""
    taken = worker.filling_millicores + worker.reserved_millicores
    return worker.unused_millicores() - taken


def can_take(part: Part, worker: Worker, counts: dict[str, int]) -> bool:
    """Return whether a worker has room for a task and may run it."""
    step = part.step
    if not worker.has_room_for(step):
        return False
    report = worker.report
    if step.fills and not report.millicores:
        return False
    if report.service_name != part.job.accepted.terms.service_name:
        return False
    if step.required_label and step.required_label not in report.labels:
        return False
    limit = step.max_per_worker
    return not limit or counts.get(worker.name, 0) < limit


def _score_lasting(step: Step, worker: Worker, candidates: Candidates) -> float:
    """Prefer workers whose lasting tasks suffer from the same images."""
    similarity = sum(
        count
        * candidates.forecasts.interference.similarity(
            step.image, image, candidates.now
        )
        for image, count in worker.lasting_count_by_image.items()
    )
    score = float(worker.lasting_millicores - worker.filling_millicores)
    return score + similarity * worker.report.millicores


def _score_filling(step: Step, worker: Worker, candidates: Candidates) -> float:
    size = worker.report.millicores
    left = leftover_millicores(worker)
    has_filling = worker.filling_millicores or worker.reserved_steps
    is_full = has_filling and left < step.millicores
    if is_full and not candidates.accepts_any_worker:
        return UNSUITABLE
    use = step.millicores / size
    forecast = candidates.forecasts.find(worker, candidates.now)
    pace = forecast.expected_pace(step.image, use)
    if candidates.accepts_any_worker:
        return left / size + pace
    if pace < MIN_PACE:
        return UNSUITABLE
    if forecast.has_no_lasting_jobs:
        return _NO_LASTING_TIER + left / size
    if forecast.has_full_pace_at_peak(step.image, use):
        return _SAFE_AT_PEAK_TIER + left / size
    return pace * left / size
